//! Ballots of proposers that compete, and reports that arrive late.

use crate::mutation::Mutation;
use crate::scene::{Budget, Clients, Scene};
use crate::scenes::basics::{BASE, EMPTY_BUDGET, NO_CLIENTS};
use crate::setup_actions::MEMBER_PAUSED;
use crate::submission::Submission;

pub(super) const SCENES: [Scene; 3] = [
    Scene {
        name: "rivals-split",
        members: 4,
        clients: Clients {
            submissions: &[Submission(5), Submission::conflicting(5)],
            ..NO_CLIENTS
        },
        budget: Budget {
            machine_losses: 1,
            session_breaks: 1,
            waits: 3,
            reads: 1,
            ..EMPTY_BUDGET
        },
        settle_every_nth_walk: 1,
        walks: 2_000,
        ..BASE
    },
    Scene {
        name: "rivals-unprepared",
        clients: Clients {
            submissions: &[Submission(5), Submission::conflicting(5)],
            ..NO_CLIENTS
        },
        budget: Budget {
            power_losses: 1,
            waits: 2,
            ..EMPTY_BUDGET
        },
        catches: &[Mutation::PromisesSkipped],
        ..BASE
    },
    Scene {
        name: "reported-late",
        members: 5,
        clients: Clients {
            submissions: &[Submission::conflicting(5)],
            ..NO_CLIENTS
        },
        budget: Budget {
            waits: 2,
            ..EMPTY_BUDGET
        },
        is_disconnect_queued: true,
        setup_actions: &MEMBER_PAUSED,
        walks: 10_000,
        catches: &[Mutation::ReportsNeverExpire],
        ..BASE
    },
];
