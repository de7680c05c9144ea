//! Messages from other controllers, and the initial messages of a session with one.

use crate::cluster::Cluster;
use rushcourse_messages::{Heartbeat, HostRecord, Message};
use rushcourse_types::{NodeId, Timestamp};
use std::sync::Arc;

impl Cluster {
    /// Sends all hosts and gateway sessions to a newly connected peer. The status must be sent last, because the peer
    /// takes it as confirmation that it has received all hosts.
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
            // A peer sends all its hosts before its status, so this controller now knows all of them.
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

    /// Requests the hosts of all ranges whose digests differ from those of a peer (anti-entropy).
    fn compare_digests(&mut self, peer: NodeId, digests: &[u64]) {
        let ranges = self.hosts.differing_ranges(digests);
        if !ranges.is_empty() {
            self.send_to_peer(peer, Message::HostRangeRequest(ranges));
        }
    }
}
