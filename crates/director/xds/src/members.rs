//! Which stream is which proxy's. A proxy is who its node says; where two say the same, one of them is served.

use crate::config::NodeIdentities;
use crate::interface::{ConnectionId, StatusCode, StreamId};
use crate::messages::Node;
use rushcourse_policy::interface::{Ms, ProxyId, ZoneId};
use std::collections::{BTreeMap, VecDeque};

/// ms since a stream last said something, or reported, within which its relay is taken to be alive: it is then no
/// stream that was lost unnoticed, and another one of its name is refused.
const ALIVE: Ms = 2500.0;
/// Streams of one name that may take each other's place within the span, in ms; beyond, newcomers are refused: two
/// relays of one name would throw each other out without end.
const REPLACED_MOST: usize = 3;
const REPLACED_OVER: Ms = 30_000.0;
/// Names whose past is remembered; the longest ago goes first.
const REMEMBERED_MOST: usize = 4096;

/// Why a stream is not served.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    pub code: StatusCode,
    pub why: String,
    /// The count that rises.
    pub count: &'static str,
}

#[derive(Debug)]
struct Member {
    stream: StreamId,
    connection: ConnectionId,
    /// When its relay last said something on any stream.
    heard: Ms,
}

#[derive(Debug, Default)]
pub struct Members {
    identities: NodeIdentities,
    zones: Vec<String>,
    /// Proxies that the settings name; 0: any number.
    proxies: usize,
    joined: BTreeMap<ProxyId, Member>,
    /// When streams of a proxy took each other's place.
    replaced: BTreeMap<ProxyId, VecDeque<Ms>>,
}

/// Who a node is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Who {
    pub proxy: ProxyId,
    pub zone: ZoneId,
}

impl Members {
    pub fn new(identities: NodeIdentities, zones: Vec<String>, proxies: usize) -> Members {
        Members {
            identities,
            zones,
            proxies,
            ..Members::default()
        }
    }

    /// From now on nodes are named so.
    pub fn identities_are(&mut self, identities: NodeIdentities) {
        self.identities = identities;
    }

    pub fn count(&self) -> usize {
        self.joined.len()
    }

    pub fn stream(&self, proxy: ProxyId) -> Option<StreamId> {
        self.joined.get(&proxy).map(|m| m.stream)
    }

    /// Who a node says it is.
    pub fn who(&self, node: Option<&Node>) -> Result<Who, Refusal> {
        let refuse = |code, count, why: String| Err(Refusal { code, count, why });
        let Some(node) = node.filter(|n| !n.id.is_empty()) else {
            let why = "the first request names no node: node.id is missing";
            return refuse(StatusCode::InvalidArgument, "streams_nameless", why.into());
        };
        let id: String = node.id.chars().take(80).collect();
        let number = node.id.strip_prefix(&self.identities.prefix);
        let number = number.filter(|n| !n.is_empty() && n.bytes().all(|b| b.is_ascii_digit()));
        let known = self.identities.names.get(&node.id).copied();
        let Some(proxy) = known.or_else(|| number.and_then(|n| n.parse().ok())) else {
            let why = format!("node.id {id:?} names no relay that this director knows");
            return refuse(StatusCode::PermissionDenied, "streams_unknown", why);
        };
        if self.proxies > 0 && proxy as usize >= self.proxies {
            let why = format!(
                "node.id {id:?} is beyond the {} relays that the settings name",
                self.proxies
            );
            return refuse(StatusCode::ResourceExhausted, "streams_beyond", why);
        }
        match self.zones.iter().position(|z| *z == node.zone) {
            Some(zone) => Ok(Who { proxy, zone }),
            None => {
                let why = format!(
                    "node.locality.zone {:?} of {id:?} is no zone of the settings",
                    node.zone
                );
                refuse(StatusCode::InvalidArgument, "streams_zoneless", why)
            }
        }
    }

    /// A stream says that it is a proxy's. Answers the stream that it takes the place of, if there is one.
    ///
    /// On the connection of the old one, the same process has opened it anew. On another one, the old one was lost
    /// unnoticed, unless it was heard of lately: then two relays bear one name.
    pub fn claim(
        &mut self,
        now: Ms,
        proxy: ProxyId,
        stream: StreamId,
        connection: ConnectionId,
    ) -> Result<Option<StreamId>, Refusal> {
        let member = Member {
            stream,
            connection,
            heard: now,
        };
        let Some(old) = self.joined.get(&proxy) else {
            self.joined.insert(proxy, member);
            return Ok(None);
        };
        let past = self.replaced.entry(proxy).or_default();
        past.retain(|at| now - at <= REPLACED_OVER);
        let refuse = |why: String| {
            Err(Refusal {
                code: StatusCode::AlreadyExists,
                count: "streams_doubled",
                why,
            })
        };
        if old.connection != connection && now - old.heard < ALIVE {
            return refuse(format!(
                "relay {proxy} is joined by another stream, which is alive"
            ));
        }
        if past.len() >= REPLACED_MOST {
            return refuse(format!(
                "streams of relay {proxy} take each other's place: do two bear its name?"
            ));
        }
        past.push_back(now);
        let old = old.stream;
        self.joined.insert(proxy, member);
        self.forget_past(now);
        Ok(Some(old))
    }

    /// Who has not been replaced of late has no past; and no more are remembered than may be.
    fn forget_past(&mut self, now: Ms) {
        self.replaced
            .retain(|_, past| past.back().is_some_and(|at| now - at <= REPLACED_OVER));
        while self.replaced.len() > REMEMBERED_MOST {
            self.replaced.pop_first();
        }
    }

    /// Its relay has said something, on whichever stream.
    pub fn heard(&mut self, now: Ms, proxy: ProxyId) {
        self.joined
            .get_mut(&proxy)
            .into_iter()
            .for_each(|m| m.heard = now);
    }

    /// The stream has ended. Whether it was the proxy's.
    pub fn ended(&mut self, now: Ms, proxy: ProxyId, stream: StreamId) -> bool {
        let was = self.stream(proxy) == Some(stream);
        if was {
            self.joined.remove(&proxy);
            self.forget_past(now);
        }
        was
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn members() -> Members {
        let names = [("edge".to_string(), 5)].into();
        Members::new(
            NodeIdentities {
                prefix: "relay-".into(),
                names,
            },
            vec!["east".into(), "west".into()],
            8,
        )
    }

    fn node(id: &str, zone: &str) -> Node {
        Node {
            id: id.into(),
            zone: zone.into(),
            rate: None,
        }
    }

    #[test]
    fn a_node_is_who_it_says_or_gets_the_status_that_tells_why_not() {
        let members = members();
        assert_eq!(
            members.who(Some(&node("relay-3", "west"))),
            Ok(Who { proxy: 3, zone: 1 })
        );
        assert_eq!(
            members.who(Some(&node("edge", "east"))),
            Ok(Who { proxy: 5, zone: 0 })
        );
        let code = |n: Option<&Node>| members.who(n).expect_err("refused").code;
        assert_eq!(code(None), StatusCode::InvalidArgument);
        for (id, zone, want) in [
            ("", "east", StatusCode::InvalidArgument),
            ("relay-", "east", StatusCode::PermissionDenied),
            ("relay-+3", "east", StatusCode::PermissionDenied),
            ("relay-99999999999", "east", StatusCode::PermissionDenied),
            ("nobody", "east", StatusCode::PermissionDenied),
            ("relay-8", "east", StatusCode::ResourceExhausted),
            ("relay-3", "north", StatusCode::InvalidArgument),
        ] {
            assert_eq!(code(Some(&node(id, zone))), want, "{id} {zone}");
        }
    }

    #[test]
    fn a_relay_that_comes_back_takes_its_place_and_a_double_does_not() {
        let mut members = members();
        assert_eq!(
            members.claim(0.0, 3, StreamId(1), ConnectionId(10)),
            Ok(None)
        );
        assert_eq!(
            members.claim(100.0, 3, StreamId(2), ConnectionId(10)),
            Ok(Some(StreamId(1))),
            "the same connection: the same process"
        );
        members.heard(5000.0, 3);
        let refused = members
            .claim(6000.0, 3, StreamId(3), ConnectionId(11))
            .expect_err("the other one is alive");
        assert_eq!(refused.code, StatusCode::AlreadyExists);
        assert_eq!(
            members.claim(9000.0, 3, StreamId(4), ConnectionId(11)),
            Ok(Some(StreamId(2))),
            "it was lost unnoticed"
        );
        assert!(
            !members.ended(9100.0, 3, StreamId(2)),
            "the old one's end is no news"
        );
        assert!(members.ended(9200.0, 3, StreamId(4)));
        assert_eq!(members.count(), 0);
    }

    #[test]
    fn two_of_one_name_do_not_throw_each_other_out_without_end() {
        let mut members = members();
        _ = members.claim(0.0, 3, StreamId(1), ConnectionId(1));
        let mut taken = 0;
        for k in 1..20u64 {
            taken += usize::from(
                members
                    .claim(k as f64 * 3000.0, 3, StreamId(k + 1), ConnectionId(k + 1))
                    .is_ok(),
            );
        }
        assert!(taken <= 8, "{taken} of 19: three in 30 s");
        assert!(members.replaced.len() <= 1);
    }
}
