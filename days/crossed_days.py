"""Generates day files that combine every pair of core machine faults (pairwise testing) from a seed.

Each day has `FAULTS_PER_DAY` overlapping core faults, one kind of configuration change under lost acknowledgements, one
host event, and a closing fault. Days are chosen greedily: the first days cover the most new pairs. The same seed gives
the same days on every machine.
"""

import itertools
import random
from typing import NamedTuple


class CoreFault(NamedTuple):
    """A fault of core machines: its name in the file's comment, and the kind and fields of its entry."""

    name: str
    kind: str
    fields: dict


class Change(NamedTuple):
    """A kind of configuration change, and its start times in seconds after the start of traffic."""

    name: str
    kind: str
    times: list
    fields: dict


class HostEvent(NamedTuple):
    """A planned change of hosts or a traffic burst; `list_name` is the day file's list that contains its entry."""

    name: str
    list_name: str
    kind: str
    fields: dict


# The bench defines the units of `x` for each kind; `for_s` is in seconds. `after_ack_kill` and `after_ack_wipe` with
# `taken` are not included: core machines don't accept client requests, so these faults find no target.
CORE_FAULTS = [
    CoreFault("cut-both", "core_cut", {"count": 1, "for_s": 6.0, "how": "both"}),
    CoreFault("cut-one-way", "core_cut", {"count": 1, "for_s": 6.0, "how": "one_way"}),
    CoreFault("cut-seeds", "core_cut", {"count": 1, "for_s": 6.0, "how": "seeds"}),
    CoreFault("cut-leader", "core_cut", {"count": 1, "for_s": 6.0, "how": "leader"}),
    CoreFault("cut-meet", "core_cut", {"count": 1, "for_s": 5.0, "how": "leader meet"}),
    CoreFault("cut-race", "core_cut", {"count": 1, "for_s": 5.0, "how": "leader race"}),
    CoreFault("cut-hard", "core_cut", {"count": 1, "for_s": 5.0, "how": "one_way meet hard"}),
    CoreFault("replace", "replace_core", {"x": 1.0}),
    CoreFault("replace-planned", "replace_core", {"x": 1.0, "how": "planned"}),
    CoreFault("ack-kill", "after_ack_kill", {"for_s": 2.0}),
    CoreFault("ack-kill-timed", "after_ack_kill", {"for_s": 2.0, "how": "timed"}),
    CoreFault("ack-wipe", "after_ack_wipe", {"for_s": 2.0}),
    CoreFault("ack-wipe-timed", "after_ack_wipe", {"for_s": 2.0, "how": "timed"}),
    CoreFault("disk-slow", "disk_slow", {"count": 1, "x": 30.0, "for_s": 6.0, "how": "leader"}),
    CoreFault("disk-stall", "disk_stall", {"count": 1, "for_s": 4.0, "how": "leader"}),
    CoreFault("disk-full", "disk_full", {"count": 1, "for_s": 5.0}),
    CoreFault("clock-back", "clock_step", {"share": 0.5, "x": 20000.0, "for_s": 8.0, "how": "back"}),
    CoreFault("clock-ahead", "clock_step", {"share": 0.5, "x": 90000.0, "for_s": 8.0, "how": "ahead"}),
    CoreFault("reset", "reset_conns", {"on": "core", "share": 1.0, "x": 0.7}),
    CoreFault("freeze", "node_freeze", {"on": "core", "count": 1, "for_s": 4.0, "how": "leader meet"}),
    CoreFault("kill", "node_kill", {"on": "core", "count": 1, "for_s": 2.0, "how": "leader race"}),
    CoreFault("kill-power", "node_kill", {"on": "core", "count": 1, "for_s": 3.0, "how": "power seed meet"}),
    CoreFault("herd", "herd_kill", {"on": "core", "share": 1.0, "for_s": 1.0, "how": "race"}),
    CoreFault("herd-power", "herd_kill", {"on": "core", "share": 1.0, "for_s": 1.0, "how": "power race"}),
    CoreFault("herd-taken", "herd_kill", {"on": "core", "share": 1.0, "for_s": 1.0, "how": "taken"}),
    CoreFault("seed-turnover", "seed_turnover", {}),
    CoreFault("roll-term", "roll_term", {"on": "core", "share": 0.5, "x": 1.0, "gap_s": 6.0}),
]

CHANGES = [
    Change("change", "config_change", [2.5, 9.0, 14.0, 19.0, 24.0, 30.0, 36.0, 42.0, 48.0], {"how": "route"}),
    Change("storm", "config_storm", [3.0, 28.0], {"for_s": 12.0, "gap_s": 0.3, "how": "weights"}),
    Change("race", "config_race", [3.0, 16.0, 29.0, 41.0], {"count": 5, "gap_s": 1.2}),
]

HOST_EVENTS = [
    HostEvent("release", "plan", "release", {"share": 0.4, "x": 1.0, "gap_s": 1.0}),
    HostEvent("scale-in", "plan", "scale_in", {"share": 0.12}),
    HostEvent("burst", "faults", "burst", {"x": 1.5, "for_s": 4.0}),
]

CLOSING_FAULTS = [
    {"kind": kind, "down_s": 1.0, **how}
    for kind in ("power_off_all", "wipe_after_ack", "kill_all")
    for how in ({}, {"how": "timed"}, {"how": "taken"})
]

FAULTS_PER_DAY = 4
CANDIDATES_PER_DAY = 40  # Random draws per day; the one that covers the most new pairs is used.
FIRST_FAULT_AT_S = 6.0  # Mean start of the first fault, in seconds after the start of traffic.
FAULT_SPACING_S = 8.5  # Mean time between fault starts; about the duration of a fault with its recovery, so that they overlap.
MAX_JITTER_S = 1.5  # Maximum random shift of a fault's start in either direction.
DAY_LENGTH_S = 54.0
HOST_EVENT_FROM_S, HOST_EVENT_UNTIL_S = 8.0, 30.0
LOST_ACKNOWLEDGEMENTS = {"at": 2.0, "kind": "ack_lost", "x": 0.7, "for_s": 46.0}


def crossed_days(seed, count):
    """Yields the names and texts of `count` day files."""
    random_source = random.Random(seed)
    uncovered = set(itertools.combinations_with_replacement(range(len(CORE_FAULTS)), 2))
    for index in range(count):
        chosen = max(
            (_draw_faults(random_source) for _ in range(CANDIDATES_PER_DAY)),
            key=lambda draw: len(_pairs(draw) & uncovered),
        )
        uncovered -= _pairs(chosen)
        name = f"crossed-{seed}-{index:03}"
        yield name, _format_day(name, index, [CORE_FAULTS[position] for position in chosen], random_source)


def _draw_faults(random_source):
    """Draws the faults of a day as positions in CORE_FAULTS. A fault may occur more than once."""
    return [random_source.randrange(len(CORE_FAULTS)) for _ in range(FAULTS_PER_DAY)]


def _pairs(positions):
    """Returns the unordered pairs of positions among a day's faults."""
    return {tuple(sorted(pair)) for pair in itertools.combinations(positions, 2)}


def _format_day(name, index, core_faults, random_source):
    """Returns the text of a day file."""
    # The index shifts make 81 consecutive days combine every change, host event and closing fault.
    change = CHANGES[(index + index // 9) % len(CHANGES)]
    host_event = HOST_EVENTS[(index // 3 + index // 27) % len(HOST_EVENTS)]
    closing = CLOSING_FAULTS[index % len(CLOSING_FAULTS)]
    entries = _entries(change, host_event, core_faults, random_source)
    lines = _format_comment(change, host_event, closing, core_faults)
    lines += ["[[day]]", f'name = "{name}"', f"length_s = {DAY_LENGTH_S}", f"closing = {_format_inline_table(closing)}"]
    for key in ("plan", "faults"):
        lines += [f"{key} = [", *(f"  {_format_inline_table(entry)}," for entry in entries[key]), "]"]
    return "\n".join(lines) + "\n"


def _entries(change, host_event, core_faults, random_source):
    """Returns the entries of the lists `plan` and `faults`."""
    entries = {"plan": [], "faults": [LOST_ACKNOWLEDGEMENTS]}
    for at in change.times:
        entries["plan"].append({"at": at, "kind": change.kind, **change.fields})
    event_at = random_source.uniform(HOST_EVENT_FROM_S, HOST_EVENT_UNTIL_S)
    entries[host_event.list_name].append({"at": round(event_at, 1), "kind": host_event.kind, **host_event.fields})
    for position, fault in enumerate(core_faults):
        at = FIRST_FAULT_AT_S + FAULT_SPACING_S * position + random_source.uniform(-MAX_JITTER_S, MAX_JITTER_S)
        entries["faults"].append({"at": round(at, 1), "kind": fault.kind, **fault.fields})
    return entries


def _format_comment(change, host_event, closing, core_faults):
    """Returns the comment lines that name the day's faults and the rules that must hold."""
    crossed = ", ".join(fault.name for fault in core_faults)
    closing_text = " ".join(closing[key] for key in ("kind", "how") if key in closing)
    return [
        f"# Failure: {crossed}, overlapping, with {change.name}s under lost acknowledgements,",
        f"# {host_event.name}, and {closing_text} at the end.",
        "# Must hold: all rules.",
    ]


def _format_inline_table(fields):
    """Formats a dictionary as a TOML inline table."""
    return "{ " + ", ".join(f"{key} = {_format_value(value)}" for key, value in fields.items()) + " }"


def _format_value(value):
    return f'"{value}"' if isinstance(value, str) else str(value)
