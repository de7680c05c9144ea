//! What crosses the session's boundary: what was read comes in as an input, what is to be done goes out as an effect.

use bytes::Bytes;
use rushcourse_policy::interface::{HostId, Ms};
use std::net::SocketAddr;

/// A connection that somebody opened to the director.
pub type Conn = u64;

/// A connection that the director holds to the relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    /// Calls with orders, one in flight.
    Calls,
    /// News of proxies.
    News,
}

/// What was read, or what came of an effect.
#[derive(Debug)]
pub enum Input {
    Start,
    /// Somebody connected to the director's address; said a message; asks for a page by HTTP; is gone.
    Opened {
        conn: Conn,
        peer: String,
    },
    Frame {
        conn: Conn,
        bytes: Bytes,
    },
    Http {
        conn: Conn,
    },
    Closed {
        conn: Conn,
        why: String,
    },
    /// A connection to the relay stands, says a line, or is gone. `turn` tells it from earlier ones.
    Up {
        link: Link,
        turn: u64,
    },
    Line {
        link: Link,
        turn: u64,
        text: String,
    },
    Down {
        link: Link,
        turn: u64,
        why: String,
    },
    /// The last byte of what was sent on a connection to the relay was written.
    Written {
        link: Link,
        turn: u64,
    },
    /// Discovery answered an ask, or did not.
    Listed {
        ask: u64,
        body: Bytes,
    },
    Unlisted {
        ask: u64,
        why: String,
    },
    /// A host answered a probe with a status, or did not.
    Probed {
        host: HostId,
        took: Ms,
        status: Option<u16>,
        body: Bytes,
    },
    /// Something came by a stream of a relay or a host.
    Stream(rushcourse_xds::Input),
    /// Told to read the configuration again; and what came of reading it.
    Reload,
    Reread(Result<Reread, String>),
    /// All that came by this time was handed in: what is due is done now, and not before. So an answer that
    /// has come is never taken for missing.
    Wake,
    Stop,
}

/// What is to be done outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Write {
        conn: Conn,
        bytes: Bytes,
    },
    /// Ends a connection, with a last word where there is one.
    Close {
        conn: Conn,
        last: Option<Bytes>,
    },
    Connect {
        link: Link,
        turn: u64,
        to: SocketAddr,
    },
    Send {
        link: Link,
        turn: u64,
        text: String,
    },
    Drop {
        link: Link,
        turn: u64,
    },
    /// Ask discovery; give up after `within` ms.
    List {
        ask: u64,
        at: SocketAddr,
        path: String,
        within: Ms,
    },
    Probe {
        host: HostId,
        address: String,
        path: &'static str,
        within: Ms,
    },
    /// Something is to be done with a stream of a relay or a host.
    Stream(rushcourse_xds::Effect),
    /// Read the configuration; give `Input::Reread`.
    Reread,
    /// Give `Input::Wake` at this time at the latest; it replaces the one asked for before.
    Wake {
        at: Ms,
    },
    Log {
        weight: Weight,
        text: String,
    },
    Exit,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weight {
    Info,
    Warning,
    Error,
}

/// Where the others are. All else in a configuration holds from a start to the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Places {
    pub relay: SocketAddr,
    pub discovery: SocketAddr,
}

/// What a reload found.
#[derive(Debug)]
pub struct Reread {
    pub places: Places,
    /// How streams are served from now on, if they are.
    pub streams: Option<rushcourse_xds::StreamConfig>,
    /// What differs and can't be changed by a reload, in plain words.
    pub left: Vec<String>,
}
