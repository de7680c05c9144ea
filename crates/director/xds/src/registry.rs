//! Maps each proxy to its discovery stream. A proxy is identified by its node; of two streams with the same node, one
//! is served.

use crate::config::NodeIdentities;
use crate::interface::{ConnectionId, StatusCode, StreamId};
use crate::messages::Node;
use rushcourse_policy::interface::{Ms, ProxyId, ZoneId};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// A proxy that sent a request on any of its streams within this time (ms) counts as alive, and another connection
/// can't take over its stream.
const ALIVE_WINDOW: Ms = 2500.0;
/// Takeovers of one proxy's stream that are allowed within `TAKEOVER_WINDOW`. Without a limit, two processes that are
/// configured with the same node id would end each other's streams forever.
const MAX_TAKEOVERS: usize = 3;
/// Time for which a takeover counts towards `MAX_TAKEOVERS`, in ms.
const TAKEOVER_WINDOW: Ms = 30_000.0;
/// Proxies with a takeover history. When there are more, the histories of the lowest proxy numbers are dropped.
const MAX_TAKEOVER_HISTORIES: usize = 4096;
/// Longest node id that a status message quotes, in characters.
const MAX_QUOTED_ID: usize = 80;

/// A proxy, identified from its node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProxyIdentity {
    /// The proxy's number, from its node id.
    pub proxy: ProxyId,
    /// The proxy's zone, as an index into the zones of the settings.
    pub zone: ZoneId,
}

/// Why a stream is rejected. The `Display` text becomes the gRPC status message.
#[derive(Clone, Debug, PartialEq)]
pub enum Rejection {
    /// The first request has no node, or the node has no id.
    MissingNode,
    /// The node id neither has the prefix nor is a listed name.
    UnknownNode {
        /// The node id, truncated.
        id: String,
    },
    /// The proxy's number is not below the number of proxies in the settings.
    TooManyProxies {
        /// The node id, truncated.
        id: String,
        /// Number of proxies in the settings.
        max: usize,
    },
    /// The node's zone is not in the settings.
    UnknownZone {
        /// The node id, truncated.
        id: String,
        /// The zone that the node names.
        zone: String,
    },
    /// Another stream of the proxy is active.
    AlreadyJoined {
        /// Number of the proxy that both streams identify as.
        proxy: ProxyId,
    },
    /// The proxy's stream was taken over too often within `TAKEOVER_WINDOW`.
    RepeatedTakeovers {
        /// Number of the proxy that both streams identify as.
        proxy: ProxyId,
    },
}

impl Rejection {
    /// The status code that the stream ends with.
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

    /// Name of the counter for this kind of rejection.
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
    /// Time of the last request on any of the proxy's streams.
    last_active: Ms,
}

/// The proxies that have joined, each with its discovery stream.
#[derive(Debug, Default)]
pub struct ProxyRegistry {
    identities: NodeIdentities,
    zones: Vec<String>,
    /// Number of proxies in the settings; 0 means no limit.
    max_proxies: usize,
    joined: BTreeMap<ProxyId, JoinedStream>,
    /// Times of recent takeovers, by proxy.
    takeovers: BTreeMap<ProxyId, VecDeque<Ms>>,
}

impl ProxyRegistry {
    /// Creates a registry without proxies. `max_proxies` 0 means no limit.
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

    /// Replaces the mapping from node ids to proxies. Proxies that have already joined aren't affected.
    pub fn set_identities(&mut self, identities: NodeIdentities) {
        self.identities = identities;
    }

    /// Number of proxies that have joined.
    pub fn joined_count(&self) -> usize {
        self.joined.len()
    }

    /// Number of proxies with a takeover history.
    pub fn takeover_history_count(&self) -> usize {
        self.takeovers.len()
    }

    /// The discovery stream of a proxy, if it has joined.
    pub fn stream(&self, proxy: ProxyId) -> Option<StreamId> {
        self.joined.get(&proxy).map(|joined| joined.stream)
    }

    /// Identifies the proxy of a stream's first request.
    ///
    /// # Errors
    /// The node is missing, maps to no proxy of the settings, or names an unknown zone.
    pub fn identify(&self, node: Option<&Node>) -> Result<ProxyIdentity, Rejection> {
        let node = node
            .filter(|node| !node.id.is_empty())
            .ok_or(Rejection::MissingNode)?;
        let quoted_id = || node.id.chars().take(MAX_QUOTED_ID).collect();
        let proxy = self
            .proxy_for_node_id(&node.id)
            .ok_or_else(|| Rejection::UnknownNode { id: quoted_id() })?;
        if self.max_proxies > 0 && proxy as usize >= self.max_proxies {
            return Err(Rejection::TooManyProxies {
                id: quoted_id(),
                max: self.max_proxies,
            });
        }
        let zone = self.zones.iter().position(|zone| *zone == node.zone);
        zone.map(|zone| ProxyIdentity { proxy, zone })
            .ok_or_else(|| Rejection::UnknownZone {
                id: quoted_id(),
                zone: node.zone.clone(),
            })
    }

    /// Resolves a node id: first by the list of names, then by the number after the prefix.
    fn proxy_for_node_id(&self, node_id: &str) -> Option<ProxyId> {
        if let Some(proxy) = self.identities.names.get(node_id) {
            return Some(*proxy);
        }
        let number = node_id.strip_prefix(&self.identities.prefix)?;
        // `parse` alone would accept a leading `+`.
        let is_number = !number.is_empty() && number.bytes().all(|byte| byte.is_ascii_digit());
        if is_number { number.parse().ok() } else { None }
    }

    /// Assigns a stream to a proxy and returns the stream that it replaces, if any.
    ///
    /// A new stream on the same connection comes from the same process and replaces the old one. On another connection
    /// it replaces the old one only if that has been idle for `ALIVE_WINDOW`: a recent request means that a second
    /// process uses the same node id.
    ///
    /// # Errors
    /// Another stream of the proxy is active, or its stream was taken over too often.
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
        self.prune_takeovers(now);
        Ok(Some(replaced))
    }

    /// Drops expired takeover histories and enforces `MAX_TAKEOVER_HISTORIES`.
    fn prune_takeovers(&mut self, now: Ms) {
        self.takeovers
            .retain(|_, times| times.back().is_some_and(|at| now - at <= TAKEOVER_WINDOW));
        while self.takeovers.len() > MAX_TAKEOVER_HISTORIES {
            self.takeovers.pop_first();
        }
    }

    /// Records that the proxy sent a request on any of its streams.
    pub fn record_activity(&mut self, now: Ms, proxy: ProxyId) {
        if let Some(joined) = self.joined.get_mut(&proxy) {
            joined.last_active = now;
        }
    }

    /// Handles the end of a stream. Returns true if it was the proxy's current stream, which means that the proxy has
    /// left.
    pub fn release(&mut self, now: Ms, proxy: ProxyId, stream: StreamId) -> bool {
        let has_left = self.stream(proxy) == Some(stream);
        if has_left {
            self.joined.remove(&proxy);
            self.prune_takeovers(now);
        }
        has_left
    }
}
