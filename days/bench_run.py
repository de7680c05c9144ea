"""One run of a day on the operators' bench, and its report as a row of the results file."""

import collections
import json
import pathlib
import re
import subprocess
import tempfile

from results_file import ABSENT, COLUMNS, GATE_HELD, NO_RULE_BROKEN, NOT_HERE

MAX_REASON_LENGTH = 119  # Characters that the journal takes for the reason of a run.
ENTRY_KIND = re.compile(r'\{ at = [0-9.]+, kind = "(\w+)"')
CONTRACT_SHUT = re.compile(r"fleetbench: (\w+: contract \w+ is not open)")
MAX_ERROR_LENGTH = 300  # Characters of the bench's error that are printed.


class RunFailed(Exception):
    """The bench gave no report."""


class Bench:
    """The bench, with what holds for all runs of a call."""

    def __init__(self, path, root, logs, reason, until):
        """`root`: folder of the project; `logs`: folder of the bench's output; `until`: second that days end at, or None."""
        self.path = path
        self.root = root
        self.logs = logs
        self.reason = reason
        self.until = until

    def build(self):
        subprocess.run([self.path, "build"], cwd=self.root, check=True, stdout=subprocess.DEVNULL)

    def run(self, site, day, seed):
        """Runs a day and returns its row. Raises RunFailed."""
        with tempfile.TemporaryDirectory() as folder:
            report = pathlib.Path(folder) / "report.json"
            done = self._call(site, day, seed, report)
            self._write_log(site, day, seed, done)
            if shut := CONTRACT_SHUT.search(done.stdout + done.stderr):
                return row_of_impossible_day(site, day, seed, shut[1])
            if not report.is_file():
                raise RunFailed((done.stderr or done.stdout).strip()[-MAX_ERROR_LENGTH:] or f"exit code {done.returncode}")
            return row_of_report(site, day, seed, json.loads(report.read_text()), done.stdout)

    def _call(self, site, day, seed, report):
        why = f"{day.stem} seed {seed}: {self.reason}"[:MAX_REASON_LENGTH]
        command = [self.path, "run", site, day, "--seed", seed, "--jobs", 1, "--report", report, "--why", why]
        if self.until:
            command += ["--until", self.until]
        return subprocess.run([str(part) for part in command], cwd=self.root, capture_output=True, text=True)

    def _write_log(self, site, day, seed, done):
        log = self.logs / f"{site.stem}-{day.stem}-{seed}.txt"
        log.parent.mkdir(parents=True, exist_ok=True)
        log.write_text(done.stdout + done.stderr)


def row_of_impossible_day(site, day, seed, reason):
    """The row of a day with a fault that the site's contract leaves out."""
    row = dict.fromkeys(COLUMNS, ABSENT)
    return row | {"site": site.stem, "day": day.stem, "seed": str(seed), "broken": NOT_HERE, "gate": GATE_HELD, "line": reason}


def row_of_report(site, day, seed, report, output):
    broken = " ".join(f"{rule} {count}" for rule, count in report["breaks"].items())
    gate = "; ".join(str(part) for part in [report["fault"], *report["short"]] if part)
    first = "; ".join(f"{one['rule']} at {one['at_s']} s: {one['what']}" for one in report["first"])
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
        "not_struck": not_struck(day, report["events"]) or ABSENT,
        "gate": gate or GATE_HELD,
        "snapshot": snapshots[-1] if snapshots else ABSENT,
        "line": first or ABSENT,
    }
    return {key: " ".join(value.split()) for key, value in row.items()}


def not_struck(day, events):
    """The kinds of a day's entries that the bench found no room for, or that found nothing to strike."""
    asked = collections.Counter(ENTRY_KIND.findall(day.read_text()))
    struck = collections.Counter(event["kind"].split()[0] for event in events)
    return " ".join(f"{kind} {count}" for kind, count in sorted((asked - struck).items()))
