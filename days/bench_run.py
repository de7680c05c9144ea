"""Runs a day file on the operators' bench and converts the report to a row of the results file."""

import collections
import json
import pathlib
import re
import subprocess
import tempfile

from results_file import ABSENT, COLUMNS, GATE_HELD, NO_RULE_BROKEN, NOT_POSSIBLE

MAX_REASON_LENGTH = 119  # Maximum length of the bench's --why argument, in characters.
ENTRY_KIND = re.compile(r'\{ at = [0-9.]+, kind = "(\w+)"')
CONTRACT_NOT_OPEN = re.compile(r"fleetbench: (\w+: contract \w+ is not open)")
MAX_ERROR_LENGTH = 300  # Characters kept from the end of the bench's error output.


class RunFailed(Exception):
    """The bench ended without writing a report."""


class Bench:
    """Path of the bench program, and the options shared by all runs."""

    def __init__(self, path, root, logs, reason, until):
        """`root` is the project folder, `logs` the folder for the bench's output. If `until` is not None, each day ends at
        that second of traffic."""
        self.path = path
        self.root = root
        self.logs = logs
        self.reason = reason
        self.until = until

    def build(self):
        subprocess.run([self.path, "build"], cwd=self.root, check=True, stdout=subprocess.DEVNULL)

    def run(self, site, day, seed):
        """Runs a day and returns its row. Raises RunFailed if the bench writes no report."""
        with tempfile.TemporaryDirectory() as folder:
            report = pathlib.Path(folder) / "report.json"
            completed = self._call(site, day, seed, report)
            self._write_log(site, day, seed, completed)
            if match := CONTRACT_NOT_OPEN.search(completed.stdout + completed.stderr):
                return row_of_impossible_day(site, day, seed, match[1])
            if not report.is_file():
                raise RunFailed(
                    (completed.stderr or completed.stdout).strip()[-MAX_ERROR_LENGTH:] or f"exit code {completed.returncode}"
                )
            return row_of_report(site, day, seed, json.loads(report.read_text()), completed.stdout)

    def _call(self, site, day, seed, report):
        why = f"{day.stem} seed {seed}: {self.reason}"[:MAX_REASON_LENGTH]
        command = [self.path, "run", site, day, "--seed", seed, "--jobs", 1, "--report", report, "--why", why]
        if self.until:
            command += ["--until", self.until]
        return subprocess.run([str(part) for part in command], cwd=self.root, capture_output=True, text=True)

    def _write_log(self, site, day, seed, completed):
        log = self.logs / f"{site.stem}-{day.stem}-{seed}.txt"
        log.parent.mkdir(parents=True, exist_ok=True)
        log.write_text(completed.stdout + completed.stderr)


def row_of_impossible_day(site, day, seed, reason):
    """Returns the row of a day with a kind of fault that the site's contract excludes."""
    row = dict.fromkeys(COLUMNS, ABSENT)
    return row | {"site": site.stem, "day": day.stem, "seed": str(seed), "broken": NOT_POSSIBLE, "gate": GATE_HELD, "line": reason}


def row_of_report(site, day, seed, report, output):
    broken = " ".join(f"{rule} {count}" for rule, count in report["breaks"].items())
    gate = "; ".join(str(part) for part in [report["fault"], *report["short"]] if part)
    first_breaks = "; ".join(f"{entry['rule']} at {entry['at_s']} s: {entry['what']}" for entry in report["first"])
    after_kill = report["times"].get("next ack after a core kill")
    snapshots = [text.split()[1] for text in output.splitlines() if text.startswith("snapshot ")]
    row = {
        "site": site.stem,
        "day": day.stem,
        "seed": str(seed),
        "broken": broken or NO_RULE_BROKEN,
        "worth": f"{report['G']:.3f}",
        "refused": f"{report['refused']:.3f}",
        "failed": f"{report['failed']:.3f}",
        "ack_after_kill_ms": ABSENT if not after_kill else "/".join(str(value) for value in after_kill),
        "not_struck": unstruck_kinds(day, report["events"]) or ABSENT,
        "gate": gate or GATE_HELD,
        "snapshot": snapshots[-1] if snapshots else ABSENT,
        "line": first_breaks or ABSENT,
    }
    return {key: " ".join(value.split()) for key, value in row.items()}


def unstruck_kinds(day, events):
    """Returns the kinds of entries, with their counts, for which the bench reports no event: it had no time for them or
    they found no target."""
    asked = collections.Counter(ENTRY_KIND.findall(day.read_text()))
    struck = collections.Counter(event["kind"].split()[0] for event in events)
    return " ".join(f"{kind} {count}" for kind, count in sorted((asked - struck).items()))
