//! Applies actions of the policy and changes of the membership list to the streams.

use super::state::Streams;
use crate::report_streams::ReportingHost;
use crate::resources::HostLocation;
use rushcourse_policy::interface::{Action, HostEntry, Ms, Readiness};

impl Streams {
    /// Applies a batch of the policy's actions. The proxies that it affects acknowledge it under the ack number that
    /// the batch requests.
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
            self.open_streams.mark_ready(stream);
            if let Some(discovery) = self.open_streams.discovery_mut(stream)
                && let Some(ack_number) = ack_number
            {
                discovery.add_ack_number(now, ack_number);
            }
        }
    }

    /// Applies a new membership list; each host comes with its address.
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
                self.open_streams.mark_ready(stream);
            }
        }
        // After reports are disabled, this call removes the streams that remain.
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
