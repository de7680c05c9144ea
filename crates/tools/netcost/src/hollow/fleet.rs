//! Names of the nodes, zones and hosts of a size.

use super::Size;
use rushcourse_messages::{HostRecord, HostState, NodeId};
use rushcourse_types::{CallSequence, Millis, SessionId};
use std::sync::Arc;

/// Numbers of the first hollow controller's and the first gateway's node, less the latter's session.
const FIRST_PEER: u32 = 10;
const FIRST_GATEWAY: u32 = 1_000;

/// Another controller.
pub(super) fn peer(index: usize) -> NodeId {
    NodeId(FIRST_PEER + index as u32)
}

/// The gateway of a session, which count from 1 on.
pub(super) fn gateway(session: SessionId) -> NodeId {
    NodeId(FIRST_GATEWAY + session.0 as u32)
}

pub(super) fn zone(index: usize, size: &Size) -> Arc<str> {
    format!("zone-{:02}", index % size.zones).into()
}

pub(super) fn service(index: usize, size: &Size) -> Arc<str> {
    format!("service-{:03}", index % size.services).into()
}

/// A host as a controller knows it.
pub(super) fn host(index: usize, size: &Size) -> HostRecord {
    let address = format!(
        "10.{}.{}.{}:8540",
        index % size.zones,
        index / 200 % 250,
        index % 200
    );
    HostRecord {
        id: format!("i-{index:010x}").into(),
        service: service(index, size),
        zone: zone(index / size.services, size),
        address: address.into(),
        slots: 4,
        state: HostState::Ready,
        sequence: CallSequence(1),
        warm_up: Millis(0),
        age: Millis(0),
    }
}
