//! News of proxies: the watch of the relay, its signs of life, and what changed while there was none.

use crate::boundary::{Link, Weight};
use crate::relay_connection::{BUSY_WAIT, RelayConnection};
use crate::step_context::StepContext;
use rushcourse_director_protocol::relay::{self, Answer, News};
use rushcourse_policy::interface::{Channel, Event, Ms, ProxyId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// ms for the answer to `WATCH`.
const ANSWER_WITHIN: Ms = 500.0;
/// ms of silence after which the watch is given up: a sign of life comes each second.
const SILENCE_MOST: Ms = 2200.0;
/// ms without a further line after which the standing set is taken as complete.
const STANDING_QUIET: Ms = 300.0;
/// ms without news within which no proxy can have left and come back: a new stream takes longer to dial.
const GAP_SAFE: Ms = 150.0;
/// ms after which a watch that stood is asked for again at once.
const STOOD: Ms = 1000.0;
/// ms for which answers to marks are still read where the relay was, once the watch stands where it is now.
const LAST_ANSWERS: Ms = 1000.0;

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Down {
        until: Ms,
    },
    Connecting {
        by: Ms,
    },
    Asked {
        by: Ms,
    },
    /// What stands is being told.
    Standing {
        quiet: Ms,
    },
    Live {
        silent: Ms,
    },
}

/// A joined proxy, as far as the news tell.
struct Seen {
    /// It has applied an order of this director since it joined.
    applied: bool,
    zone: ZoneId,
    rate: f64,
}

/// The watch of a relay that has moved.
struct Old {
    turn: u64,
    /// It is given up then: as silent, or as all that is new stands at the new place.
    until: Ms,
    /// The watch at the new place stands: who joined or left is told there.
    replaced: bool,
}

pub struct Watch {
    state: State,
    connection: RelayConnection,
    old: Option<Old>,
    /// The relay is elsewhere; the connection that stands is still the one to where it was.
    moved: bool,
    joined: BTreeMap<ProxyId, Seen>,
    /// Named by the standing set that is being told.
    named: BTreeSet<ProxyId>,
    /// Since when news may be missing.
    gap: Option<Ms>,
    /// When the watch came to stand, and when the last line came.
    since: Ms,
    last: Ms,
}

impl Watch {
    pub fn new(relay: SocketAddr) -> Watch {
        Watch {
            state: State::Down { until: 0.0 },
            connection: RelayConnection::new(Link::News, relay),
            old: None,
            moved: false,
            joined: BTreeMap::new(),
            named: BTreeSet::new(),
            gap: None,
            since: 0.0,
            last: 0.0,
        }
    }

    pub fn joined(&self) -> usize {
        self.joined.len()
    }

    /// ms since the last line, where there was one.
    pub fn age(&self, now: Ms) -> Option<Ms> {
        (self.last > 0.0).then_some(now - self.last)
    }

    /// The relay is elsewhere from now on.
    pub fn moved(&mut self, relay: SocketAddr) {
        self.connection.relay = relay;
        self.moved = true;
    }

    /// Watches at the new place; a watch that stands is read until the new one does.
    fn turn_to(&mut self, context: &mut StepContext) {
        self.moved = false;
        self.connection.backoff.reset();
        if let State::Live { silent } = self.state {
            self.drop_old(context);
            self.old = Some(Old {
                turn: self.connection.turn(),
                until: silent,
                replaced: false,
            });
        } else if !matches!(self.state, State::Down { .. }) {
            self.connection.drop(context);
        }
        self.state = State::Down { until: context.now };
    }

    fn drop_old(&mut self, context: &mut StepContext) {
        if let Some(old) = self.old.take() {
            self.connection.drop_turn(context, old.turn);
        }
    }

    /// The old watch is gone. While the new one does not stand yet, news may be missing from `since` on.
    fn old_lost(&mut self, context: &mut StepContext, since: Ms, why: &str) {
        if let Some(old) = self.old.take().filter(|old| !old.replaced) {
            self.gap.get_or_insert(since);
            context.counters.add("news_breaks", 1);
            let turn = old.turn;
            context.note(Weight::Warning, "news lost", || {
                format!("{why} (watch {turn}, of before the reload)")
            });
        }
    }

    /// A line of the watch of before the reload.
    fn old_line(&mut self, context: &mut StepContext, text: &str, zones: &[String]) {
        let Some(old) = &mut self.old else { return };
        let news = relay::news(text);
        match news {
            Some(News::Applied { proxy, mark, took }) => self.applied(context, proxy, mark, took),
            Some(_) if old.replaced => {}
            Some(news) => {
                (old.until, self.last) = (context.now + SILENCE_MOST, context.now);
                self.live(context, news, zones, false);
            }
            None => {
                self.connection.drop_turn(context, old.turn);
                self.old_lost(
                    context,
                    context.now,
                    &format!("news can't be read ({text:.60?})"),
                );
            }
        }
    }

    /// News may be missing from `since` on.
    fn lost(&mut self, context: &mut StepContext, since: Ms, why: &str) {
        let live = matches!(self.state, State::Standing { .. } | State::Live { .. });
        let stood = live && context.now - self.since > STOOD;
        let pause = if stood {
            self.connection.backoff.reset();
            0.0
        } else {
            self.connection.backoff.pause()
        };
        self.state = State::Down {
            until: context.now + pause,
        };
        if self.old.as_ref().is_none_or(|old| old.replaced) {
            self.gap.get_or_insert(since);
        }
        context.counters.add("news_breaks", 1);
        context.note(Weight::Warning, "news lost", || {
            format!("{why}; asking again")
        });
    }

    pub fn up(&mut self, context: &mut StepContext, turn: u64) {
        if self.connection.is(turn) && matches!(self.state, State::Connecting { .. }) {
            self.state = State::Asked {
                by: context.now + ANSWER_WITHIN,
            };
            self.connection.send(context, relay::WATCH.into());
        }
    }

    pub fn down(&mut self, context: &mut StepContext, turn: u64, why: &str) {
        if self.connection.is(turn) && !matches!(self.state, State::Down { .. }) {
            self.lost(context, context.now, why);
        } else if self.old.as_ref().is_some_and(|old| old.turn == turn) {
            self.old_lost(context, context.now, why);
        }
    }

    pub fn line(&mut self, context: &mut StepContext, turn: u64, text: &str, zones: &[String]) {
        if self.old.as_ref().is_some_and(|old| old.turn == turn) {
            return self.old_line(context, text, zones);
        }
        if !self.connection.is(turn) {
            return;
        }
        match self.state {
            State::Down { .. } | State::Connecting { .. } => {}
            State::Asked { .. } => match relay::answer(text) {
                Answer::Watching => {
                    (self.since, self.last) = (context.now, context.now);
                    self.named.clear();
                    // From here on who joined or left is told by this watch.
                    if let Some(old) = &mut self.old {
                        (old.until, old.replaced) = (context.now + LAST_ANSWERS, true);
                    }
                    self.state = State::Standing {
                        quiet: context.now + SILENCE_MOST,
                    };
                }
                Answer::Busy => {
                    self.connection.drop(context);
                    self.state = State::Down {
                        until: context.now + BUSY_WAIT,
                    };
                }
                _ => self.unreadable(context, text),
            },
            State::Standing { .. } | State::Live { .. } => match relay::news(text) {
                Some(news) => self.take(context, news, zones),
                None => self.unreadable(context, text),
            },
        }
    }

    fn unreadable(&mut self, context: &mut StepContext, text: &str) {
        self.connection.drop(context);
        // All before this line was read: only from here on something is missing.
        self.lost(
            context,
            context.now,
            &format!("news can't be read ({text:.60?})"),
        );
    }

    fn take(&mut self, context: &mut StepContext, news: News, zones: &[String]) {
        let standing = matches!(self.state, State::Standing { .. });
        if standing && !matches!(news, News::Joined { .. }) {
            self.complete(context);
        }
        self.last = context.now;
        self.state = match self.state {
            State::Standing { .. } => State::Standing {
                quiet: context.now + STANDING_QUIET,
            },
            _ => State::Live {
                silent: context.now + SILENCE_MOST,
            },
        };
        self.live(context, news, zones, standing);
    }

    fn applied(&mut self, context: &mut StepContext, proxy: ProxyId, mark: u16, took: Ms) {
        context.proved.push(mark);
        if let Some(seen) = self.joined.get_mut(&proxy) {
            seen.applied = true;
            context.event(Event::Acknowledged {
                ack_number: mark,
                proxy,
                elapsed: took,
                channel: Channel::Shared,
            });
        }
    }

    fn live(&mut self, context: &mut StepContext, news: News, zones: &[String], standing: bool) {
        match news {
            News::Joined {
                proxy,
                zone,
                rate,
                fresh,
            } => {
                let Some(zone) = zones.iter().position(|z| z == zone) else {
                    context.counters.add("news_odd", 1);
                    return context.note(Weight::Warning, "news", || {
                        format!("{proxy} in unknown zone {zone}")
                    });
                };
                self.named.insert(proxy);
                self.join(context, standing, proxy, zone, rate, fresh);
            }
            News::Left { proxy } => {
                if self.joined.remove(&proxy).is_some() {
                    context.event(Event::ProxyLeft {
                        proxy,
                        channel: Channel::Shared,
                    });
                }
            }
            News::Applied { proxy, mark, took } => self.applied(context, proxy, mark, took),
            News::Alive => {}
            News::Other => context.counters.add("news_odd", 1),
        }
    }

    /// A proxy is joined. In a standing set it may have stayed all the time, or have left and come back.
    fn join(
        &mut self,
        context: &mut StepContext,
        standing: bool,
        proxy: ProxyId,
        zone: ZoneId,
        rate: f64,
        fresh: bool,
    ) {
        let joined = Event::ProxyJoined {
            proxy,
            zone,
            rate,
            is_fresh: fresh,
            channel: Channel::Shared,
        };
        let gap = self.gap.map_or(0.0, |since| context.now - since);
        match self.joined.insert(
            proxy,
            Seen {
                applied: false,
                zone,
                rate,
            },
        ) {
            None => context.event(joined),
            // It holds nothing of what it had applied: it has started anew.
            Some(old) if !standing || fresh && old.applied => {
                context.event(Event::ProxyLeft {
                    proxy,
                    channel: Channel::Shared,
                });
                context.event(joined);
            }
            // That it still stands here is no news of one that has joined by a stream since.
            Some(old) if gap <= GAP_SAFE || context.streamed.contains(&proxy) => {
                self.joined.insert(proxy, old);
            }
            // It may have left and come back unseen: then it is bound to none of the tables. It is bound anew,
            // and what was written to it counts on.
            Some(_) => {
                context.counters.add("proxies_bound_anew", 1);
                context.event(joined);
            }
        }
    }

    /// A proxy that had joined by a stream has left that: it is joined here alone, if it still is.
    pub fn rejoin(&self, context: &mut StepContext, proxy: ProxyId) {
        if let Some(Seen { zone, rate, .. }) = self.joined.get(&proxy) {
            let (zone, rate) = (*zone, *rate);
            context.event(Event::ProxyJoined {
                proxy,
                zone,
                rate,
                is_fresh: false,
                channel: Channel::Shared,
            });
        }
    }

    /// What stands was told: who was not named has left.
    fn complete(&mut self, context: &mut StepContext) {
        let gone: Vec<ProxyId> = self
            .joined
            .keys()
            .filter(|p| !self.named.contains(p))
            .copied()
            .collect();
        if let Some(since) = self.gap.take() {
            let (ms, joined) = (context.now - since, self.named.len());
            context.note(Weight::Info, "news back", || {
                format!(
                    "after {ms:.0} ms; {joined} proxies stand, {} are gone",
                    gone.len()
                )
            });
        }
        for proxy in gone {
            self.joined.remove(&proxy);
            context.event(Event::ProxyLeft {
                proxy,
                channel: Channel::Shared,
            });
        }
        self.state = State::Live {
            silent: context.now + SILENCE_MOST,
        };
    }

    pub fn advance(&mut self, context: &mut StepContext) -> Option<Ms> {
        let now = context.now;
        if let Some(old) = self.old.as_ref().filter(|old| now >= old.until) {
            self.connection.drop_turn(context, old.turn);
            self.old_lost(context, self.last, "no sign of life");
        }
        let next = self.go_on(context);
        next.into_iter()
            .chain(self.old.as_ref().map(|old| old.until))
            .reduce(f64::min)
    }

    fn go_on(&mut self, context: &mut StepContext) -> Option<Ms> {
        let now = context.now;
        loop {
            // A standing set that is being told is heard to its end first.
            if self.moved && !matches!(self.state, State::Standing { .. }) {
                self.turn_to(context);
            }
            match self.state {
                State::Down { until } if now < until => return Some(until),
                State::Down { .. } => {
                    self.state = State::Connecting {
                        by: self.connection.connect(context),
                    };
                }
                State::Connecting { by } | State::Asked { by } if now < by => return Some(by),
                State::Standing { quiet: by } | State::Live { silent: by } if now < by => {
                    return Some(by);
                }
                State::Standing { .. } => self.complete(context),
                State::Connecting { .. } | State::Asked { .. } | State::Live { .. } => {
                    self.connection.drop(context);
                    let (since, live) = (self.last, matches!(self.state, State::Live { .. }));
                    self.lost(
                        context,
                        since,
                        if live {
                            "no sign of life"
                        } else {
                            "no watch in time"
                        },
                    );
                }
            }
        }
    }
}
