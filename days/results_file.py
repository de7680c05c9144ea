"""The results file: a tab-separated line for each run of a day, and tables made of it."""

import csv
import threading

COLUMNS = ["site", "day", "seed", "broken", "worth", "refused", "failed", "ack_after_kill_ms", "not_struck", "gate", "snapshot", "line"]
ABSENT = "-"  # Stands for a value that a run does not have.
NO_RULE_BROKEN = "none"
NOT_HERE = "not here"  # A day with a kind of fault that the deployment's contract leaves out.
GATE_HELD = "held"


class Results:
    """The results file: one line a run, written as soon as the run ends."""

    def __init__(self, path):
        self.path = path
        self.rows = {}
        self._lock = threading.Lock()
        path.parent.mkdir(parents=True, exist_ok=True)
        if path.is_file():
            with path.open(newline="") as file:
                for row in csv.DictReader(file, delimiter="\t", quoting=csv.QUOTE_NONE):
                    self.rows[row["site"], row["day"], row["seed"]] = row
        else:
            path.write_text("\t".join(COLUMNS) + "\n")

    def has(self, site, day, seed):
        return (site, day, str(seed)) in self.rows

    def add(self, row):
        """Writes a run down and prints its line."""
        with self._lock:
            self.rows[row["site"], row["day"], row["seed"]] = row
            with self.path.open("a") as file:
                file.write("\t".join(row[column] for column in COLUMNS) + "\n")
            print(printed_line(row), flush=True)


def printed_line(row):
    text = (
        f"{row['site']:22} {row['day']:26} seed {row['seed']:>3}  broken {row['broken']:12} worth {row['worth']}"
        f"  refused {row['refused']}  failed {row['failed']}"
    )
    if row["not_struck"] != ABSENT:
        text += f"  not struck: {row['not_struck']}"
    if row["gate"] != GATE_HELD:
        text += f"  gate: {row['gate']}"
    if row["line"] != ABSENT:
        text += f"  {row['line']}"
    return text


def markdown_table(results):
    """A row for each day; for each site the worth of each seed and what broke."""
    sites = sorted({site for site, _, _ in results.rows})
    lines = ["| day | " + " | ".join(sites) + " |", "| --- |" + " --- |" * len(sites)]
    for day in sorted({day for _, day, _ in results.rows}):
        cells = [_markdown_cell(results, site, day) for site in sites]
        lines.append(f"| {day} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _markdown_cell(results, site, day):
    """What all seeds of a day came to at a site."""
    rows = [row for row in results.rows.values() if (row["site"], row["day"]) == (site, day)]
    rows.sort(key=lambda row: int(row["seed"]))
    return "; ".join(_summary(row) for row in rows) or "not run"


def _summary(row):
    if row["broken"] == NOT_HERE:
        return NOT_HERE
    parts = [row["worth"]]
    if row["broken"] != NO_RULE_BROKEN:
        parts.append(f"**{row['broken']}**")
    if row["gate"] != GATE_HELD:
        parts.append("no ack" if "had no ack" in row["gate"] else row["gate"])
    return " ".join(parts)


def summarise(results, wanted):
    """Prints how the wanted runs ended. Returns the exit code: 0 if all were run and all rules and gates held."""
    rows = [row for key, row in results.rows.items() if key in wanted]
    absent = [row for row in rows if row["broken"] == NOT_HERE]
    broken = [row for row in rows if row["broken"] not in (NO_RULE_BROKEN, NOT_HERE)]
    gate_failed = [row for row in rows if row["broken"] == NO_RULE_BROKEN and row["gate"] != GATE_HELD]
    print(
        f"{len(rows) - len(absent)} of {len(wanted)} played, {len(absent)} not possible on their site, "
        f"{len(broken)} broke a rule, {len(gate_failed)} only failed a gate"
    )
    print(f"results: {results.path}")
    return 0 if len(rows) == len(wanted) and not broken and not gate_failed else 1
