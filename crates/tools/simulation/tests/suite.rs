//! The suite in CI: the same scripts over both protocols, and a checker that finds what is broken on purpose.

use rushcourse_simulation::prove::prove;
use rushcourse_simulation::script::Script;
use rushcourse_simulation::world::{Flaw, Mode, World};
use std::collections::BTreeSet;

#[test]
fn two_hundred_scripts_give_the_same_tables_and_verdicts_over_both_protocols() {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());

    let proof = prove(1..201, threads);

    assert_eq!((proof.scripts, proof.runs), (200, 800));
    assert_eq!(proof.violations, Vec::<String>::new());
    assert_eq!(proof.other_verdicts, Vec::<String>::new());
    assert_eq!(proof.differing, Vec::<String>::new());
    let (fresh, grown) = (proof.fresh.tables, proof.grown.tables);
    assert!(fresh > 10_000 && grown > 10_000, "{fresh}");
    for rule in ["lines", "repeats", "drains", "cold", "messages"] {
        let count = proof.checks.get(rule);
        assert!(count.is_some_and(|n| *n > 5_000), "{rule}: {count:?}");
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
        let count = proof.events.get(kind);
        assert!(count.is_some_and(|n| *n > 50), "{kind}: {count:?}");
    }
}

/// Rules that the checker finds broken in a few scripts with a flaw.
fn broken_rules(flaw: Flaw, mode: Mode) -> BTreeSet<&'static str> {
    let scripts = (1..7).map(Script::draw);
    let violations = scripts.flat_map(|script| {
        let world = World::new(&script, mode, Some(flaw));
        world.play().violations
    });
    violations.map(|violation| violation.rule).collect()
}

#[test]
fn what_is_broken_on_purpose_is_found() {
    for (flaw, rule) in [
        (Flaw::KeepsHosts, "drains"),
        (Flaw::EmptiesTables, "lines"),
        (Flaw::OverloadsWarmingHosts, "cold"),
        (Flaw::RepeatsMessages, "messages"),
        (Flaw::RetriesAll, "repeats"),
    ] {
        for mode in [Mode::Whole, Mode::Delta, Mode::Mix] {
            let found = broken_rules(flaw, mode);
            assert!(found.contains(rule), "{flaw:?} {mode:?}: {found:?}");
        }
    }
}

#[test]
fn a_script_is_the_same_each_time_and_so_is_its_run() {
    let (script, again) = (Script::draw(5), Script::draw(5));
    assert_eq!(script.events, again.events);
    let tables = |script: &Script| World::new(script, Mode::Mix, None).play().tables;
    assert_eq!(tables(&script), tables(&again));
    assert_ne!(script.events, Script::draw(6).events);
}
