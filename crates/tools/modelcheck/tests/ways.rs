//! Small explorations of every scene, and the ways on which broken variants were found: each leads to a violation with the
//! defence taken out, and to none with it.

use rushcourse_modelcheck::{Bounds, Broken, Move, Move::*, SCENES, Scene, World, explore};
use rushcourse_types::{ConfigurationVersion, Epoch, NodeId};

fn scene(name: &str) -> &'static Scene {
    SCENES.iter().find(|s| s.name == name).expect("a scene")
}

/// What rule is broken on a way, if one is.
fn walked(name: &str, broken: Option<Broken>, way: &[Move]) -> Option<String> {
    let mut world = World::opened(scene(name));
    way.iter()
        .for_each(|what| world.play(scene(name), broken, *what));
    world.violation().map(String::from)
}

fn caught(name: &str, broken: Broken, rule: &str, way: &[Move]) {
    let found = walked(name, Some(broken), way).unwrap_or_else(|| panic!("{name}: nothing found"));
    assert!(found.starts_with(rule), "{found}");
    assert_eq!(walked(name, None, way), None, "{name}: with the defence");
}

#[test]
fn no_sound_scene_breaks_a_rule_as_far_as_a_test_may_look() {
    for scene in &SCENES {
        let found = explore(
            scene,
            None,
            Bounds {
                states: 1_500,
                walks: 150,
                steps: 100,
                seed: 0,
            },
        );
        assert_eq!(found.violation, None, "{}", scene.name);
        assert!(
            found.whole || found.states >= 1_500 && found.longest > 10,
            "{}: {found:?}",
            scene.name
        );
    }
}

#[test]
fn an_operator_answered_at_half_of_the_disks_reads_back_nothing() {
    let way = [
        Put(5),
        Sync(NodeId(3)),
        Deliver(NodeId(3), NodeId(1)),
        Sync(NodeId(1)),
        Deliver(NodeId(1), NodeId(3)),
        Sync(NodeId(3)),
        Get(NodeId(1)),
        Deliver(NodeId(1), NodeId(2)),
        Deliver(NodeId(3), NodeId(2)),
        Deliver(NodeId(2), NodeId(1)),
    ];
    caught(
        "configuration-wiped",
        Broken::AcknowledgeAtHalf,
        "LOST",
        &way,
    );
    // A ballot takes more moves than a copy did: breadth first gets there where nothing but orders of delivery is open.
    let calm = Scene {
        powers: 0,
        wipes: 0,
        waits: 0,
        ..*scene("configuration-wiped")
    };
    let broken = Some(Broken::AcknowledgeAtHalf);
    let found = explore(
        &calm,
        broken,
        Bounds {
            states: 8_000,
            walks: 0,
            steps: 0,
            seed: 0,
        },
    );
    assert!(
        found.violation.is_some(),
        "breadth first finds it too: {found:?}"
    );
}

#[test]
fn a_disk_that_votes_after_a_wipe_lets_a_key_run_twice() {
    #[rustfmt::skip]
    let way = [
        Begin(NodeId(100)), Deliver(NodeId(100), NodeId(2)), Deliver(NodeId(100), NodeId(3)), Sync(NodeId(3)), Sync(NodeId(2)), Deliver(NodeId(3), NodeId(100)), Deliver(NodeId(2), NodeId(100)), Send(NodeId(100)),
        Wait, Wipe(NodeId(3)), Begin(NodeId(101)), Deliver(NodeId(101), NodeId(3)), Deliver(NodeId(101), NodeId(1)), Sync(NodeId(1)), Deliver(NodeId(1), NodeId(101)), Sync(NodeId(3)),
        Deliver(NodeId(101), NodeId(2)), Deliver(NodeId(100), NodeId(1)), Deliver(NodeId(1), NodeId(100)), Deliver(NodeId(3), NodeId(101)), Send(NodeId(101)),
    ];
    caught("keys-wiped", Broken::VoteAfterWipe, "TWICE", &way);
}

#[test]
fn a_vote_of_before_a_wipe_that_still_counts_lets_a_key_run_twice() {
    #[rustfmt::skip]
    let way = [
        Begin(NodeId(101)), Deliver(NodeId(101), NodeId(2)), Deliver(NodeId(101), NodeId(3)), Sync(NodeId(2)), Sync(NodeId(3)), Wait, Wipe(NodeId(3)), Deliver(NodeId(3), NodeId(101)), Begin(NodeId(100)),
        Sync(NodeId(3)), Deliver(NodeId(100), NodeId(1)), Sync(NodeId(1)), Deliver(NodeId(2), NodeId(101)), Wait, Deliver(NodeId(101), NodeId(1)), Deliver(NodeId(100), NodeId(2)), Deliver(NodeId(2), NodeId(100)),
        Wait, Wait, Wait, Wait, Send(NodeId(101)), Sync(NodeId(3)), Sync(NodeId(3)), Deliver(NodeId(100), NodeId(3)), Deliver(NodeId(3), NodeId(100)), Deliver(NodeId(1), NodeId(101)),
        Deliver(NodeId(1), NodeId(100)), Send(NodeId(100)),
    ];
    caught("keys-wiped", Broken::VotesWithoutEnd, "TWICE", &way);
}

#[test]
fn a_disk_that_answers_before_it_synced_loses_what_was_acknowledged() {
    #[rustfmt::skip]
    let way = [
        Put(5), Deliver(NodeId(3), NodeId(1)), Deliver(NodeId(1), NodeId(3)), Deliver(NodeId(3), NodeId(1)), Deliver(NodeId(1), NodeId(3)), Power(NodeId(1)), Power(NodeId(3)), Start(NodeId(3)),
        Start(NodeId(1)), Deliver(NodeId(1), NodeId(3)), Deliver(NodeId(3), NodeId(1)), Get(NodeId(1)), Deliver(NodeId(3), NodeId(1)), Deliver(NodeId(1), NodeId(3)), Deliver(NodeId(1), NodeId(3)),
        Deliver(NodeId(3), NodeId(1)),
    ];
    caught(
        "configuration-power",
        Broken::AnswerBeforeSync,
        "LOST",
        &way,
    );
}

/// Two operators, one number, two texts: counted by the number alone, each text found its majority.
#[test]
fn two_texts_under_one_number_are_both_in_force_where_they_count_for_each_other() {
    #[rustfmt::skip]
    let way = [
        Power(NodeId(3)), Start(NodeId(3)), Deliver(NodeId(3), NodeId(4)), Deliver(NodeId(4), NodeId(3)), Deliver(NodeId(4), NodeId(3)), Deliver(NodeId(3), NodeId(4)), Power(NodeId(2)), Start(NodeId(2)),
        Deliver(NodeId(2), NodeId(1)), Wait, Deliver(NodeId(3), NodeId(2)), Deliver(NodeId(4), NodeId(2)), Deliver(NodeId(1), NodeId(2)), Deliver(NodeId(2), NodeId(1)), Deliver(NodeId(2), NodeId(4)),
        Deliver(NodeId(2), NodeId(3)), Deliver(NodeId(3), NodeId(2)), Deliver(NodeId(2), NodeId(3)), Deliver(NodeId(1), NodeId(2)), Deliver(NodeId(4), NodeId(2)), Deliver(NodeId(2), NodeId(4)), Wait,
        Deliver(NodeId(2), NodeId(4)), Deliver(NodeId(4), NodeId(3)), Deliver(NodeId(4), NodeId(2)), Deliver(NodeId(2), NodeId(3)), Deliver(NodeId(4), NodeId(1)), Deliver(NodeId(1), NodeId(2)),
        Deliver(NodeId(3), NodeId(2)), Deliver(NodeId(2), NodeId(1)), Put(106), Sync(NodeId(3)), Put(5), Deliver(NodeId(2), NodeId(1)), Sync(NodeId(2)), Deliver(NodeId(2), NodeId(4)),
        Deliver(NodeId(3), NodeId(2)), Deliver(NodeId(3), NodeId(4)), Sync(NodeId(4)), Deliver(NodeId(2), NodeId(3)), Deliver(NodeId(3), NodeId(4)), Sync(NodeId(4)), Sync(NodeId(1)),
        Deliver(NodeId(3), NodeId(2)), Sync(NodeId(2)), Deliver(NodeId(4), NodeId(3)), Deliver(NodeId(1), NodeId(2)), Deliver(NodeId(2), NodeId(3)), Deliver(NodeId(4), NodeId(2)), Deliver(NodeId(2), NodeId(1)),
        Deliver(NodeId(3), NodeId(2)), Sync(NodeId(1)), Sync(NodeId(2)), Sync(NodeId(3)), Deliver(NodeId(2), NodeId(3)), Deliver(NodeId(2), NodeId(1)), Deliver(NodeId(2), NodeId(3)),
        Deliver(NodeId(3), NodeId(4)), Sync(NodeId(4)), Deliver(NodeId(4), NodeId(3)), Deliver(NodeId(4), NodeId(1)),
    ];
    caught(
        "configuration-twins",
        Broken::TwinTextsCount,
        "CONFIG",
        &way,
    );
}

/// Claimant 101 has heard of the new set, 100 has not, and its claim goes on with what the one that left granted.
#[test]
fn votes_of_two_sets_that_add_up_let_a_key_run_twice() {
    #[rustfmt::skip]
    let way = [
        Deliver(NodeId(1), NodeId(101)), Deliver(NodeId(2), NodeId(101)), Deliver(NodeId(1), NodeId(101)), Deliver(NodeId(2), NodeId(101)), Deliver(NodeId(1), NodeId(101)), Deliver(NodeId(2), NodeId(101)),
        Begin(NodeId(100)), Begin(NodeId(101)), Deliver(NodeId(100), NodeId(3)), Sync(NodeId(3)), Deliver(NodeId(100), NodeId(1)), Sync(NodeId(1)),
        Deliver(NodeId(3), NodeId(100)), Deliver(NodeId(3), NodeId(100)), Deliver(NodeId(1), NodeId(100)), Deliver(NodeId(1), NodeId(100)), Deliver(NodeId(1), NodeId(100)),
        Deliver(NodeId(101), NodeId(2)), Sync(NodeId(2)), Deliver(NodeId(101), NodeId(4)), Sync(NodeId(4)),
        Deliver(NodeId(2), NodeId(101)), Deliver(NodeId(2), NodeId(101)), Deliver(NodeId(4), NodeId(101)), Deliver(NodeId(4), NodeId(101)), Deliver(NodeId(4), NodeId(101)), Send(NodeId(100)), Send(NodeId(101)),
    ];
    caught("replaced-votes", Broken::EpochUnchecked, "TWICE", &way);
}

#[test]
fn a_removed_voter_that_counts_for_its_successor_lets_a_key_run_twice() {
    #[rustfmt::skip]
    let way = [
        Deliver(NodeId(1), NodeId(101)), Deliver(NodeId(2), NodeId(101)), Deliver(NodeId(1), NodeId(101)), Deliver(NodeId(2), NodeId(101)), Deliver(NodeId(1), NodeId(101)), Deliver(NodeId(2), NodeId(101)),
        Deliver(NodeId(1), NodeId(100)), Deliver(NodeId(2), NodeId(100)), Deliver(NodeId(1), NodeId(100)), Deliver(NodeId(2), NodeId(100)), Deliver(NodeId(1), NodeId(100)), Deliver(NodeId(2), NodeId(100)),
        Begin(NodeId(100)), Begin(NodeId(101)), Deliver(NodeId(100), NodeId(2)), Sync(NodeId(2)), Deliver(NodeId(100), NodeId(4)), Sync(NodeId(4)), Deliver(NodeId(2), NodeId(100)),
        Deliver(NodeId(4), NodeId(100)), Deliver(NodeId(4), NodeId(100)), Deliver(NodeId(4), NodeId(100)), Deliver(NodeId(101), NodeId(1)), Sync(NodeId(1)), Deliver(NodeId(101), NodeId(4)),
        Deliver(NodeId(101), NodeId(3)), Sync(NodeId(3)), Deliver(NodeId(1), NodeId(101)), Deliver(NodeId(3), NodeId(101)), Deliver(NodeId(3), NodeId(101)), Deliver(NodeId(3), NodeId(101)),
        Send(NodeId(100)), Send(NodeId(101)),
    ];
    caught("replaced-votes", Broken::RemovedCounts, "TWICE", &way);
}

/// 100 wins by the one that leaves and another; the newcomer hasn't heard of it.
#[test]
fn a_learner_that_counts_before_it_is_taught_lets_a_key_run_twice() {
    #[rustfmt::skip]
    let way = [
        Begin(NodeId(100)), Deliver(NodeId(100), NodeId(3)), Sync(NodeId(3)), Deliver(NodeId(100), NodeId(1)), Sync(NodeId(1)),
        Deliver(NodeId(1), NodeId(100)), Deliver(NodeId(1), NodeId(100)), Deliver(NodeId(3), NodeId(100)), Deliver(NodeId(3), NodeId(100)), Wait, Settle,
        Deliver(NodeId(1), NodeId(101)), Deliver(NodeId(2), NodeId(101)), Deliver(NodeId(1), NodeId(101)), Deliver(NodeId(2), NodeId(101)), Deliver(NodeId(1), NodeId(101)), Deliver(NodeId(2), NodeId(101)),
        Begin(NodeId(101)), Deliver(NodeId(101), NodeId(2)), Sync(NodeId(2)), Deliver(NodeId(101), NodeId(4)), Sync(NodeId(4)), Deliver(NodeId(2), NodeId(101)),
        Deliver(NodeId(4), NodeId(101)), Deliver(NodeId(4), NodeId(101)), Deliver(NodeId(4), NodeId(101)), Deliver(NodeId(4), NodeId(101)), Send(NodeId(100)), Send(NodeId(101)),
    ];
    caught("replaced-keys", Broken::LearnerCounts, "TWICE", &way);
}

/// The twin is chosen by 2, 4 and 5; then 3 votes for the first text, and 1 still counts what 2 told before its loss.
#[rustfmt::skip]
const LATE: [Move; 39] = [
    Put(106), Deliver(NodeId(2), NodeId(4)), Deliver(NodeId(2), NodeId(5)), Deliver(NodeId(2), NodeId(4)), Deliver(NodeId(2), NodeId(5)), Sync(NodeId(2)), Sync(NodeId(4)), Sync(NodeId(5)),
    Deliver(NodeId(4), NodeId(2)), Deliver(NodeId(5), NodeId(2)), Deliver(NodeId(4), NodeId(2)), Deliver(NodeId(5), NodeId(2)), Sync(NodeId(2)),
    Deliver(NodeId(2), NodeId(4)), Deliver(NodeId(2), NodeId(5)), Deliver(NodeId(2), NodeId(4)), Deliver(NodeId(2), NodeId(5)), Sync(NodeId(2)), Sync(NodeId(4)), Sync(NodeId(5)),
    Deliver(NodeId(2), NodeId(4)), Deliver(NodeId(2), NodeId(5)), Deliver(NodeId(2), NodeId(4)), Deliver(NodeId(2), NodeId(5)), Deliver(NodeId(5), NodeId(4)), Deliver(NodeId(5), NodeId(4)), Deliver(NodeId(4), NodeId(5)),
    Deliver(NodeId(1), NodeId(3)), Deliver(NodeId(1), NodeId(3)), Deliver(NodeId(1), NodeId(3)), Deliver(NodeId(1), NodeId(3)), Deliver(NodeId(1), NodeId(3)), Sync(NodeId(3)), Thaw(NodeId(1)),
    Deliver(NodeId(3), NodeId(1)), Deliver(NodeId(3), NodeId(1)), Deliver(NodeId(3), NodeId(1)), Deliver(NodeId(3), NodeId(1)), Deliver(NodeId(3), NodeId(1)),
];

#[test]
fn what_was_told_without_end_counts_a_vote_of_before_a_wipe() {
    caught("told-late", Broken::ToldWithoutEnd, "CONFIG", &LATE);
}

#[test]
fn a_text_that_is_brought_without_a_promise_replaces_one_in_force() {
    let way = [
        Put(106),
        Sync(NodeId(2)),
        Sync(NodeId(2)),
        Put(5),
        Deliver(NodeId(2), NodeId(1)),
        Deliver(NodeId(2), NodeId(3)),
        Deliver(NodeId(2), NodeId(1)),
        Sync(NodeId(3)),
        Sync(NodeId(3)),
        Deliver(NodeId(3), NodeId(2)),
        Sync(NodeId(2)),
        Deliver(NodeId(3), NodeId(2)),
        Deliver(NodeId(3), NodeId(2)),
        Sync(NodeId(1)),
    ];
    caught("twins-skipped", Broken::BallotsSkipped, "CONFIG", &way);
}

/// Whether a core director votes, and in which set.
fn votes_in(world: &World, n: NodeId) -> Option<Epoch> {
    world
        .ready(n)
        .filter(|ready| ready.is_voter)
        .map(|ready| ready.voting_set.epoch)
}

#[test]
fn openings_lead_to_where_their_scenes_are_said_to_begin() {
    for scene in SCENES
        .iter()
        .filter(|s| s.name.starts_with("replaced-") && !s.opening.contains(&Part(NodeId(3))))
    {
        let world = World::opened(scene);
        assert_eq!(
            world.newest_set().epoch,
            Epoch(1),
            "{}: all stand",
            scene.name
        );
    }
    for name in [
        "replaced-keys",
        "replaced-old-disk",
        "replaced-power",
        "replaced-configuration",
    ] {
        let mut world = World::opened(scene(name));
        assert_eq!(
            world.newest_set().epoch,
            Epoch(1),
            "{name}: the change is not made yet"
        );
        [Wait, Settle]
            .iter()
            .for_each(|what| world.play(scene(name), None, *what));
        assert_eq!(
            world.newest_set().members,
            [1, 2, 4].map(NodeId),
            "{name}: it is at the next wait"
        );
    }
    let mut proposed = World::opened(scene("replaced-proposed"));
    assert_eq!(
        proposed.newest_set().epoch,
        Epoch(1),
        "the change is not made yet"
    );
    proposed.play(scene("replaced-proposed"), None, Settle);
    assert_eq!(
        proposed.newest_set().members,
        [1, 2, 4].map(NodeId),
        "it is under way"
    );
    for name in ["replaced-votes", "replaced-second"] {
        let replaced = World::opened(scene(name));
        assert_eq!(
            [1, 2, 3, 4].map(|n| votes_in(&replaced, NodeId(n))),
            [2, 2, 1, 2].map(|epoch| Some(Epoch(epoch))),
            "{name}"
        );
    }
    let held = World::opened(scene("told-late"));
    assert_eq!(
        [1, 2, 3, 4, 5].map(|n| votes_in(&held, NodeId(n))),
        [Some(Epoch(1)); 5],
        "2 has been taught"
    );
    assert_eq!(
        [1, 2].map(|n| held.ready(NodeId(n)).map(|ready| ready.highest_accepted)),
        [5, 0].map(|version| Some(ConfigurationVersion(version)))
    );
}

/// As in `told-late`, but what 2 told lies unread at 1 when it is held: it is read only after 2 has lost its disk, was
/// taught, and has voted for the other text.
#[test]
fn a_vote_of_before_a_wipe_that_lay_unread_does_not_count() {
    #[rustfmt::skip]
    const UNREAD: [Move; 26] = [
        Put(5), Deliver(NodeId(1), NodeId(2)), Deliver(NodeId(1), NodeId(3)), Sync(NodeId(1)), Sync(NodeId(2)), Sync(NodeId(3)), Deliver(NodeId(2), NodeId(1)), Deliver(NodeId(3), NodeId(1)), Sync(NodeId(1)),
        Deliver(NodeId(1), NodeId(2)), Sync(NodeId(2)), Cut(NodeId(1), NodeId(4)), Cut(NodeId(1), NodeId(5)), Freeze(NodeId(1)), Wipe(NodeId(2)),
        Settle, Wait, Settle, Wait, Settle, Wait, Settle, Wait, Settle, Wait, Settle,
    ];
    let scene = Scene {
        opening: &UNREAD,
        ..*scene("told-late")
    };
    let mut world = World::opened(&scene);
    for what in LATE {
        if what == Thaw(NodeId(1)) {
            [what, Deliver(NodeId(2), NodeId(1))]
                .into_iter()
                .for_each(|what| world.play(&scene, None, what));
        } else {
            world.play(&scene, None, what);
        }
    }
    assert_eq!(world.violation(), None);
}
