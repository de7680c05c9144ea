//! The relay's lines of text: calls with orders, their answers, and news of proxies.

use rushcourse_policy::interface::{Action, Channel, ClassId};
use std::fmt::Write;

/// A call carries at most so many bytes of orders.
pub const ORDERS_MOST: usize = 60_000;
/// No line of the relay is longer.
pub const LINE_MOST: usize = 64 * 1024;
/// The table that stands for all of them in a level.
const ALL_TABLES: u32 = 65_535;

/// The classes that a mask names.
pub fn named(mask: u32, classes: &[String]) -> Vec<&str> {
    let in_mask = |k: &ClassId| mask >> k & 1 == 1;
    (0..classes.len())
        .filter(in_mask)
        .map(|k| classes[k].as_str())
        .collect()
}

/// Writes an action as an order; `None` for an action that is none of the relay's, which is the shared channel.
pub fn order(action: &Action, classes: &[String]) -> Option<String> {
    let own = |table: &u32| Channel::of(*table) == Channel::Dedicated;
    let words = |mask: u32| match named(mask, classes) {
        some if mask != 0 && some.len() < classes.len() => some.join("+"),
        _ => "*".into(),
    };
    let mut out = String::new();
    let written = match action {
        Action::SetEndpoint { table, .. } | Action::ClearTable { table } if own(table) => {
            return None;
        }
        Action::BindProxy { table, .. } | Action::SetAdmission { table, .. } if own(table) => {
            return None;
        }
        Action::SetWithdrawn {
            channel: Channel::Dedicated,
            ..
        } => return None,
        Action::SetEndpoint {
            table,
            host,
            weight,
        } => write!(out, "share,{table},{host},{weight}"),
        Action::ClearTable { table } => write!(out, "clear,{table}"),
        Action::BindProxy {
            proxy,
            table,
            classes,
        } => write!(out, "bind,{proxy},{table},{}", words(*classes)),
        Action::SetWithdrawn {
            host,
            is_withdrawn: true,
            ..
        } => write!(out, "withdraw,{host}"),
        Action::SetWithdrawn {
            host,
            is_withdrawn: false,
            ..
        } => write!(out, "restore,{host}"),
        Action::SetAdmission {
            table,
            classes,
            quota,
            retry_policy: again,
        } => {
            let table = if *table == ALL_TABLES {
                "*".into()
            } else {
                table.to_string()
            };
            write!(
                out,
                "admit,{table},{},{quota},{}",
                words(*classes),
                *again as u8
            )
        }
        Action::RequestAck { ack_number: number } => write!(out, "mark,{number},0"),
        Action::StartTimer { .. }
        | Action::CheckHealth { .. }
        | Action::BroadcastToPeers { .. }
        | Action::SubscribeToHosts
        | Action::Log { .. } => return None,
    };
    written.is_ok().then_some(out)
}

/// The line of a call.
pub fn call(orders: &[String]) -> String {
    format!("APPLY {}\r\n", orders.join(";"))
}

/// The line that asks for news.
pub const WATCH: &str = "WATCH\r\n";

/// What the relay says to a call or to `WATCH`.
#[derive(Debug, PartialEq, Eq)]
pub enum Answer {
    /// It was carried out; so many orders, counted from the first, were taken.
    Taken(usize),
    /// `OK` with no number: news follows.
    Watching,
    /// Turned away before the run: nothing was carried out.
    Busy,
    /// The relay reads no call in it: nothing was carried out.
    Refused,
    Unreadable,
}

pub fn answer(line: &str) -> Answer {
    let mut words = line.split_ascii_whitespace();
    let first = words.next().unwrap_or("");
    match (first.trim_start_matches('-'), words.next(), words.next()) {
        ("OK", None, None) => Answer::Watching,
        // A count is digits alone: a sign is as odd as a word.
        ("OK", Some(n), None) if n.bytes().all(|b| b.is_ascii_digit()) => {
            n.parse().map_or(Answer::Unreadable, Answer::Taken)
        }
        ("BUSY", ..) | ("ERR" | "ERROR", Some("BUSY"), _) => Answer::Busy,
        ("SYNTAX", ..) | ("ERR" | "ERROR", Some("SYNTAX"), _) => Answer::Refused,
        _ => Answer::Unreadable,
    }
}

/// A line of news.
#[derive(Debug, PartialEq)]
pub enum News<'a> {
    Joined {
        proxy: u32,
        zone: &'a str,
        rate: f64,
        fresh: bool,
    },
    Left {
        proxy: u32,
    },
    Applied {
        proxy: u32,
        mark: u16,
        took: f64,
    },
    Alive,
    /// News of a kind that this program does not know.
    Other,
}

/// `None`: no news, or news that can't be read.
pub fn news(line: &str) -> Option<News<'_>> {
    let words: Vec<&str> = line.strip_prefix('*')?.split_ascii_whitespace().collect();
    let number = |word: &str| {
        word.parse::<f64>()
            .ok()
            .filter(|v| v.is_finite() && *v >= 0.0)
    };
    Some(match words.as_slice() {
        [] => News::Alive,
        ["joined", proxy, zone, rate, fresh, ..] => News::Joined {
            proxy: proxy.parse().ok()?,
            zone,
            rate: number(rate)?,
            fresh: match *fresh {
                "1" | "true" => true,
                "0" | "false" => false,
                _ => return None,
            },
        },
        ["left", proxy, ..] => News::Left {
            proxy: proxy.parse().ok()?,
        },
        ["applied", proxy, mark, took, ..] => News::Applied {
            proxy: proxy.parse().ok()?,
            mark: mark.parse().ok()?,
            took: number(took)?,
        },
        ["joined" | "left" | "applied", ..] => return None,
        _ => News::Other,
    })
}
