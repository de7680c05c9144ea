"""Tests of the day files and their generator. Run with `python3 -m unittest discover -s days/tests`."""

import itertools
import pathlib
import sys
import tomllib
import unittest

sys.dont_write_bytecode = True
FOLDER = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(FOLDER))

import crossed_days  # noqa: E402  (the folder is not a package)

SEED = 39


def core_faults_of(text):
    """Returns the names of the core faults in the first comment line of a crossed day."""
    return text.splitlines()[0].removeprefix("# Failure: ").split(", overlapping")[0].split(", ")


class CrossedDays(unittest.TestCase):
    def test_same_seed_generates_the_same_days(self):
        self.assertEqual(list(crossed_days.crossed_days(SEED, 20)), list(crossed_days.crossed_days(SEED, 20)))

    def test_longer_set_extends_the_shorter_one(self):
        self.assertEqual(list(crossed_days.crossed_days(SEED, 5)), list(crossed_days.crossed_days(SEED, 20))[:5])

    def test_150_days_cover_every_fault_pair(self):
        covered = set()
        for _, text in crossed_days.crossed_days(SEED, 150):
            covered |= {tuple(sorted(pair)) for pair in itertools.combinations(core_faults_of(text), 2)}
        names = sorted(fault.name for fault in crossed_days.CORE_FAULTS)
        self.assertEqual(covered, set(itertools.combinations_with_replacement(names, 2)))

    def test_81_days_combine_every_change_host_event_and_closing_fault(self):
        covered = set()
        for _, text in crossed_days.crossed_days(SEED, 81):
            day = tomllib.loads(text)["day"][0]
            change = day["plan"][0]["kind"]
            kinds = {entry["kind"] for entry in day["plan"] + day["faults"]}
            (host_event,) = kinds & {"release", "scale_in", "burst"}
            covered.add((change, host_event, day["closing"]["kind"], day["closing"].get("how")))
        self.assertEqual(len(covered), 81)

    def test_entries_end_before_the_day_ends(self):
        for name, text in crossed_days.crossed_days(SEED, 150):
            day = tomllib.loads(text)["day"][0]
            for entry in day["plan"] + day["faults"]:
                self.assertLess(entry["at"] + entry.get("for_s", 0.0), day["length_s"], name)


class WrittenDays(unittest.TestCase):
    def test_files_state_the_failure_and_the_required_rules(self):
        files = sorted((FOLDER / "points").glob("*.toml"))
        self.assertTrue(files)
        for file in files:
            text = file.read_text()
            self.assertTrue(text.startswith("# Failure: "), file.name)
            self.assertIn("# Must hold: ", text, file.name)
            (day,) = tomllib.loads(text)["day"]
            self.assertEqual(day["name"], file.stem)


if __name__ == "__main__":
    unittest.main()
