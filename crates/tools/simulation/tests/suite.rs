//! Runs the simulation in all modes, and verifies that the checker detects injected faults.

use rushcourse_simulation::script::Script;
use rushcourse_simulation::suite::run_suite;
use rushcourse_simulation::world::{InjectedFault, Mode, World};
use std::collections::BTreeSet;

#[test]
fn two_hundred_scripts_give_the_same_tables_and_violations_in_all_modes() {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());

    let result = run_suite(1..201, threads);

    assert_eq!((result.scripts, result.runs), (200, 800));
    assert_eq!(result.violations, Vec::<String>::new());
    assert_eq!(result.rule_mismatches, Vec::<String>::new());
    assert_eq!(result.table_mismatches, Vec::<String>::new());
    let (after_restart, before_restart) =
        (result.after_restart.tables, result.before_restart.tables);
    assert!(
        after_restart > 10_000 && before_restart > 10_000,
        "{after_restart}"
    );
    for rule in ["lines", "repeats", "drains", "cold", "messages"] {
        let count = result.checks.get(rule);
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
        let count = result.events.get(kind);
        assert!(count.is_some_and(|n| *n > 50), "{kind}: {count:?}");
    }
}

/// Rules that are violated in at least one of six scripts with an injected fault.
fn violated_rules(injected_fault: InjectedFault, mode: Mode) -> BTreeSet<&'static str> {
    let scripts = (1..7).map(Script::generate);
    let violations = scripts.flat_map(|script| {
        let world = World::new(&script, mode, Some(injected_fault));
        world.play().violations
    });
    violations.map(|violation| violation.rule).collect()
}

#[test]
fn injected_faults_are_detected() {
    for (injected_fault, rule) in [
        (InjectedFault::KeepRemovedHosts, "drains"),
        (InjectedFault::EmptyTables, "lines"),
        (InjectedFault::OverloadWarmingHosts, "cold"),
        (InjectedFault::RepeatMessages, "messages"),
        (InjectedFault::RetryAll, "repeats"),
    ] {
        for mode in [Mode::Whole, Mode::Delta, Mode::Mix] {
            let found = violated_rules(injected_fault, mode);
            assert!(
                found.contains(rule),
                "{injected_fault:?} {mode:?}: {found:?}"
            );
        }
    }
}

#[test]
fn same_seed_gives_the_same_script_and_tables() {
    let (script, again) = (Script::generate(5), Script::generate(5));
    assert_eq!(script.events, again.events);
    let tables = |script: &Script| {
        World::new(script, Mode::Mix, None)
            .play()
            .tables_before_restart
    };
    assert_eq!(tables(&script), tables(&again));
    assert_ne!(script.events, Script::generate(6).events);
}
