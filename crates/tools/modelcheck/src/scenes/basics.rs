//! Clients, fault budgets and scenes that others are derived from.

use crate::scene::{Budget, Clients, Scene};

pub(super) const NO_CLIENTS: Clients = Clients {
    gateways: 0,
    claims: 0,
    submissions: &[],
};

/// Two gateways that each claim the key once.
pub(super) const TWO_GATEWAYS: Clients = Clients {
    gateways: 2,
    claims: 1,
    ..NO_CLIENTS
};

pub(super) const EMPTY_BUDGET: Budget = Budget {
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
pub(super) const BASE: Scene = Scene {
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
pub(super) const REPLACEMENT: Scene = Scene {
    standbys: 1,
    clients: TWO_GATEWAYS,
    is_delivery_eager: true,
    settle_every_nth_walk: 50,
    ..BASE
};
