//! Small explorations of every scene, and where their openings lead.

mod common;

use common::scene;
use rushcourse_modelcheck::moves::{
    Move::{DeliverAll, Wait},
    isolate,
};
use rushcourse_modelcheck::{Bounds, SCENES, World, explore};
use rushcourse_types::{ConfigurationVersion, Epoch, NodeId};

#[test]
fn no_sound_scene_breaks_a_rule_as_far_as_a_test_may_look() {
    let bounds = Bounds {
        states: 1_500,
        walks: 150,
        steps: 100,
        seed: 0,
    };
    for scene in &SCENES {
        let found = explore(scene, None, bounds);
        assert!(found.counterexample.is_none(), "{}: {found:?}", scene.name);
        let is_far = found.states >= 1_500 && found.longest_walk > 10;
        assert!(found.is_complete || is_far, "{}: {found:?}", scene.name);
    }
}

/// Whether a controller votes, and in which epoch.
fn voting_epoch(world: &World, node: u32) -> Option<Epoch> {
    let summary = world.summary(NodeId(node))?;
    summary.is_voter.then_some(summary.voting_set.epoch)
}

/// Where no member voted, nothing would be explored.
#[test]
fn all_members_vote_at_the_start_of_a_scene() {
    for scene in SCENES.iter().filter(|scene| !scene.is_first_start) {
        let world = World::new(scene);
        for member in 1..=scene.members {
            let epoch = voting_epoch(&world, member);
            assert_eq!(epoch, Some(Epoch(1)), "{}: {member}", scene.name);
        }
    }
}

#[test]
fn openings_up_to_a_change_leave_the_first_voting_set() {
    for scene in SCENES
        .iter()
        .filter(|s| s.name.starts_with("replaced-") && !s.opening.contains(&isolate(3)))
    {
        let world = World::opened(scene, None);
        let epoch = world.newest_voting_set().epoch;
        assert_eq!(epoch, Epoch(1), "{}: all are long up", scene.name);
    }
}

#[test]
fn a_change_that_is_due_is_made_at_the_next_wait() {
    for name in [
        "replaced-keys",
        "replaced-old-disk",
        "replaced-power",
        "replaced-configuration",
    ] {
        let mut world = World::opened(scene(name), None);
        let epoch = world.newest_voting_set().epoch;
        assert_eq!(epoch, Epoch(1), "{name}: the change is not made yet");
        world.play(Wait);
        world.play(DeliverAll);
        let members = &world.newest_voting_set().members;
        assert_eq!(*members, [1, 2, 4].map(NodeId), "{name}: it is made");
    }
}

#[test]
fn a_change_that_is_proposed_is_made_once_all_is_delivered() {
    let mut world = World::opened(scene("replaced-proposed"), None);
    let epoch = world.newest_voting_set().epoch;
    assert_eq!(epoch, Epoch(1), "the change is not made yet");
    world.play(DeliverAll);
    let members = &world.newest_voting_set().members;
    assert_eq!(*members, [1, 2, 4].map(NodeId), "it is under way");
}

#[test]
fn a_removed_member_that_lacks_the_new_set_votes_in_the_old_one() {
    for name in ["replaced-votes", "replaced-second"] {
        let world = World::opened(scene(name), None);
        assert_eq!(
            [1, 2, 3, 4].map(|node| voting_epoch(&world, node)),
            [2, 2, 1, 2].map(|epoch| Some(Epoch(epoch))),
            "{name}"
        );
    }
}

#[test]
fn a_wiped_voter_votes_again_while_another_is_paused() {
    let world = World::opened(scene("reported-late"), None);
    assert_eq!(
        [1, 2, 3, 4, 5].map(|node| voting_epoch(&world, node)),
        [Some(Epoch(1)); 5],
        "2 has complete state again"
    );
    let highest_accepted = |node| Some(world.summary(NodeId(node))?.highest_accepted);
    assert_eq!(
        [1, 2].map(highest_accepted),
        [5, 0].map(|version| Some(ConfigurationVersion(version)))
    );
}
