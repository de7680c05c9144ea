//! Removal of unused tables and of hosts that are gone.

use crate::director::Director;
use crate::interface::{Action, Channel, HostId, Ms, Readiness};
use crate::state::{Proxy, Update};

impl Director {
    /// Clears tables that no proxy uses, except current ones, and removes unused hosts that have been gone for
    /// `retention` ms. Neither writes a line to a proxy.
    pub(crate) fn remove_idle(&mut self, retention: Ms) {
        for table in self.tables.remove_idle(self.hosts.pools()) {
            self.outbox.push(Action::ClearTable { table });
        }
        for host in self.hosts_gone_for(retention) {
            if !self.is_in_use(&host) {
                self.remove_host(&host);
            }
        }
    }

    fn hosts_gone_for(&mut self, retention: Ms) -> Vec<HostId> {
        let now = self.clock.now;
        let mut due = Vec::new();
        for (host, listed) in self.hosts.by_id.iter_mut() {
            let is_gone = listed.entry.readiness == Readiness::Gone;
            listed.gone_since = if is_gone { listed.gone_since.or(Some(now)) } else { None };
            due.extend(listed.gone_since.filter(|since| now - since >= retention).map(|_| host.clone()));
        }
        due
    }

    /// Whether a table or a proxy refers to a host, or restoring it would write a line to a proxy.
    fn is_in_use(&self, host: &HostId) -> bool {
        let holds = |proxy: &Proxy| proxy.groups.iter().any(|group| group.endpoints.contains_key(host));
        let costs_lines =
            |channel| !self.written_lines(&Update::Restore { host: host.clone(), channel }).is_empty();
        self.tables.by_id.keys().any(|table| self.tables.has_endpoint(*table, host))
            || self.proxies.by_id.values().any(holds)
            || Channel::ALL.into_iter().any(costs_lines)
    }

    /// Removes a host and its reports. Its withdrawal is revoked first, as a host of the same name may be
    /// listed later.
    fn remove_host(&mut self, host: &HostId) {
        for channel in Channel::ALL {
            if self.hosts.by_id[host].is_withdrawn(channel) {
                self.apply_withdrawal(host, channel, false);
            }
        }
        self.hosts.by_id.remove(host);
        self.host_health.remove(host);
        self.reports.remove(host);
    }
}
