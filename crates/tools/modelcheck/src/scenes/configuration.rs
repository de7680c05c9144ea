//! Configurations of one and of several operators under losses, wiped disks and partitions.

use crate::mutation::Mutation;
use crate::scene::{Budget, Clients, Scene};
use crate::scenes::basics::{BASE, EMPTY_BUDGET, NO_CLIENTS};
use crate::setup_actions::LONG_UPTIME;
use crate::submission::Submission;

pub(super) const SCENES: [Scene; 7] = [
    // An isolated controller must not return an outdated configuration.
    Scene {
        name: "configuration-isolated",
        clients: Clients {
            submissions: &[Submission(5), Submission(7)],
            ..NO_CLIENTS
        },
        budget: Budget {
            isolations: 1,
            waits: 3,
            reads: 2,
            ..EMPTY_BUDGET
        },
        is_delivery_eager: true,
        settle_every_nth_walk: 50,
        walks: 10_000,
        catches: &[Mutation::ReadsLocally],
        ..BASE
    },
    Scene {
        name: "configuration-old-disk",
        clients: Clients {
            submissions: &[Submission(5), Submission::conflicting(5)],
            ..NO_CLIENTS
        },
        budget: Budget {
            old_disks: 1,
            waits: 7,
            reads: 1,
            ..EMPTY_BUDGET
        },
        is_delivery_eager: true,
        setup_actions: &LONG_UPTIME,
        settle_every_nth_walk: 50,
        walks: 10_000,
        ..BASE
    },
    Scene {
        name: "configuration-power",
        clients: Clients {
            submissions: &[Submission(5), Submission(7)],
            ..NO_CLIENTS
        },
        budget: Budget {
            power_losses: 3,
            waits: 1,
            reads: 1,
            ..EMPTY_BUDGET
        },
        catches: &[Mutation::AnswerBeforeSync],
        ..BASE
    },
    Scene {
        name: "configuration-wiped",
        clients: Clients {
            submissions: &[Submission(5)],
            ..NO_CLIENTS
        },
        budget: Budget {
            power_losses: 2,
            disk_wipes: 1,
            waits: 6,
            reads: 1,
            ..EMPTY_BUDGET
        },
        catches: &[Mutation::AcknowledgeAtHalf],
        ..BASE
    },
    Scene {
        name: "configuration-rivals",
        members: 4,
        clients: Clients {
            submissions: &[Submission(5), Submission::conflicting(5)],
            ..NO_CLIENTS
        },
        budget: Budget {
            power_losses: 2,
            session_breaks: 1,
            waits: 2,
            reads: 1,
            ..EMPTY_BUDGET
        },
        ..BASE
    },
    // Like `configuration-rivals`, but without power failures, so that walks reach greater depths.
    Scene {
        name: "configuration-rivals-calm",
        members: 4,
        clients: Clients {
            submissions: &[Submission(5), Submission::conflicting(5)],
            ..NO_CLIENTS
        },
        budget: Budget {
            session_breaks: 1,
            waits: 2,
            reads: 1,
            ..EMPTY_BUDGET
        },
        catches: &[Mutation::RivalTextsCount],
        ..BASE
    },
    Scene {
        name: "configuration-partition",
        members: 4,
        clients: Clients {
            submissions: &[Submission(5), Submission(7)],
            ..NO_CLIENTS
        },
        budget: Budget {
            session_breaks: 2,
            waits: 1,
            reads: 2,
            ..EMPTY_BUDGET
        },
        ..BASE
    },
];
