//! The relay's lines of text: calls with orders, the replies to them, and notifications about proxies.

use rushcourse_policy::interface::{AckNumber, Action, Channel, ClassMask, Ms, ProxyId, TableId};
use std::fmt;

/// A call carries at most so many bytes of orders.
pub const MAX_ORDER_BYTES: usize = 60_000;
/// No line of the relay is longer.
pub const MAX_LINE_BYTES: usize = 64 * 1024;
/// The line that asks for notifications.
pub const WATCH_REQUEST: &str = "WATCH\r\n";

/// The table that stands for all of them in an admission level.
const ALL_TABLES: TableId = 65_535;
/// How an order begins that asks proxies to acknowledge a call.
const ACK_REQUEST: &str = "mark,";

/// The classes of a mask, by their names.
pub fn class_names(mask: ClassMask, classes: &[String]) -> Vec<&str> {
    classes
        .iter()
        .enumerate()
        .filter(|(class, _)| mask >> class & 1 == 1)
        .map(|(_, name)| name.as_str())
        .collect()
}

/// One order of a call, as the relay reads it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order(String);

impl Order {
    /// Writes an action as an order. Nothing for an action that is not the relay's: it carries the shared channel alone.
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

    /// The order's text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether it asks the proxies that the call reaches to acknowledge it.
    pub fn is_ack_request(&self) -> bool {
        self.0.starts_with(ACK_REQUEST)
    }
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The channel whose proxies an action reaches; nothing for an action that reaches none.
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

/// Classes as an order names them.
fn class_list(mask: ClassMask, classes: &[String]) -> String {
    let names = class_names(mask, classes);
    if mask != 0 && names.len() < classes.len() {
        names.join("+")
    } else {
        "*".into()
    }
}

/// A table as an admission level names it.
fn table_name(table: TableId) -> String {
    if table == ALL_TABLES {
        "*".into()
    } else {
        table.to_string()
    }
}

/// The line of a call.
pub fn encode_call(orders: &[Order]) -> String {
    let texts: Vec<&str> = orders.iter().map(Order::as_str).collect();
    format!("APPLY {}\r\n", texts.join(";"))
}

/// What the relay replies to a call or to [`WATCH_REQUEST`].
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    /// The call was carried out; so many orders, counted from the first, were accepted.
    Accepted(usize),
    /// `OK` without a number: notifications follow.
    Watching,
    /// Rejected before the run: nothing was carried out.
    Busy,
    /// The relay reads no call in it: nothing was carried out.
    SyntaxError,
    /// None of these.
    Unreadable,
}

/// Reads the relay's reply to a call or to [`WATCH_REQUEST`].
pub fn parse_reply(line: &str) -> Reply {
    let mut words = line.split_ascii_whitespace();
    let first = words.next().unwrap_or("").trim_start_matches('-');
    match (first, words.next(), words.next()) {
        ("OK", None, None) => Reply::Watching,
        // A count is digits alone: a sign is as odd as a word.
        ("OK", Some(count), None) if count.bytes().all(|byte| byte.is_ascii_digit()) => {
            count.parse().map_or(Reply::Unreadable, Reply::Accepted)
        }
        ("BUSY", ..) | ("ERR" | "ERROR", Some("BUSY"), _) => Reply::Busy,
        ("SYNTAX", ..) | ("ERR" | "ERROR", Some("SYNTAX"), _) => Reply::SyntaxError,
        _ => Reply::Unreadable,
    }
}

/// What the relay tells of proxies to whoever watches.
#[derive(Debug, PartialEq)]
pub enum Notification<'a> {
    /// A proxy is joined.
    ProxyJoined {
        /// Its number.
        proxy: ProxyId,
        /// The name of its zone.
        zone: &'a str,
        /// A rough figure of its requests a second.
        rate: f64,
        /// It holds no table that was ordered.
        is_fresh: bool,
    },
    /// A proxy has left.
    ProxyLeft {
        /// Its number.
        proxy: ProxyId,
    },
    /// A proxy has applied a call and all before it.
    Applied {
        /// Its number.
        proxy: ProxyId,
        /// The number that the call asked to be acknowledged by.
        ack_number: AckNumber,
        /// Time from the call to its taking effect.
        elapsed: Ms,
    },
    /// Sent each second, so that silence shows that the relay is out of reach.
    KeepAlive,
    /// A notification of a kind that directors don't know.
    Unknown,
}

/// Reads a notification; nothing if the line is none, or lacks what its kind has.
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

/// A number that is finite and not below 0.
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
