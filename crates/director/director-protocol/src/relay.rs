//! Codec of the relay's text lines: calls, which carry orders, their replies, and notifications about proxies.

use rushcourse_policy::interface::{AckNumber, Action, Channel, ClassMask, Ms, ProxyId, TableId};
use std::fmt;

/// Limit for the total length of the orders in one call, in bytes. Longer lists of orders are split into several calls.
pub const MAX_ORDER_BYTES: usize = 60_000;
/// Longest line that is accepted from the relay, in bytes.
pub const MAX_LINE_BYTES: usize = 64 * 1024;
/// The line that subscribes a connection to notifications.
pub const WATCH_REQUEST: &str = "WATCH\r\n";

/// Table id that applies an admission order to all tables.
const ALL_TABLES: TableId = 65_535;
/// Prefix of the order that requests an acknowledgement from proxies.
const ACK_REQUEST: &str = "mark,";

/// Names of the classes in `mask`. A class's position in `classes` is its bit in the mask.
pub fn class_names(mask: ClassMask, classes: &[String]) -> Vec<&str> {
    classes
        .iter()
        .enumerate()
        .filter(|(class, _)| mask >> class & 1 == 1)
        .map(|(_, name)| name.as_str())
        .collect()
}

/// An order of a call in the relay's text form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order(String);

impl Order {
    /// Encodes an action. `None` for actions that don't concern proxies and those on the dedicated channel, which the
    /// relay doesn't carry.
    pub fn encode(action: &Action, classes: &[String]) -> Option<Order> {
        if channel(action)? == Channel::Dedicated {
            return None;
        }
        let order = match action {
            Action::SetEndpoint {
                table,
                host,
                weight,
            } => format!("share,{table},{host},{weight}"),
            Action::ClearTable { table } => format!("clear,{table}"),
            Action::BindProxy {
                proxy,
                table,
                classes: mask,
            } => format!("bind,{proxy},{table},{}", class_list(*mask, classes)),
            Action::SetWithdrawn {
                host, is_withdrawn, ..
            } => {
                let verb = if *is_withdrawn { "withdraw" } else { "restore" };
                format!("{verb},{host}")
            }
            Action::SetAdmission {
                table,
                classes: mask,
                quota,
                retry_policy,
            } => format!(
                "admit,{},{},{quota},{}",
                table_name(*table),
                class_list(*mask, classes),
                *retry_policy as u8
            ),
            Action::RequestAck { ack_number } => format!("{ACK_REQUEST}{ack_number},0"),
            Action::StartTimer { .. }
            | Action::CheckHealth { .. }
            | Action::BroadcastToPeers { .. }
            | Action::SubscribeToHosts
            | Action::Log { .. } => return None,
        };
        Some(Order(order))
    }

    /// The encoded order, without a separator.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether the order requests an acknowledgement from the proxies that the call reaches.
    pub fn is_ack_request(&self) -> bool {
        self.0.starts_with(ACK_REQUEST)
    }
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The channel that carries an action to proxies; `None` for actions that don't concern proxies.
fn channel(action: &Action) -> Option<Channel> {
    match action {
        Action::SetEndpoint { table, .. }
        | Action::ClearTable { table }
        | Action::BindProxy { table, .. }
        | Action::SetAdmission { table, .. } => Some(Channel::of(*table)),
        Action::SetWithdrawn { channel, .. } => Some(*channel),
        Action::RequestAck { .. } => Some(Channel::Shared),
        Action::StartTimer { .. }
        | Action::CheckHealth { .. }
        | Action::BroadcastToPeers { .. }
        | Action::SubscribeToHosts
        | Action::Log { .. } => None,
    }
}

/// Encodes a mask as class names joined by `+`; `*` for all classes or an empty mask.
fn class_list(mask: ClassMask, classes: &[String]) -> String {
    let names = class_names(mask, classes);
    if mask != 0 && names.len() < classes.len() {
        names.join("+")
    } else {
        "*".into()
    }
}

/// Encodes the table of an admission order; `*` for [`ALL_TABLES`].
fn table_name(table: TableId) -> String {
    if table == ALL_TABLES {
        "*".into()
    } else {
        table.to_string()
    }
}

/// Encodes a call as one line, including its line end.
pub fn encode_call(orders: &[Order]) -> String {
    let texts: Vec<&str> = orders.iter().map(Order::as_str).collect();
    format!("APPLY {}\r\n", texts.join(";"))
}

/// The relay's reply to a call or to [`WATCH_REQUEST`].
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    /// The call was executed. The number is the count of accepted orders, starting with the first.
    Accepted(usize),
    /// The subscription to notifications has started (`OK` without a number).
    Watching,
    /// The relay rejected the call before executing any order (`BUSY`).
    Busy,
    /// The relay could not parse the call and executed none of its orders (`SYNTAX`).
    SyntaxError,
    /// Any other line; it doesn't show whether the call was executed.
    Unreadable,
}

/// Parses the relay's reply to a call or to [`WATCH_REQUEST`].
pub fn parse_reply(line: &str) -> Reply {
    let mut words = line.split_ascii_whitespace();
    let first = words.next().unwrap_or("").trim_start_matches('-');
    match (first, words.next(), words.next()) {
        ("OK", None, None) => Reply::Watching,
        // `parse` alone would also accept a leading plus sign.
        ("OK", Some(count), None) if count.bytes().all(|byte| byte.is_ascii_digit()) => {
            count.parse().map_or(Reply::Unreadable, Reply::Accepted)
        }
        ("BUSY", ..) | ("ERR" | "ERROR", Some("BUSY"), _) => Reply::Busy,
        ("SYNTAX", ..) | ("ERR" | "ERROR", Some("SYNTAX"), _) => Reply::SyntaxError,
        _ => Reply::Unreadable,
    }
}

/// A line that the relay sends to connections that watch its proxies.
#[derive(Debug, PartialEq)]
pub enum Notification<'a> {
    /// A proxy is connected to the relay.
    ProxyJoined {
        /// Identifies the proxy to the relay and the policy.
        proxy: ProxyId,
        /// Name of the proxy's zone.
        zone: &'a str,
        /// Approximate requests per second at the proxy.
        rate: f64,
        /// Whether the proxy holds no table that was set by an order.
        is_fresh: bool,
    },
    /// A proxy has disconnected from the relay.
    ProxyLeft {
        /// Identifies the proxy to the relay and the policy.
        proxy: ProxyId,
    },
    /// A proxy has applied a call and all calls before it.
    Applied {
        /// Identifies the acknowledging proxy to the relay and the policy.
        proxy: ProxyId,
        /// Identifies the acknowledgement that the call requested.
        ack_number: AckNumber,
        /// Time from the call until it took effect, in ms.
        elapsed: Ms,
    },
    /// Sent once a second, so that its absence shows that the relay is unreachable.
    KeepAlive,
    /// A notification of an unsupported kind.
    Unknown,
}

/// Parses a notification. `None` if the line is not one, or a field of its kind is missing or invalid.
pub fn parse_notification(line: &str) -> Option<Notification<'_>> {
    let words: Vec<&str> = line.strip_prefix('*')?.split_ascii_whitespace().collect();
    Some(match words.as_slice() {
        [] => Notification::KeepAlive,
        ["joined", proxy, zone, rate, is_fresh, ..] => Notification::ProxyJoined {
            proxy: proxy.parse().ok()?,
            zone,
            rate: parse_number(rate)?,
            is_fresh: parse_flag(is_fresh)?,
        },
        ["left", proxy, ..] => Notification::ProxyLeft {
            proxy: proxy.parse().ok()?,
        },
        ["applied", proxy, ack_number, elapsed, ..] => Notification::Applied {
            proxy: proxy.parse().ok()?,
            ack_number: ack_number.parse().ok()?,
            elapsed: parse_number(elapsed)?,
        },
        ["joined" | "left" | "applied", ..] => return None,
        _ => Notification::Unknown,
    })
}

/// Parses a number, which must be finite and not negative.
fn parse_number(word: &str) -> Option<f64> {
    let number: f64 = word.parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

fn parse_flag(word: &str) -> Option<bool> {
    match word {
        "1" | "true" => Some(true),
        "0" | "false" => Some(false),
        _ => None,
    }
}
