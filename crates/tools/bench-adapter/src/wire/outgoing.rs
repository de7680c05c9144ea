//! Output of the adapter: replies and orders, translated from the policy's actions.

use super::hex;
use rushcourse_policy::interface::{Action, Channel};
use serde::Serialize;

/// One line of the output.
#[derive(Serialize)]
pub struct Reply {
    /// Number of the batch that the reply answers.
    #[serde(rename = "n")]
    pub batch: u64,
    /// Orders of all instances, to be carried out in this order.
    #[serde(rename = "out")]
    pub orders: Vec<Order>,
}

/// An order of an instance. Fields are written in the order of their declaration.
#[derive(Serialize)]
#[serde(tag = "m")]
pub enum Order {
    /// Sets the weight of a host in a table; 0 removes the host.
    #[serde(rename = "Line")]
    SetEndpoint {
        director: u64,
        host: String,
        #[serde(rename = "sheet")]
        table: u32,
        #[serde(rename = "w")]
        weight: f64,
    },
    /// Removes all endpoints and admission levels of a table.
    #[serde(rename = "Empty")]
    ClearTable {
        director: u64,
        #[serde(rename = "sheet")]
        table: u32,
    },
    /// Binds a proxy to a table for the classes of a bit mask; 0 stands for all classes.
    #[serde(rename = "Pin")]
    BindProxy {
        director: u64,
        #[serde(rename = "sheet")]
        table: u32,
        #[serde(rename = "only")]
        classes: u32,
        #[serde(rename = "agent")]
        proxy: u32,
    },
    /// Withdraws a host from all tables, or ends its withdrawal.
    #[serde(rename = "Bench")]
    SetWithdrawn {
        director: u64,
        host: String,
        #[serde(rename = "on")]
        is_withdrawn: bool,
    },
    /// Sets the admission quota and the retry policy of classes in a table.
    #[serde(rename = "Level")]
    SetAdmission {
        director: u64,
        #[serde(rename = "sheet")]
        table: u32,
        quota: f64,
        #[serde(rename = "only")]
        classes: u32,
        #[serde(rename = "again")]
        retry_policy: u8,
    },
    /// Asks each proxy that gets a message of this reply for an acknowledgement. `on` is always false.
    #[serde(rename = "Seal")]
    RequestAck {
        director: u64,
        #[serde(rename = "number")]
        ack_number: u16,
        on: bool,
    },
    /// Starts a timer, which ends with an event `Fired` that repeats the token.
    #[serde(rename = "Schedule")]
    StartTimer {
        director: u64,
        #[serde(rename = "ctx")]
        token: String,
        #[serde(rename = "alarm-time-ms")]
        at: f64,
    },
    /// Checks the health of a host, which ends with an event `PingResult`.
    #[serde(rename = "HealthCheck")]
    CheckHealth { director: u64, host: String },
    /// Sends a message to other directors, encoded as hexadecimal digits.
    #[serde(rename = "Share")]
    BroadcastToPeers {
        director: u64,
        target: i64,
        payload: String,
    },
    /// Subscribes to the list of hosts.
    #[serde(rename = "Tail")]
    SubscribeToHosts { director: u64, on: bool },
    /// Writes a line to the log.
    #[serde(rename = "NoteDown")]
    Log {
        director: u64,
        #[serde(rename = "reason-text")]
        text: String,
    },
    /// Reports that the instance panicked.
    #[serde(rename = "Die")]
    ReportPanic {
        director: u64,
        #[serde(rename = "reason-text")]
        message: String,
    },
}

/// Target of a message to all other directors.
const ALL_PEERS: i64 = -1;

/// Translates an action to an order. Returns `None` for actions on dedicated channels, which the bench lacks.
pub fn encode_action(director: u64, action: Action) -> Option<Order> {
    Some(match action {
        Action::SetWithdrawn {
            channel: Channel::Dedicated,
            ..
        } => return None,
        Action::SetWithdrawn {
            host, is_withdrawn, ..
        } => Order::SetWithdrawn {
            director,
            host: host.to_string(),
            is_withdrawn,
        },
        Action::RequestAck { ack_number } => Order::RequestAck {
            director,
            ack_number,
            on: false,
        },
        Action::StartTimer { token, at } => Order::StartTimer {
            director,
            token,
            at,
        },
        Action::CheckHealth { host } => Order::CheckHealth {
            director,
            host: host.to_string(),
        },
        Action::BroadcastToPeers { bytes } => Order::BroadcastToPeers {
            director,
            target: ALL_PEERS,
            payload: hex::encode(&bytes),
        },
        Action::SubscribeToHosts => Order::SubscribeToHosts { director, on: true },
        Action::Log { text } => Order::Log { director, text },
        table_action => return encode_table_action(director, table_action),
    })
}

/// Translates an action on a table to an order. Returns `None` for other actions.
fn encode_table_action(director: u64, action: Action) -> Option<Order> {
    match action {
        Action::SetEndpoint {
            table,
            host,
            weight,
        } => Some(Order::SetEndpoint {
            director,
            host: host.to_string(),
            table,
            weight,
        }),
        Action::ClearTable { table } => Some(Order::ClearTable { director, table }),
        Action::BindProxy {
            proxy,
            table,
            classes,
        } => Some(Order::BindProxy {
            director,
            table,
            classes,
            proxy,
        }),
        Action::SetAdmission {
            table,
            classes,
            quota,
            retry_policy,
        } => Some(Order::SetAdmission {
            director,
            table,
            quota,
            classes,
            retry_policy: retry_policy as u8,
        }),
        _ => None,
    }
}
