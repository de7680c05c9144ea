//! Claims of operation keys under losses of power, wiped and outdated disks, and restarts.

use crate::mutation::Mutation;
use crate::scene::{Budget, Clients, Scene};
use crate::scenes::basics::{BASE, EMPTY_BUDGET, NO_CLIENTS, TWO_GATEWAYS};
use crate::setup_actions::LONG_UPTIME;

pub(super) const SCENES: [Scene; 7] = [
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
];
