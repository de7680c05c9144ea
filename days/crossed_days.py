"""Generates days that cross every fault of core machines with every other one (pairwise testing), from a seed.

Each day holds `FAULTS_A_DAY` core faults that overlap, one kind of change under lost acknowledgements, some planned
work among the hosts, and a closing fault. Days are chosen greedily so that few of them cross all pairs: the first days
cover the most. The same seed gives the same days on every machine.
"""

import itertools
import random
from typing import NamedTuple


class CoreFault(NamedTuple):
    """A fault of core machines: its name in comments, and the kind and fields of its entry in a day file."""

    name: str
    kind: str
    fields: dict


class Change(NamedTuple):
    """A kind of configuration changes, and when they begin, in seconds from the start of traffic."""

    name: str
    kind: str
    times: list
    fields: dict


class HostWork(NamedTuple):
    """Work among the hosts; `list_name`: the list of the day file that its entry stands in."""

    name: str
    list_name: str
    kind: str
    fields: dict


# `for_s` and `x` are in the units that the bench's list of kinds states.
# `after_ack_kill` and `after_ack_wipe` with `taken` are left out: no core machine accepts clients' work itself, and in a
# trial of 24 s on each small deployment they struck nothing.
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

HOST_WORK = [
    HostWork("release", "plan", "release", {"share": 0.4, "x": 1.0, "gap_s": 1.0}),
    HostWork("scale-in", "plan", "scale_in", {"share": 0.12}),
    HostWork("burst", "faults", "burst", {"x": 1.5, "for_s": 4.0}),
]

CLOSINGS = [
    {"kind": kind, "down_s": 1.0, **how}
    for kind in ("power_off_all", "wipe_after_ack", "kill_all")
    for how in ({}, {"how": "timed"}, {"how": "taken"})
]

FAULTS_A_DAY = 4
CANDIDATES = 40  # Draws a day, of which the one that crosses the most new pairs is chosen.
FIRST_AT_S = 6.0  # The first fault, in seconds from the start of traffic.
SPACING_S = 8.5  # Between faults: about as long as most of them with the recovery from them, so that they overlap.
MAX_SHIFT_S = 1.5  # How far a fault is moved at random, either way.
LENGTH_S = 54.0
HOST_WORK_FROM_S, HOST_WORK_UNTIL_S = 8.0, 30.0
LOST_ACKNOWLEDGEMENTS = {"at": 2.0, "kind": "ack_lost", "x": 0.7, "for_s": 46.0}


def crossed_days(seed, count):
    """Yields `count` pairs of a name and the text of a day file."""
    random_source = random.Random(seed)
    uncovered = set(itertools.combinations_with_replacement(range(len(CORE_FAULTS)), 2))
    for index in range(count):
        chosen = max((_draw(random_source) for _ in range(CANDIDATES)), key=lambda draw: len(_pairs(draw) & uncovered))
        uncovered -= _pairs(chosen)
        name = f"crossed-{seed}-{index:03}"
        yield name, _day(name, index, [CORE_FAULTS[position] for position in chosen], random_source)


def _draw(random_source):
    """One ordered choice of faults, by their positions in CORE_FAULTS; one fault may come twice."""
    return [random_source.randrange(len(CORE_FAULTS)) for _ in range(FAULTS_A_DAY)]


def _pairs(positions):
    """The pairs that a day with these faults crosses."""
    return {tuple(sorted(pair)) for pair in itertools.combinations(positions, 2)}


def _day(name, index, core_faults, random_source):
    """The text of one day's file."""
    # Shifted against each other, so that 81 days meet every change with every host work and every closing fault.
    change = CHANGES[(index + index // 9) % len(CHANGES)]
    host_work = HOST_WORK[(index // 3 + index // 27) % len(HOST_WORK)]
    closing = CLOSINGS[index % len(CLOSINGS)]
    entries = _entries(change, host_work, core_faults, random_source)
    lines = _comment(change, host_work, closing, core_faults)
    lines += ["[[day]]", f'name = "{name}"', f"length_s = {LENGTH_S}", f"closing = {_inline_table(closing)}"]
    for key in ("plan", "faults"):
        lines += [f"{key} = [", *(f"  {_inline_table(entry)}," for entry in entries[key]), "]"]
    return "\n".join(lines) + "\n"


def _entries(change, host_work, core_faults, random_source):
    """The entries of a day's lists."""
    entries = {"plan": [], "faults": [LOST_ACKNOWLEDGEMENTS]}
    for at in change.times:
        entries["plan"].append({"at": at, "kind": change.kind, **change.fields})
    work_at = random_source.uniform(HOST_WORK_FROM_S, HOST_WORK_UNTIL_S)
    entries[host_work.list_name].append({"at": round(work_at, 1), "kind": host_work.kind, **host_work.fields})
    for position, fault in enumerate(core_faults):
        at = FIRST_AT_S + SPACING_S * position + random_source.uniform(-MAX_SHIFT_S, MAX_SHIFT_S)
        entries["faults"].append({"at": round(at, 1), "kind": fault.kind, **fault.fields})
    return entries


def _comment(change, host_work, closing, core_faults):
    """What fails on a day and what must hold."""
    crossed = ", ".join(fault.name for fault in core_faults)
    closing_text = " ".join(closing[key] for key in ("kind", "how") if key in closing)
    return [
        f"# Failure: {crossed}, one into the other, with {change.name}s under lost acknowledgements,",
        f"# {host_work.name}, and at the end {closing_text}.",
        "# Must hold: every rule.",
    ]


def _inline_table(fields):
    """An inline table."""
    return "{ " + ", ".join(f"{key} = {_value(value)}" for key, value in fields.items()) + " }"


def _value(value):
    return f'"{value}"' if isinstance(value, str) else str(value)
