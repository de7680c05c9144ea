//! Which stream is which proxy's. A proxy is who its node says; where two streams name the same one, one is served.

use crate::config::NodeIdentities;
use crate::interface::{ConnectionId, StatusCode, StreamId};
use crate::messages::Node;
use rushcourse_policy::interface::{Ms, ProxyId, ZoneId};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// ms since the last request on any stream of a proxy within which its process counts as alive: its stream was not
/// lost unnoticed then, and another one of its name is rejected.
const ALIVE_WINDOW: Ms = 2500.0;
/// Streams of one proxy that may replace each other within `TAKEOVER_WINDOW`; further ones are rejected. Without this,
/// two processes that were given one name would end each other's streams for ever.
const MAX_TAKEOVERS: usize = 3;
/// ms for which a takeover counts.
const TAKEOVER_WINDOW: Ms = 30_000.0;
/// Proxies whose takeovers are remembered; beyond, those of the smallest numbers are forgotten.
const MAX_REMEMBERED_PROXIES: usize = 4096;
/// Characters of a node's id that are quoted in a status message.
const MAX_QUOTED_ID: usize = 80;

/// Who a node is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProxyIdentity {
    /// The proxy's number.
    pub proxy: ProxyId,
    /// The zone that it runs in.
    pub zone: ZoneId,
}

/// Why a stream is not served. Its text is the status message that the peer gets.
#[derive(Clone, Debug, PartialEq)]
pub enum Rejection {
    /// The first request names no node.
    MissingNode,
    /// The id follows neither the prefix nor the list of names.
    UnknownNode {
        /// The id, shortened.
        id: String,
    },
    /// The proxy's number is beyond the settings' number of proxies.
    TooManyProxies {
        /// The id, shortened.
        id: String,
        /// The settings' number of proxies.
        max: usize,
    },
    /// The node's zone is none of the settings.
    UnknownZone {
        /// The id, shortened.
        id: String,
        /// The zone that it names.
        zone: String,
    },
    /// Another stream of the proxy is alive.
    AlreadyJoined {
        /// The proxy.
        proxy: ProxyId,
    },
    /// Streams of the proxy replace each other again and again.
    RepeatedTakeovers {
        /// The proxy.
        proxy: ProxyId,
    },
}

impl Rejection {
    /// The status that the stream ends with.
    pub fn status(&self) -> StatusCode {
        match self {
            Rejection::MissingNode | Rejection::UnknownZone { .. } => StatusCode::InvalidArgument,
            Rejection::UnknownNode { .. } => StatusCode::PermissionDenied,
            Rejection::TooManyProxies { .. } => StatusCode::ResourceExhausted,
            Rejection::AlreadyJoined { .. } | Rejection::RepeatedTakeovers { .. } => {
                StatusCode::AlreadyExists
            }
        }
    }

    /// The counter that it raises.
    pub(crate) fn counter(&self) -> &'static str {
        match self {
            Rejection::MissingNode => "streams_nameless",
            Rejection::UnknownNode { .. } => "streams_unknown",
            Rejection::TooManyProxies { .. } => "streams_beyond",
            Rejection::UnknownZone { .. } => "streams_zoneless",
            Rejection::AlreadyJoined { .. } | Rejection::RepeatedTakeovers { .. } => {
                "streams_doubled"
            }
        }
    }
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::MissingNode => {
                write!(f, "the first request names no node: node.id is missing")
            }
            Rejection::UnknownNode { id } => {
                write!(f, "node.id {id:?} names no relay that this director knows")
            }
            Rejection::TooManyProxies { id, max } => write!(
                f,
                "node.id {id:?} is beyond the {max} relays that the settings name"
            ),
            Rejection::UnknownZone { id, zone } => write!(
                f,
                "node.locality.zone {zone:?} of {id:?} is no zone of the settings"
            ),
            Rejection::AlreadyJoined { proxy } => write!(
                f,
                "relay {proxy} is joined by another stream, which is alive"
            ),
            Rejection::RepeatedTakeovers { proxy } => write!(
                f,
                "streams of relay {proxy} take each other's place: do two bear its name?"
            ),
        }
    }
}

impl std::error::Error for Rejection {}

#[derive(Debug)]
struct JoinedStream {
    stream: StreamId,
    connection: ConnectionId,
    /// When a request last came on any of the proxy's streams.
    last_active: Ms,
}

/// The proxies that have joined by a stream.
#[derive(Debug, Default)]
pub struct ProxyRegistry {
    identities: NodeIdentities,
    zones: Vec<String>,
    /// Proxies that the settings name; 0: any number.
    max_proxies: usize,
    joined: BTreeMap<ProxyId, JoinedStream>,
    /// When streams of a proxy replaced each other.
    takeovers: BTreeMap<ProxyId, VecDeque<Ms>>,
}

impl ProxyRegistry {
    /// No proxy yet. `max_proxies` 0 is no limit.
    pub fn new(
        identities: NodeIdentities,
        zones: Vec<String>,
        max_proxies: usize,
    ) -> ProxyRegistry {
        ProxyRegistry {
            identities,
            zones,
            max_proxies,
            ..ProxyRegistry::default()
        }
    }

    /// From now on nodes are identified by these. Who has joined stays.
    pub fn set_identities(&mut self, identities: NodeIdentities) {
        self.identities = identities;
    }

    /// How many proxies have joined.
    pub fn joined_count(&self) -> usize {
        self.joined.len()
    }

    /// How many proxies' takeovers are remembered.
    pub fn takeover_count(&self) -> usize {
        self.takeovers.len()
    }

    /// The stream that a proxy has joined by.
    pub fn stream(&self, proxy: ProxyId) -> Option<StreamId> {
        self.joined.get(&proxy).map(|joined| joined.stream)
    }

    /// Who a node is.
    ///
    /// # Errors
    /// A node that is missing or unknown, or beyond what the settings name.
    pub fn identify(&self, node: Option<&Node>) -> Result<ProxyIdentity, Rejection> {
        let node = node
            .filter(|node| !node.id.is_empty())
            .ok_or(Rejection::MissingNode)?;
        let id = || node.id.chars().take(MAX_QUOTED_ID).collect();
        let proxy = self
            .proxy_of(&node.id)
            .ok_or_else(|| Rejection::UnknownNode { id: id() })?;
        if self.max_proxies > 0 && proxy as usize >= self.max_proxies {
            return Err(Rejection::TooManyProxies {
                id: id(),
                max: self.max_proxies,
            });
        }
        let zone = self.zones.iter().position(|zone| *zone == node.zone);
        zone.map(|zone| ProxyIdentity { proxy, zone })
            .ok_or_else(|| Rejection::UnknownZone {
                id: id(),
                zone: node.zone.clone(),
            })
    }

    /// The proxy that a node id names: by the list of names, else by the number after the prefix.
    fn proxy_of(&self, node_id: &str) -> Option<ProxyId> {
        if let Some(proxy) = self.identities.names.get(node_id) {
            return Some(*proxy);
        }
        let number = node_id.strip_prefix(&self.identities.prefix)?;
        // `parse` alone would take a sign.
        let is_number = !number.is_empty() && number.bytes().all(|byte| byte.is_ascii_digit());
        if is_number { number.parse().ok() } else { None }
    }

    /// Makes a stream a proxy's. Returns the stream that it replaces, if there is one.
    ///
    /// On the connection of the old stream, the same process has opened it anew. On another connection, the old stream
    /// was lost unnoticed, unless something came on it lately: then two processes go by one name.
    ///
    /// # Errors
    /// Another stream of that proxy is alive, or too many have replaced each other.
    pub fn claim(
        &mut self,
        now: Ms,
        proxy: ProxyId,
        stream: StreamId,
        connection: ConnectionId,
    ) -> Result<Option<StreamId>, Rejection> {
        let joined = JoinedStream {
            stream,
            connection,
            last_active: now,
        };
        let Some(old) = self.joined.get(&proxy) else {
            self.joined.insert(proxy, joined);
            return Ok(None);
        };
        let takeovers = self.takeovers.entry(proxy).or_default();
        takeovers.retain(|at| now - at <= TAKEOVER_WINDOW);
        if old.connection != connection && now - old.last_active < ALIVE_WINDOW {
            return Err(Rejection::AlreadyJoined { proxy });
        }
        if takeovers.len() >= MAX_TAKEOVERS {
            return Err(Rejection::RepeatedTakeovers { proxy });
        }
        takeovers.push_back(now);
        let replaced = old.stream;
        self.joined.insert(proxy, joined);
        self.forget_old_takeovers(now);
        Ok(Some(replaced))
    }

    /// Keeps memory bounded: proxies without a takeover of late have no history, and the number of the others is
    /// limited.
    fn forget_old_takeovers(&mut self, now: Ms) {
        self.takeovers
            .retain(|_, times| times.back().is_some_and(|at| now - at <= TAKEOVER_WINDOW));
        while self.takeovers.len() > MAX_REMEMBERED_PROXIES {
            self.takeovers.pop_first();
        }
    }

    /// Something came from the proxy, on any of its streams.
    pub fn record_activity(&mut self, now: Ms, proxy: ProxyId) {
        if let Some(joined) = self.joined.get_mut(&proxy) {
            joined.last_active = now;
        }
    }

    /// A stream has ended. Returns whether the proxy had joined by it, so that the proxy has left.
    pub fn release(&mut self, now: Ms, proxy: ProxyId, stream: StreamId) -> bool {
        let has_left = self.stream(proxy) == Some(stream);
        if has_left {
            self.joined.remove(&proxy);
            self.forget_old_takeovers(now);
        }
        has_left
    }
}
