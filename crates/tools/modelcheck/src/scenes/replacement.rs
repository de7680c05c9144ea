//! Changes of the voting set while keys are claimed and configurations submitted.

use crate::mutation::Mutation;
use crate::scene::{Budget, Clients, Scene};
use crate::scenes::basics::{BASE, EMPTY_BUDGET, NO_CLIENTS, REPLACEMENT, TWO_GATEWAYS};
use crate::setup_actions::{CHANGE_ADOPTED, CHANGE_DUE, CHANGE_PROPOSED, LONG_UPTIME};
use crate::submission::Submission;

pub(super) const SCENES: [Scene; 13] = [
    Scene {
        name: "voting-set",
        members: 4,
        clients: Clients {
            submissions: &[Submission(5)],
            ..NO_CLIENTS
        },
        budget: Budget {
            power_losses: 2,
            session_breaks: 1,
            waits: 5,
            ..EMPTY_BUDGET
        },
        is_first_start: true,
        ..BASE
    },
    Scene {
        name: "replaced-keys",
        budget: Budget {
            waits: 3,
            ..EMPTY_BUDGET
        },
        setup_actions: &CHANGE_DUE,
        catches: &[Mutation::LearnerCounts],
        ..REPLACEMENT
    },
    Scene {
        name: "replaced-votes",
        standbys: 1,
        clients: TWO_GATEWAYS,
        budget: Budget {
            waits: 1,
            ..EMPTY_BUDGET
        },
        is_delivery_eager: true,
        setup_actions: &CHANGE_ADOPTED,
        catches: &[Mutation::EpochUnchecked, Mutation::RemovedCounts],
        ..BASE
    },
    Scene {
        name: "replaced-twice",
        standbys: 2,
        budget: Budget {
            machine_losses: 2,
            waits: 14,
            ..EMPTY_BUDGET
        },
        setup_actions: &LONG_UPTIME,
        ..REPLACEMENT
    },
    Scene {
        name: "replaced-in-partition",
        members: 5,
        budget: Budget {
            machine_losses: 1,
            isolations: 2,
            waits: 8,
            ..EMPTY_BUDGET
        },
        setup_actions: &LONG_UPTIME,
        walks: 10_000,
        ..REPLACEMENT
    },
    Scene {
        name: "replaced-wiped",
        members: 5,
        budget: Budget {
            disk_wipes: 2,
            machine_losses: 1,
            waits: 10,
            ..EMPTY_BUDGET
        },
        setup_actions: &LONG_UPTIME,
        walks: 10_000,
        ..REPLACEMENT
    },
    Scene {
        name: "replaced-old-disk",
        budget: Budget {
            power_losses: 1,
            old_disks: 1,
            waits: 8,
            ..EMPTY_BUDGET
        },
        setup_actions: &CHANGE_DUE,
        ..REPLACEMENT
    },
    Scene {
        name: "replaced-overlapping",
        budget: Budget {
            power_losses: 1,
            disk_wipes: 1,
            waits: 8,
            ..EMPTY_BUDGET
        },
        setup_actions: &CHANGE_DUE,
        walks: 10_000,
        ..REPLACEMENT
    },
    Scene {
        name: "replaced-power",
        budget: Budget {
            power_losses: 4,
            waits: 4,
            ..EMPTY_BUDGET
        },
        setup_actions: &CHANGE_DUE,
        ..REPLACEMENT
    },
    Scene {
        name: "replaced-configuration",
        standbys: 1,
        clients: Clients {
            submissions: &[Submission(5), Submission(7)],
            ..NO_CLIENTS
        },
        budget: Budget {
            power_losses: 2,
            waits: 5,
            reads: 1,
            ..EMPTY_BUDGET
        },
        setup_actions: &CHANGE_DUE,
        settle_every_nth_walk: 50,
        walks: 10_000,
        ..BASE
    },
    Scene {
        name: "replaced-second",
        standbys: 2,
        budget: Budget {
            machine_losses: 1,
            waits: 8,
            ..EMPTY_BUDGET
        },
        setup_actions: &CHANGE_ADOPTED,
        walks: 10_000,
        ..REPLACEMENT
    },
    Scene {
        name: "replaced-proposed",
        standbys: 1,
        clients: Clients {
            submissions: &[Submission(5), Submission(7)],
            ..NO_CLIENTS
        },
        budget: Budget {
            power_losses: 2,
            waits: 5,
            reads: 1,
            ..EMPTY_BUDGET
        },
        setup_actions: &CHANGE_PROPOSED,
        settle_every_nth_walk: 50,
        walks: 10_000,
        ..BASE
    },
    Scene {
        name: "replaced-shutting-down",
        standbys: 2,
        budget: Budget {
            power_losses: 1,
            shutdowns: 2,
            waits: 8,
            ..EMPTY_BUDGET
        },
        setup_actions: &LONG_UPTIME,
        walks: 10_000,
        ..REPLACEMENT
    },
];
