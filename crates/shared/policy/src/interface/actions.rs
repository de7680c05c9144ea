//! What a director asks its front to do.

use super::ids::{AckNumber, Channel, ClassMask, HostId, Ms, ProxyId, TableId};
use super::settings::RetryPolicy;

/// Something to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Set the weight of a host in a table.
    SetEndpoint {
        /// The table.
        table: TableId,
        /// The host.
        host: HostId,
        /// Its share of the table's requests beside the other hosts; 0 removes it.
        weight: f64,
    },
    /// Remove all endpoints and admission levels of a table.
    ClearTable {
        /// The table.
        table: TableId,
    },
    /// Let a proxy use a table from now on.
    BindProxy {
        /// The proxy.
        proxy: ProxyId,
        /// The table.
        table: TableId,
        /// For these classes.
        classes: ClassMask,
    },
    /// Withdraw a host from all tables of a channel's proxies, or let it back.
    SetWithdrawn {
        /// The host.
        host: HostId,
        /// Whether it is withdrawn.
        is_withdrawn: bool,
        /// The channel whose proxies are told.
        channel: Channel,
    },
    /// Set the admission level of some classes in a table.
    SetAdmission {
        /// The table.
        table: TableId,
        /// For these classes.
        classes: ClassMask,
        /// What is admitted: by the kind that the settings name, a part or a rate.
        quota: f64,
        /// When proxies retry.
        retry_policy: RetryPolicy,
    },
    /// Ask each proxy that gets a message of this batch to acknowledge it. The last action of its batch.
    RequestAck {
        /// The number of the batch.
        ack_number: AckNumber,
    },
    /// Hand `Event::TimerFired` in at a time.
    StartTimer {
        /// What the event names.
        token: String,
        /// When it is due.
        at: Ms,
    },
    /// Check the health of a host.
    CheckHealth {
        /// The host.
        host: HostId,
    },
    /// Send bytes to all other directors.
    BroadcastToPeers {
        /// What to send.
        bytes: Vec<u8>,
    },
    /// Subscribe to the list of hosts.
    SubscribeToHosts,
    /// Write a line into the log.
    Log {
        /// `event=` and further pairs of key and value.
        text: String,
    },
}
