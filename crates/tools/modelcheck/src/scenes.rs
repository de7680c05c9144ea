//! Definitions of the explored scenes.

use crate::mutation::Mutation;
use crate::scene::{Budget, Clients, Scene};
use crate::setup_actions::{
    CHANGE_ADOPTED, CHANGE_DUE, CHANGE_PROPOSED, LONG_UPTIME, MEMBER_PAUSED,
};
use crate::submission::Submission;

const NO_CLIENTS: Clients = Clients {
    gateways: 0,
    claims: 0,
    submissions: &[],
};

/// Two gateways that each claim the key once.
const TWO_GATEWAYS: Clients = Clients {
    gateways: 2,
    claims: 1,
    ..NO_CLIENTS
};

const EMPTY_BUDGET: Budget = Budget {
    power_losses: 0,
    disk_wipes: 0,
    machine_losses: 0,
    old_disks: 0,
    shutdowns: 0,
    session_breaks: 0,
    isolations: 0,
    pauses: 0,
    waits: 0,
    reads: 0,
    gateway_restarts: 0,
    duty_proposals: 0,
};

/// Three members without clients, faults or waits.
const BASE: Scene = Scene {
    name: "",
    members: 3,
    standbys: 0,
    clients: NO_CLIENTS,
    budget: EMPTY_BUDGET,
    is_first_start: false,
    is_delivery_eager: false,
    is_disconnect_queued: false,
    setup_actions: &[],
    settle_every_nth_walk: 0,
    walks: 20_000,
    catches: &[],
};

/// A standby may replace a member while two gateways claim the key. One walk in 50 settles and must recover.
const REPLACEMENT: Scene = Scene {
    standbys: 1,
    clients: TWO_GATEWAYS,
    is_delivery_eager: true,
    settle_every_nth_walk: 50,
    ..BASE
};

/// All scenes, in the order in which the program runs them.
pub const SCENES: [Scene; 33] = [
    Scene {
        name: "keys-power",
        clients: TWO_GATEWAYS,
        budget: Budget {
            power_losses: 1,
            waits: 1,
            ..EMPTY_BUDGET
        },
        ..BASE
    },
    // With one premature answer, the voter learns of its lost grant from the other members after its restart. With two,
    // a second claim can win.
    Scene {
        name: "keys-power-twice",
        clients: TWO_GATEWAYS,
        budget: Budget {
            power_losses: 2,
            waits: 1,
            ..EMPTY_BUDGET
        },
        is_delivery_eager: true,
        walks: 60_000,
        catches: &[Mutation::AnswerBeforeSync],
        ..BASE
    },
    Scene {
        name: "keys-wiped",
        clients: TWO_GATEWAYS,
        budget: Budget {
            disk_wipes: 1,
            waits: 6,
            ..EMPTY_BUDGET
        },
        is_delivery_eager: true,
        walks: 120_000,
        catches: &[Mutation::VoteAfterWipe, Mutation::VotesNeverExpire],
        ..BASE
    },
    Scene {
        name: "keys-snapshots",
        clients: TWO_GATEWAYS,
        budget: Budget {
            disk_wipes: 2,
            waits: 8,
            ..EMPTY_BUDGET
        },
        ..BASE
    },
    Scene {
        name: "keys-retried",
        members: 4,
        clients: Clients {
            claims: 2,
            ..TWO_GATEWAYS
        },
        budget: Budget {
            power_losses: 1,
            waits: 2,
            ..EMPTY_BUDGET
        },
        ..BASE
    },
    Scene {
        name: "keys-old-disk",
        clients: TWO_GATEWAYS,
        budget: Budget {
            old_disks: 1,
            waits: 7,
            ..EMPTY_BUDGET
        },
        is_delivery_eager: true,
        setup_actions: &LONG_UPTIME,
        settle_every_nth_walk: 50,
        catches: &[Mutation::OldDiskVotes],
        ..BASE
    },
    // A restarted gateway must not release claims of its previous incarnation.
    Scene {
        name: "keys-gateway-restarts",
        clients: Clients {
            gateways: 1,
            claims: 2,
            ..NO_CLIENTS
        },
        budget: Budget {
            gateway_restarts: 1,
            waits: 1,
            ..EMPTY_BUDGET
        },
        is_delivery_eager: true,
        catches: &[Mutation::WithdrawsEarlierClaim],
        ..BASE
    },
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
    // With premature answers, all three members forget the votes for a state that one of them has learned.
    Scene {
        name: "duty-power",
        budget: Budget {
            power_losses: 3,
            waits: 1,
            duty_proposals: 2,
            ..EMPTY_BUDGET
        },
        is_delivery_eager: true,
        walks: 60_000,
        catches: &[Mutation::AnswerBeforeSync],
        ..BASE
    },
    Scene {
        name: "duty-rivals",
        budget: Budget {
            waits: 1,
            duty_proposals: 2,
            ..EMPTY_BUDGET
        },
        walks: 60_000,
        catches: &[Mutation::PromisesSkipped],
        ..BASE
    },
    // A member that is cut off misses states, and proposes the next one that it knows of when it is back.
    Scene {
        name: "duty-lagging",
        budget: Budget {
            power_losses: 1,
            isolations: 1,
            disk_wipes: 1,
            waits: 7,
            duty_proposals: 5,
            ..EMPTY_BUDGET
        },
        is_delivery_eager: true,
        walks: 40_000,
        ..BASE
    },
];
