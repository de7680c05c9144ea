//! What goes out.

use super::hex;
use rushcourse_policy::interface::{Action, Channel};
use serde::Serialize;

/// One line of the output.
#[derive(Serialize)]
pub struct Reply {
    /// The number of the batch.
    pub n: u64,
    /// The orders of all instances.
    pub out: Vec<Order>,
}

/// An order of an instance. Fields go out in the order in which they stand here.
#[derive(Serialize)]
#[serde(tag = "m")]
pub enum Order {
    /// Sets the weight of a host in a table; 0 removes it.
    Line {
        director: u64,
        host: String,
        sheet: u32,
        w: f64,
    },
    /// Clears a table.
    Empty { director: u64, sheet: u32 },
    /// Binds a proxy to a table.
    Pin {
        director: u64,
        sheet: u32,
        only: u32,
        agent: u32,
    },
    /// Withdraws a host from all tables, or lets it back.
    Bench {
        director: u64,
        host: String,
        on: bool,
    },
    /// Sets the admission level of classes in a table.
    Level {
        director: u64,
        sheet: u32,
        quota: f64,
        only: u32,
        again: u8,
    },
    /// Asks each proxy that this reply reaches for an acknowledgement.
    Seal {
        director: u64,
        number: u16,
        on: bool,
    },
    /// Starts a timer.
    Schedule {
        director: u64,
        ctx: String,
        #[serde(rename = "alarm-time-ms")]
        alarm_time_ms: f64,
    },
    /// Checks the health of a host.
    HealthCheck { director: u64, host: String },
    /// Sends bytes to other instances.
    Share {
        director: u64,
        target: i64,
        payload: String,
    },
    /// Subscribes to the list of hosts.
    Tail { director: u64, on: bool },
    /// Writes a line into the report.
    NoteDown {
        director: u64,
        #[serde(rename = "reason-text")]
        reason_text: String,
    },
    /// The decisions have failed.
    Die {
        director: u64,
        #[serde(rename = "reason-text")]
        reason_text: String,
    },
}

/// The target of a `Share` to all other instances.
const ALL_PEERS: i64 = -1;

/// The order of an action; none for those of a channel that the wire does not have.
pub fn order(director: u64, action: Action) -> Option<Order> {
    Some(match action {
        Action::SetWithdrawn {
            channel: Channel::Dedicated,
            ..
        } => return None,
        Action::SetWithdrawn {
            host, is_withdrawn, ..
        } => Order::Bench {
            director,
            host: host.to_string(),
            on: is_withdrawn,
        },
        Action::RequestAck { ack_number } => Order::Seal {
            director,
            number: ack_number,
            on: false,
        },
        Action::StartTimer { token, at } => Order::Schedule {
            director,
            ctx: token,
            alarm_time_ms: at,
        },
        Action::CheckHealth { host } => Order::HealthCheck {
            director,
            host: host.to_string(),
        },
        Action::BroadcastToPeers { bytes } => Order::Share {
            director,
            target: ALL_PEERS,
            payload: hex::encode(&bytes),
        },
        Action::SubscribeToHosts => Order::Tail { director, on: true },
        Action::Log { text } => Order::NoteDown {
            director,
            reason_text: text,
        },
        table_action => return table_order(director, table_action),
    })
}

/// The order of an action on a table; none of any other.
fn table_order(director: u64, action: Action) -> Option<Order> {
    match action {
        Action::SetEndpoint {
            table,
            host,
            weight,
        } => Some(Order::Line {
            director,
            host: host.to_string(),
            sheet: table,
            w: weight,
        }),
        Action::ClearTable { table } => Some(Order::Empty {
            director,
            sheet: table,
        }),
        Action::BindProxy {
            proxy,
            table,
            classes,
        } => Some(Order::Pin {
            director,
            sheet: table,
            only: classes,
            agent: proxy,
        }),
        Action::SetAdmission {
            table,
            classes,
            quota,
            retry_policy,
        } => Some(Order::Level {
            director,
            sheet: table,
            quota,
            only: classes,
            again: retry_policy as u8,
        }),
        _ => None,
    }
}
