//! Periodic work: completion of the initial synchronization, heartbeat batches, digest broadcasts, host timeouts, and
//! policy timers.

use crate::cluster::Cluster;
use crate::events::Effect;
use rushcourse_messages::Message;
use rushcourse_types::Timestamp;
use std::time::Duration;

/// Interval at which host digests are broadcast to the other controllers (anti-entropy).
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);

impl Cluster {
    pub(super) fn tick(&mut self, now: Timestamp) {
        self.finish_initial_sync(now);
        if let Some(heartbeats) = self.heartbeats.take_due(now) {
            self.broadcast_to_peers(heartbeats);
        }
        self.broadcast_digests(now);
        self.detect_timed_out_hosts(now);
        let updates = self.distribution.run_due_timers(now);
        self.send_updates(now, updates);
    }

    fn finish_initial_sync(&mut self, now: Timestamp) {
        if !self.initial_sync.end_wait(now) {
            return;
        }
        let host_count = self.hosts.iter().count();
        self.log(format!("event=synchronized hosts={host_count}"));
        self.broadcast_to_peers(Message::ControllerStatus {
            is_synchronized: true,
            gateways: 0,
        });
    }

    fn broadcast_digests(&mut self, now: Timestamp) {
        if now >= self.digests_sent_at + DIGEST_INTERVAL {
            self.digests_sent_at = now;
            self.broadcast_to_peers(Message::HostDigests(self.hosts.digests()));
        }
    }

    fn detect_timed_out_hosts(&mut self, now: Timestamp) {
        for id in self.hosts.remove_expired(now) {
            self.effects.push(Effect::RemoveStoredHost(id));
        }
        let is_detecting = self.is_synchronized() && self.failure_detection.is_active(now);
        let newly_timed_out = if is_detecting {
            self.hosts.mark_timed_out(now)
        } else {
            Vec::new()
        };
        for id in &newly_timed_out {
            self.log(format!("event=host_timed_out id={id}"));
        }
        self.publish_hosts(now, &newly_timed_out);
    }
}
