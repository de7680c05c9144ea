//! Discovery: the whole list at first and after a gap, then one watch after the other, in order of revision.

use crate::backoff::Backoff;
use crate::boundary::{Effect, Weight};
use crate::step_context::StepContext;
use rushcourse_director_protocol::discovery::{self, Listing, Member};
use rushcourse_policy::interface::{Event, HostEntry, HostId, HostListKind, Ms, Readiness};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// ms that a watch waits for something newer. What it has to tell counts as told 2 s later, come or not.
const WAIT: u64 = 4000;
/// ms beyond its wait after which a call is given up.
const BEYOND: Ms = 700.0;
/// ms between the end of a watch and the next for it to be continued.
const LATE: Ms = 200.0;
/// First and longest pause between tries, in ms.
const PAUSE: Ms = 25.0;
const PAUSE_MOST: Ms = 400.0;
/// A watch that ends within the first with nothing new is followed by the next after the second, in ms.
const EMPTY_WITHIN: Ms = 50.0;
const EMPTY_PAUSE: Ms = 100.0;
/// Whole lists in a row that are older than the one held, after which the older one is believed.
const OLD_MOST: u32 = 3;

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Idle {
        until: Ms,
    },
    /// The daemon keeps the deadline; this is for the case that it says nothing.
    Asked {
        by: Ms,
        whole: bool,
    },
}

pub struct Hosts {
    state: State,
    /// Where discovery is.
    at: SocketAddr,
    /// It has moved, and nothing was told at the new place yet: its revisions count anew.
    moved: bool,
    ask: u64,
    /// The call to where it was before that may still be answered.
    old_ask: Option<u64>,
    /// When the last call went out.
    asked: Ms,
    backoff: Backoff,
    revision: u64,
    /// The whole list is wanted: at first, and after a gap.
    whole: bool,
    old: u32,
    /// When the last answer came that could be used.
    last: Option<Ms>,
    /// What was last told of each host, and where it listens.
    known: BTreeMap<HostId, (HostEntry, String)>,
}

impl Hosts {
    pub fn new(at: SocketAddr) -> Hosts {
        Hosts {
            state: State::Idle { until: 0.0 },
            at,
            moved: false,
            ask: 0,
            old_ask: None,
            asked: 0.0,
            backoff: Backoff::new(PAUSE, PAUSE_MOST),
            revision: 0,
            whole: true,
            old: 0,
            last: None,
            known: BTreeMap::new(),
        }
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn known(&self) -> usize {
        self.known.len()
    }

    pub fn age(&self, now: Ms) -> Option<Ms> {
        self.last.map(|at| now - at)
    }

    /// All that is known: what was last told of each host, and where it listens.
    pub fn all(&self) -> impl Iterator<Item = (&HostEntry, &String)> + Clone {
        self.known.values().map(|(entry, address)| (entry, address))
    }

    pub fn address(&self, host: &HostId) -> Option<&String> {
        self.known.get(host).map(|k| &k.1).filter(|a| !a.is_empty())
    }

    /// Discovery is elsewhere from now on: the whole list is asked for there at once. A call to where it was
    /// that is open still counts until then.
    pub fn moved(&mut self, context: &mut StepContext, at: SocketAddr) {
        if let State::Asked { whole: false, .. } = self.state {
            self.old_ask = Some(self.ask);
        }
        (self.at, self.moved, self.whole, self.old) = (at, true, true, 0);
        self.backoff.reset();
        self.state = State::Idle { until: context.now };
    }

    /// Changes told by the call that was open when discovery moved.
    fn old_listed(&mut self, context: &mut StepContext, body: &[u8], zones: &[String]) {
        self.old_ask = None;
        match discovery::decode(body) {
            Ok(list) if list.revision > self.revision => {
                let kind = if list.complete {
                    HostListKind::Full
                } else {
                    HostListKind::Delta
                };
                self.revision = list.revision;
                self.give(context, &list, kind, zones);
            }
            _ => {}
        }
    }

    /// A host that the list names, in its own word.
    pub fn listed_as(&self, id: &str) -> Option<HostId> {
        self.known.get_key_value(id).map(|(host, _)| host.clone())
    }

    /// Asks for the whole list with the next call.
    pub fn refresh(&mut self) {
        self.whole = true;
    }

    /// The list that the director had before its start: maybe old.
    pub fn held(&mut self, context: &mut StepContext, list: &Listing, zones: &[String]) {
        self.give(context, list, HostListKind::Cached, zones);
    }

    fn give(
        &mut self,
        context: &mut StepContext,
        list: &Listing,
        kind: HostListKind,
        zones: &[String],
    ) {
        let mut entries = Vec::new();
        for member in list.members() {
            let (read, id) = match member {
                Ok(m) => (self.entry(&m, zones), m.id.to_string()),
                Err(why) => (Err(why), String::new()),
            };
            // An entry that can't be used leaves a host that is known as it was.
            let read = read.or_else(|why| {
                context.counters.add("list_entries_odd", 1);
                context.note(Weight::Warning, "list entry skipped", || why);
                self.known.get(id.as_str()).cloned().ok_or(())
            });
            if let Ok((entry, address)) = read {
                self.known
                    .insert(entry.host.clone(), (entry.clone(), address));
                entries.push(entry);
            }
        }
        // Only what the list still names is remembered.
        let named = |host: &HostId| entries.iter().any(|e| e.host == *host);
        self.known.retain(|host, (e, _)| {
            e.readiness != Readiness::Gone && (kind == HostListKind::Delta || named(host))
        });
        if kind != HostListKind::Delta || !entries.is_empty() {
            context.event(Event::HostsListed { kind, entries });
        }
    }

    fn entry(&self, m: &Member, zones: &[String]) -> Result<(HostEntry, String), String> {
        let host: HostId = m.id.as_ref().into();
        let readiness = match m.phase.as_ref() {
            "Ready" => Some(Readiness::Ready),
            "Terminating" => Some(Readiness::Draining),
            "Gone" => Some(Readiness::Gone),
            _ => None,
        };
        let zone = zones.iter().position(|z| *z == m.locality);
        let before = self.known.get(&host);
        let zone = zone.or(before
            .filter(|_| readiness == Some(Readiness::Gone))
            .map(|k| k.0.zone));
        let (Some(readiness), Some(zone)) = (readiness, zone) else {
            return Err(format!(
                "{}: phase {:?}, zone {:?}",
                m.id, m.phase, m.locality
            ));
        };
        let entry = HostEntry {
            host,
            zone,
            cell: m.cell as u32,
            readiness,
            weight: m.size,
            started_at: m.up_since_ms,
        };
        Ok((entry, m.host_port.to_string()))
    }

    pub fn listed(&mut self, context: &mut StepContext, ask: u64, body: &[u8], zones: &[String]) {
        if self.old_ask == Some(ask) {
            return self.old_listed(context, body, zones);
        }
        let State::Asked { whole, .. } = self.state else {
            return;
        };
        if ask != self.ask {
            return;
        }
        let list = match discovery::decode(body) {
            Ok(list) => list,
            Err(e) => return self.fail(context, &format!("its answer can't be read ({e})")),
        };
        self.state = State::Idle { until: context.now };
        self.backoff.reset();
        let (new, old) = (
            list.revision > self.revision,
            list.revision < self.revision && !(self.moved && list.complete),
        );
        self.old = if old { self.old + 1 } else { 0 };
        if old && !(whole && list.complete && self.old >= OLD_MOST) {
            let held = self.revision;
            context.counters.add("lists_old", 1);
            context.note(Weight::Warning, "list old", || {
                format!("{} while {held} is held", list.revision)
            });
            (self.whole, self.state) = (
                true,
                State::Idle {
                    until: context.now + PAUSE_MOST,
                },
            );
            return;
        }
        self.last = Some(context.now);
        if list.complete {
            (self.moved, self.old_ask) = (false, None);
        }
        if list.complete && (new || whole) {
            self.give(context, &list, HostListKind::Full, zones);
        } else if new && !whole {
            self.give(context, &list, HostListKind::Delta, zones);
        } else if whole {
            return self.fail(context, "asked for the whole list, it told changes");
        }
        (self.revision, self.whole) = (list.revision, self.whole && !list.complete);
        if !new && context.now - self.asked < EMPTY_WITHIN && !whole {
            self.state = State::Idle {
                until: context.now + EMPTY_PAUSE,
            };
        }
    }

    pub fn unlisted(&mut self, context: &mut StepContext, ask: u64, why: &str) {
        if ask == self.ask && matches!(self.state, State::Asked { .. }) {
            self.fail(context, why);
        }
    }

    /// No answer, or none that can be used: what changed meanwhile is in the whole list only.
    fn fail(&mut self, context: &mut StepContext, why: &str) {
        self.whole = true;
        self.state = State::Idle {
            until: context.now + self.backoff.pause(),
        };
        context.counters.add("lists_failed", 1);
        context.note(Weight::Warning, "discovery", || {
            format!("{why}; the whole list is asked for")
        });
    }

    pub fn advance(&mut self, context: &mut StepContext) -> Option<Ms> {
        let now = context.now;
        match self.state {
            State::Idle { until } if now < until => return Some(until),
            State::Idle { .. } => {
                self.whole |= self.last.is_none_or(|at| now - at > LATE);
                (self.ask, self.asked) = (self.ask + 1, now);
                let (path, wait) = if self.whole {
                    (discovery::WHOLE.to_string(), 0)
                } else {
                    (discovery::watch(self.revision, WAIT), WAIT)
                };
                let within = wait as f64 + BEYOND;
                context.ask(Effect::List {
                    ask: self.ask,
                    at: self.at,
                    path,
                    within,
                });
                self.state = State::Asked {
                    by: now + within + BEYOND,
                    whole: self.whole,
                };
            }
            State::Asked { by, .. } if now >= by => self.fail(context, "no answer"),
            State::Asked { .. } => {}
        }
        match self.state {
            State::Idle { until } => Some(until),
            State::Asked { by, .. } => Some(by),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_host_is_reached_where_it_was_last_listed() {
        let (mut hosts, mut context) = (
            Hosts::new(([127, 0, 0, 1], 1).into()),
            StepContext::default(),
        );
        let zones = ["east".to_string()];
        let mut after = |kind: HostListKind, revision: u64, member: &str| {
            let text = format!(r#"{{"revision":{revision},"complete":true,"members":[{member}]}}"#);
            hosts.give(
                &mut context,
                &discovery::decode(text.as_bytes()).expect("a list"),
                kind,
                &zones,
            );
            hosts.address(&"h".into()).cloned()
        };
        let at = |port: u32, phase: &str| {
            format!(
                r#"{{"id":"h","host_port":"127.0.0.1:{port}","locality":"east","phase":"{phase}"}}"#
            )
        };
        assert_eq!(
            after(HostListKind::Full, 1, &at(1, "Ready")).as_deref(),
            Some("127.0.0.1:1")
        );
        assert_eq!(
            after(HostListKind::Delta, 2, &at(2, "Ready")).as_deref(),
            Some("127.0.0.1:2")
        );
        assert_eq!(
            after(HostListKind::Delta, 3, &at(2, "Odd")).as_deref(),
            Some("127.0.0.1:2")
        );
        assert_eq!(after(HostListKind::Delta, 4, &at(2, "Gone")), None);
        assert_eq!(
            after(HostListKind::Full, 5, &at(3, "Ready")).as_deref(),
            Some("127.0.0.1:3")
        );
        assert_eq!(
            after(HostListKind::Full, 6, ""),
            None,
            "a list that does not name it forgets it"
        );
    }
}
