//! Actions that a director requests from its front.

use super::ids::{AckNumber, Channel, ClassMask, HostId, Ms, ProxyId, TableId};
use super::settings::RetryPolicy;

/// An action for the front. The actions of a batch must be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Set the weight of a host in a table.
    SetEndpoint {
        /// Table to change; it is created if it does not exist.
        table: TableId,
        /// Host to add, change or remove.
        host: HostId,
        /// Share of the table's requests relative to its other hosts; 0 removes the host.
        weight: f64,
    },
    /// Remove all endpoints and admission levels of a table.
    ClearTable {
        /// Table to clear. No proxy is bound to it.
        table: TableId,
    },
    /// Bind a proxy to a table, in place of the table that it used for these classes before.
    BindProxy {
        /// Proxy to bind; it has joined and not left.
        proxy: ProxyId,
        /// Table from which the proxy picks hosts from now on.
        table: TableId,
        /// Classes that use the table; 0 stands for all.
        classes: ClassMask,
    },
    /// Withdraw a host from all tables of a channel, or end its withdrawal. The tables keep their endpoints.
    SetWithdrawn {
        /// Host that proxies must stop or may resume using.
        host: HostId,
        /// True to withdraw the host, false to restore it.
        is_withdrawn: bool,
        /// Channel whose proxies are notified.
        channel: Channel,
    },
    /// Set the admission quota and the retry policy of classes in a table.
    SetAdmission {
        /// Table whose proxies apply the quota.
        table: TableId,
        /// Classes that the quota applies to.
        classes: ClassMask,
        /// Admitted fraction or rate of requests, depending on `ProxySettings::admission_kind`.
        quota: f64,
        /// When the proxies retry failed requests of these classes.
        retry_policy: RetryPolicy,
    },
    /// Ask each proxy that gets a message of this batch to acknowledge it. Last action of its batch.
    RequestAck {
        /// Number that the acknowledgements have to repeat.
        ack_number: AckNumber,
    },
    /// Pass `Event::TimerFired` to the director at a given time.
    StartTimer {
        /// Token to repeat in the event.
        token: String,
        /// Time at which the timer is due.
        at: Ms,
    },
    /// Start a health check, whose result comes back as `Event::HealthChecked`.
    CheckHealth {
        /// Host to check.
        host: HostId,
    },
    /// Send a message to all other directors.
    BroadcastToPeers {
        /// Payload, passed on unchanged.
        bytes: Vec<u8>,
    },
    /// Subscribe to the host list, which then arrives as `Event::HostsListed`.
    SubscribeToHosts,
    /// Write a line to the log.
    Log {
        /// `event=` followed by key=value pairs.
        text: String,
    },
}
