//! The policy's actions and the membership list reach the streams.

use super::state::Streams;
use crate::report_streams::ReportingHost;
use crate::resources::HostLocation;
use rushcourse_policy::interface::{Action, HostEntry, Ms, Readiness};

impl Streams {
    /// A batch of the policy's actions.
    pub fn apply_actions(&mut self, now: Ms, actions: &[Action]) {
        for action in actions {
            self.cache.apply(action);
        }
        let ack_number = actions.iter().rev().find_map(|action| match action {
            Action::RequestAck { ack_number: number } => Some(*number),
            _ => None,
        });
        for proxy in self.cache.take_changed_proxies() {
            let Some(stream) = self.registry.stream(proxy) else {
                continue;
            };
            self.open.touch(stream);
            if let Some(discovery) = self.open.discovery_mut(stream)
                && let Some(ack_number) = ack_number
            {
                discovery.add_ack_number(now, ack_number);
            }
        }
    }

    /// The hosts as the membership list has them now, with their addresses.
    pub fn update_hosts<'a>(
        &mut self,
        now: Ms,
        hosts: impl Iterator<Item = (&'a HostEntry, &'a String)> + Clone,
    ) {
        let location = |(entry, address): (&HostEntry, &String)| {
            let location = HostLocation {
                zone: entry.zone,
                address: address.clone(),
            };
            (entry.host.clone(), location)
        };
        self.cache.update_hosts(hosts.clone().map(location));
        for proxy in self.cache.take_changed_proxies() {
            if let Some(stream) = self.registry.stream(proxy) {
                self.open.touch(stream);
            }
        }
        // Hosts that were asked before the configuration changed are let go with the next list.
        if self.config.request_host_reports || self.report_streams.host_count() > 0 {
            let reporting = hosts
                .filter(|(entry, address)| {
                    entry.readiness == Readiness::Ready && !address.is_empty()
                })
                .map(|(entry, address)| ReportingHost {
                    host: entry.host.clone(),
                    address: address.clone(),
                    started_at: entry.started_at,
                })
                .collect();
            self.report_streams
                .update_hosts(now, reporting, &mut self.outbox);
        }
    }
}
