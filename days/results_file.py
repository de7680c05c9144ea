"""Reads and writes the results file, which has a tab-separated line for each run, and formats its contents."""

import csv
import threading

COLUMNS = ["site", "day", "seed", "broken", "worth", "refused", "failed", "ack_after_kill_ms", "not_struck", "gate", "snapshot", "line"]
ABSENT = "-"  # Placeholder for a value that the run doesn't have.
NO_RULE_BROKEN = "none"
NOT_POSSIBLE = "not here"  # The day has a kind of fault that the deployment's contract excludes.
GATE_HELD = "held"


class Results:
    """The rows of a results file. Each row is appended to the file as soon as its run ends."""

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
        """Appends a row to the file and prints it. Thread safe."""
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
    """Returns a Markdown table with a row for each day and a column for each site. A cell has the worth and the broken
    rules of each seed."""
    sites = sorted({site for site, _, _ in results.rows})
    lines = ["| day | " + " | ".join(sites) + " |", "| --- |" + " --- |" * len(sites)]
    for day in sorted({day for _, day, _ in results.rows}):
        cells = [_markdown_cell(results, site, day) for site in sites]
        lines.append(f"| {day} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _markdown_cell(results, site, day):
    """Returns the results of all seeds of a day at a site, separated by semicolons."""
    rows = [row for row in results.rows.values() if (row["site"], row["day"]) == (site, day)]
    rows.sort(key=lambda row: int(row["seed"]))
    return "; ".join(_summary(row) for row in rows) or "not run"


def _summary(row):
    if row["broken"] == NOT_POSSIBLE:
        return NOT_POSSIBLE
    parts = [row["worth"]]
    if row["broken"] != NO_RULE_BROKEN:
        parts.append(f"**{row['broken']}**")
    if row["gate"] != GATE_HELD:
        parts.append("no ack" if "had no ack" in row["gate"] else row["gate"])
    return " ".join(parts)


def summarise(results, wanted):
    """Prints a summary of the wanted runs. Returns the exit code: 0 if all were run and all rules and gates held, else 1."""
    rows = [row for key, row in results.rows.items() if key in wanted]
    impossible = [row for row in rows if row["broken"] == NOT_POSSIBLE]
    broken = [row for row in rows if row["broken"] not in (NO_RULE_BROKEN, NOT_POSSIBLE)]
    gate_failed = [row for row in rows if row["broken"] == NO_RULE_BROKEN and row["gate"] != GATE_HELD]
    print(
        f"{len(rows) - len(impossible)} of {len(wanted)} played, {len(impossible)} not possible on their site, "
        f"{len(broken)} broke a rule, {len(gate_failed)} only failed a gate"
    )
    print(f"results: {results.path}")
    return 0 if len(rows) == len(wanted) and not broken and not gate_failed else 1
