"""Checks of the day files and of the crossed set; run with `python3 -m unittest discover -s days/tests`."""

import itertools
import pathlib
import sys
import tomllib
import unittest

sys.dont_write_bytecode = True
FOLDER = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(FOLDER))

import crossed_days  # noqa: E402  (the folder is no package)

SEED = 39


def core_faults_of(text):
    """The names of the core faults that a crossed day's comment lists."""
    return text.splitlines()[0].removeprefix("# Failure: ").split(", one into the other")[0].split(", ")


class CrossedDays(unittest.TestCase):
    def test_the_same_seed_gives_the_same_days(self):
        self.assertEqual(list(crossed_days.crossed_days(SEED, 20)), list(crossed_days.crossed_days(SEED, 20)))

    def test_a_longer_set_begins_with_the_shorter_one(self):
        self.assertEqual(list(crossed_days.crossed_days(SEED, 5)), list(crossed_days.crossed_days(SEED, 20))[:5])

    def test_a_hundred_and_fifty_days_cross_every_pair(self):
        met = set()
        for _, text in crossed_days.crossed_days(SEED, 150):
            met |= {tuple(sorted(pair)) for pair in itertools.combinations(core_faults_of(text), 2)}
        names = sorted(fault.name for fault in crossed_days.CORE_FAULTS)
        self.assertEqual(met, set(itertools.combinations_with_replacement(names, 2)))

    def test_81_days_meet_every_change_with_every_work_and_closing_fault(self):
        met = set()
        for _, text in crossed_days.crossed_days(SEED, 81):
            day = tomllib.loads(text)["day"][0]
            change = day["plan"][0]["kind"]
            kinds = {entry["kind"] for entry in day["plan"] + day["faults"]}
            (work,) = kinds & {"release", "scale_in", "burst"}
            met.add((change, work, day["closing"]["kind"], day["closing"].get("how")))
        self.assertEqual(len(met), 81)

    def test_every_entry_ends_inside_its_day(self):
        for name, text in crossed_days.crossed_days(SEED, 150):
            day = tomllib.loads(text)["day"][0]
            for entry in day["plan"] + day["faults"]:
                self.assertLess(entry["at"] + entry.get("for_s", 0.0), day["length_s"], name)


class WrittenDays(unittest.TestCase):
    def test_each_says_what_fails_and_what_must_hold(self):
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
