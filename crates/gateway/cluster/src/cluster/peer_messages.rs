//! Messages of other controllers, and the messages that open a session with one.

use crate::cluster::Cluster;
use rushcourse_messages::{Heartbeat, HostRecord, Message};
use rushcourse_types::{NodeId, Timestamp};
use std::sync::Arc;

impl Cluster {
    /// Sends all that this controller knows to a peer whose session was opened. The status is last, since it says that
    /// all hosts were sent before it.
    pub(super) fn open_peer_session(&mut self, now: Timestamp, peer: NodeId) {
        self.send_to_peer(peer, Message::HostUpdates(self.hosts.records(now)));
        self.send_to_peer(
            peer,
            Message::GatewaySessions(self.gateways.local_gateways()),
        );
        let status = Message::ControllerStatus {
            is_synchronized: self.is_synchronized(),
            gateways: 0,
        };
        self.send_to_peer(peer, status);
    }

    pub(super) fn handle_peer_message(&mut self, now: Timestamp, peer: NodeId, message: Message) {
        match message {
            Message::HostUpdates(records) => self.apply_host_updates(now, records),
            Message::Heartbeats(heartbeats) => self.apply_heartbeats(now, &heartbeats),
            Message::HostDigests(digests) => self.compare_digests(peer, &digests),
            Message::HostRangeRequest(ranges) => {
                let records = self.hosts.records_in_ranges(now, &ranges);
                self.send_to_peer(peer, Message::HostUpdates(records));
            }
            Message::GatewaySessions(gateways) => self.gateways.set_reported(peer, gateways),
            // It sent all hosts that it knows before this.
            Message::ControllerStatus {
                is_synchronized: true,
                ..
            } => self.initial_sync.set_done(true),
            _ => {}
        }
    }

    fn apply_host_updates(&mut self, now: Timestamp, records: Vec<HostRecord>) {
        let mut changed = Vec::new();
        for record in records {
            let id = record.id.clone();
            if self.hosts.apply_record(now, record) {
                changed.push(id);
            }
        }
        self.publish_hosts(now, &changed);
    }

    fn apply_heartbeats(&mut self, now: Timestamp, heartbeats: &[Heartbeat]) {
        let mut seen_again: Vec<Arc<str>> = Vec::new();
        for heartbeat in heartbeats {
            let (id, sequence) = (&heartbeat.host, heartbeat.sequence);
            if self.hosts.apply_heartbeat(now, id, sequence) {
                seen_again.push(id.clone());
            }
        }
        self.publish_hosts(now, &seen_again);
    }

    /// Asks a peer for the ranges in which its hosts differ from the ones here (anti-entropy).
    fn compare_digests(&mut self, peer: NodeId, digests: &[u64]) {
        let ranges = self.hosts.differing_ranges(digests);
        if !ranges.is_empty() {
            self.send_to_peer(peer, Message::HostRangeRequest(ranges));
        }
    }
}
