//! The usage duty: its states under losses, between rivals and at replicas that lag.

use crate::mutation::Mutation;
use crate::scene::{Budget, Scene};
use crate::scenes::basics::{BASE, EMPTY_BUDGET};

pub(super) const SCENES: [Scene; 3] = [
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
