//! Explores every scene briefly, and checks the states that setup actions lead to.

mod common;

use common::scene;
use rushcourse_modelcheck::actions::{
    Action::{DeliverAll, Wait},
    isolate,
};
use rushcourse_modelcheck::{Bounds, World, explore, scenes};
use rushcourse_types::{ConfigurationVersion, Epoch, NodeId};

#[test]
fn unmutated_scenes_have_no_violations_within_bounds() {
    let bounds = Bounds {
        states: 1_500,
        walks: 150,
        steps: 100,
        seed: 0,
    };
    for scene in scenes() {
        let findings = explore(scene, None, bounds);
        assert!(
            findings.counterexample.is_none(),
            "{}: {findings:?}",
            scene.name
        );
        let is_far = findings.states >= 1_500 && findings.longest_walk > 10;
        assert!(
            findings.is_complete || is_far,
            "{}: {findings:?}",
            scene.name
        );
    }
}

/// Epoch in which a controller votes; `None` if it is stopped or doesn't vote.
fn voting_epoch(world: &World, node: u32) -> Option<Epoch> {
    let summary = world.summary(NodeId(node))?;
    summary.is_voter.then_some(summary.voting_set.epoch)
}

/// Guards against scenes that explore nothing because no member votes.
#[test]
fn all_members_vote_at_scene_start() {
    for scene in scenes().filter(|scene| !scene.is_first_start) {
        let world = World::new(scene);
        for member in 1..=scene.members {
            let epoch = voting_epoch(&world, member);
            assert_eq!(epoch, Some(Epoch(1)), "{}: {member}", scene.name);
        }
    }
}

#[test]
fn setups_without_isolation_keep_initial_voting_set() {
    for scene in scenes()
        .filter(|s| s.name.starts_with("replaced-") && !s.setup_actions.contains(&isolate(3)))
    {
        let world = World::after_setup(scene, None);
        let epoch = world.newest_voting_set().epoch;
        assert_eq!(epoch, Epoch(1), "{}: no change is due", scene.name);
    }
}

#[test]
fn due_change_is_adopted_after_next_wait() {
    for name in [
        "replaced-keys",
        "replaced-old-disk",
        "replaced-power",
        "replaced-configuration",
    ] {
        let mut world = World::after_setup(scene(name), None);
        let epoch = world.newest_voting_set().epoch;
        assert_eq!(epoch, Epoch(1), "{name}: the change is not adopted yet");
        world.apply(Wait);
        world.apply(DeliverAll);
        let members = &world.newest_voting_set().members;
        assert_eq!(
            *members,
            [1, 2, 4].map(NodeId),
            "{name}: the change is adopted"
        );
    }
}

#[test]
fn proposed_change_is_adopted_after_delivery() {
    let mut world = World::after_setup(scene("replaced-proposed"), None);
    let epoch = world.newest_voting_set().epoch;
    assert_eq!(epoch, Epoch(1), "the change is not adopted yet");
    world.apply(DeliverAll);
    let members = &world.newest_voting_set().members;
    assert_eq!(*members, [1, 2, 4].map(NodeId), "the change is adopted");
}

#[test]
fn uninformed_removed_member_votes_in_old_epoch() {
    for name in ["replaced-votes", "replaced-second"] {
        let world = World::after_setup(scene(name), None);
        assert_eq!(
            [1, 2, 3, 4].map(|node| voting_epoch(&world, node)),
            [2, 2, 1, 2].map(|epoch| Some(Epoch(epoch))),
            "{name}"
        );
    }
}

#[test]
fn wiped_member_votes_again_while_another_is_paused() {
    let world = World::after_setup(scene("reported-late"), None);
    assert_eq!(
        [1, 2, 3, 4, 5].map(|node| voting_epoch(&world, node)),
        [Some(Epoch(1)); 5],
        "all members vote, including the wiped one"
    );
    let highest_accepted = |node| Some(world.summary(NodeId(node))?.highest_accepted);
    assert_eq!(
        [1, 2].map(highest_accepted),
        [5, 0].map(|version| Some(ConfigurationVersion(version)))
    );
}
