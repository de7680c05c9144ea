//! The suite in CI: the same scripts over both protocols, and a checker that finds what is broken on purpose.

use rushcourse_simulation::prove::prove;
use rushcourse_simulation::script::Script;
use rushcourse_simulation::world::{Flaw, Mode, World};
use std::collections::BTreeSet;

#[test]
fn two_hundred_scripts_give_the_same_tables_and_verdicts_over_both_protocols() {
    let proof = prove(
        1..201,
        std::thread::available_parallelism().map_or(1, |n| n.get()),
    );
    assert_eq!((proof.scripts, proof.runs), (200, 800));
    assert_eq!(proof.broken, Vec::<String>::new());
    assert_eq!(proof.verdicts, Vec::<String>::new());
    assert_eq!(proof.differing, Vec::<String>::new());
    assert!(
        proof.tables > 10_000 && proof.tables_after > 10_000,
        "{}",
        proof.tables
    );
    for rule in ["lines", "repeats", "drains", "cold", "messages"] {
        assert!(
            proof.checks.get(rule).is_some_and(|n| *n > 5_000),
            "{rule}: {:?}",
            proof.checks
        );
    }
    for kind in [
        "joins",
        "leaves",
        "drains",
        "cold starts",
        "stalls",
        "relay stalls",
        "restarts",
        "reports",
    ] {
        assert!(
            proof.events.get(kind).is_some_and(|n| *n > 50),
            "{kind}: {:?}",
            proof.events
        );
    }
}

/// Rules that the checker finds broken in a few scripts with a flaw.
fn found(flaw: Flaw, mode: Mode) -> BTreeSet<&'static str> {
    let scripts = (1..7).map(Script::draw);
    let broken = scripts.flat_map(|s| World::new(&s, mode, Some(flaw)).play().broken);
    broken.map(|b| b.rule).collect()
}

#[test]
fn what_is_broken_on_purpose_is_found() {
    for (flaw, rule) in [
        (Flaw::KeepsHosts, "drains"),
        (Flaw::EmptiesTables, "lines"),
        (Flaw::FloodsColdHosts, "cold"),
        (Flaw::Babbles, "messages"),
        (Flaw::RepeatsAll, "repeats"),
    ] {
        for mode in [Mode::Whole, Mode::Delta, Mode::Mix] {
            let found = found(flaw, mode);
            assert!(found.contains(rule), "{flaw:?} {mode:?}: {found:?}");
        }
    }
}

#[test]
fn a_script_is_the_same_each_time_and_so_is_its_run() {
    let (a, b) = (Script::draw(5), Script::draw(5));
    assert_eq!(a.events, b.events);
    let tables = |script: &Script| World::new(script, Mode::Mix, None).play().tables;
    assert_eq!(tables(&a), tables(&b));
    assert_ne!(a.events, Script::draw(6).events);
}
