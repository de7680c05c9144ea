//! The hosts. Each start of a host is a life with an id of its own. Calls may arrive late and at different directors:
//! the higher sequence holds, and a life that signed off never comes back.

use rushcourse_messages::{HostRecord, HostState};
use rushcourse_types::hash::hash64;
use rushcourse_types::{CallSequence, Millis};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Ranges that copies of the table are compared by.
pub const RANGES: usize = 32;
/// Beats that a host may miss before it counts as gone: a call may take a second and go round by other directors, and
/// a director that was slow for a while must not empty the tables (ours).
const MISSED: f64 = 3.4;
/// ms for which an ended life is remembered: late calls of it are known, and digests agree (ours).
const REMEMBER_GONE: u64 = 60_000;

/// One life of a host.
#[derive(Clone, Debug)]
pub struct Subscriber {
    pub news: HostRecord,
    /// ms, this director's clock: last heard, by whichever director.
    pub heard: u64,
    /// ms, this director's clock: when it was first known; 0 for one that was already warm then.
    pub up_since: u64,
    /// Nothing was heard of it for too long; a beat brings it back.
    pub silent: bool,
    ended: u64,
}

impl Subscriber {
    /// What tables go by.
    pub fn state(&self) -> HostState {
        if self.silent {
            HostState::Gone
        } else {
            self.news.state
        }
    }
}

/// All hosts that are known.
pub struct Subscribers {
    silent_after: u64,
    hosts: BTreeMap<Arc<str>, Subscriber>,
}

impl Subscribers {
    /// `beat_ms`: how often a host calls.
    pub fn new(beat_ms: u64) -> Subscribers {
        Subscribers {
            silent_after: (beat_ms as f64 * MISSED) as u64 + 400,
            hosts: BTreeMap::new(),
        }
    }

    pub fn get(&self, id: &str) -> Option<&Subscriber> {
        self.hosts.get(id)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Subscriber> {
        self.hosts.values()
    }

    /// A call of a host, or news of one. True if tables may change by it.
    pub fn heard(&mut self, now: u64, news: HostRecord) -> bool {
        let heard = now.saturating_sub(news.age.0);
        let Some(known) = self.hosts.get_mut(&news.id) else {
            let up_since = if news.warm_up > Millis(0) {
                now.max(1)
            } else {
                0
            };
            let ended = if news.state == HostState::Gone {
                now
            } else {
                0
            };
            let silent =
                news.state != HostState::Gone && now.saturating_sub(heard) > self.silent_after;
            self.hosts.insert(
                news.id.clone(),
                Subscriber {
                    news,
                    heard,
                    up_since,
                    silent,
                    ended,
                },
            );
            return true;
        };
        if known.news.state == HostState::Gone {
            return false;
        }
        if news.state != HostState::Gone && news.sequence < known.news.sequence {
            return false;
        }
        known.heard = known.heard.max(heard);
        let woke = known.silent && now.saturating_sub(known.heard) <= self.silent_after;
        known.silent &= !woke;
        let differs = known.news.state != news.state
            || known.news.address != news.address
            || known.news.service != news.service
            || known.news.slots != news.slots;
        known.ended = if news.state == HostState::Gone {
            now
        } else {
            0
        };
        known.news = news;
        differs || woke
    }

    /// A host only beat, at another director. True if it had been silent; none if it is not known.
    pub fn beat(&mut self, now: u64, id: &str, sequence: CallSequence) -> Option<bool> {
        let known = self.hosts.get_mut(id)?;
        if known.news.state == HostState::Gone || sequence < known.news.sequence {
            return Some(false);
        }
        (known.news.sequence, known.heard) = (sequence, now);
        Some(std::mem::take(&mut known.silent))
    }

    /// A host signed off. The news, if that is new.
    pub fn signed_off(&mut self, now: u64, id: &str) -> Option<HostRecord> {
        let known = self.hosts.get_mut(id)?;
        if known.news.state == HostState::Gone {
            return None;
        }
        (known.news.state, known.ended) = (HostState::Gone, now);
        Some(known.news.clone())
    }

    /// Hosts that fell silent now. `may_judge`: this director hears what a majority hears; else silence proves nothing.
    pub fn tick(&mut self, now: u64, may_judge: bool) -> Vec<Arc<str>> {
        let old = |s: &Subscriber| s.ended > 0 && now >= s.ended + REMEMBER_GONE;
        let lost = |s: &Subscriber| s.silent && now >= s.heard + REMEMBER_GONE;
        self.hosts.retain(|_, s| !old(s) && !lost(s));
        if !may_judge {
            return Vec::new();
        }
        let mut fell = Vec::new();
        for (id, s) in &mut self.hosts {
            if !s.silent && s.news.state != HostState::Gone && now > s.heard + self.silent_after {
                s.silent = true;
                fell.push(id.clone());
            }
        }
        fell
    }

    /// News as they go to another director.
    pub fn tell(&self, now: u64, s: &Subscriber) -> HostRecord {
        HostRecord {
            age: Millis(now.saturating_sub(s.heard)),
            ..s.news.clone()
        }
    }

    pub fn all(&self, now: u64) -> Vec<HostRecord> {
        self.hosts.values().map(|s| self.tell(now, s)).collect()
    }

    fn range(id: &str) -> usize {
        (hash64(id.as_bytes(), 3) % RANGES as u64) as usize
    }

    /// A digest of each range: of what tables go by, not of beats.
    pub fn digest(&self) -> Vec<u64> {
        let mut digest = vec![0u64; RANGES];
        for s in self.hosts.values() {
            let n = &s.news;
            let text = format!(
                "{} {} {} {} {:?}",
                n.id, n.service, n.address, n.slots, n.state
            );
            digest[Self::range(&n.id)] ^= hash64(text.as_bytes(), 4);
        }
        digest
    }

    /// Ranges in which another's digest differs.
    pub fn differing(&self, other: &[u64]) -> Vec<u16> {
        let mine = self.digest();
        (0..RANGES)
            .filter(|k| other.get(*k) != Some(&mine[*k]))
            .map(|k| k as u16)
            .collect()
    }

    pub fn in_ranges(&self, now: u64, ranges: &[u16]) -> Vec<HostRecord> {
        let of = |s: &&Subscriber| ranges.contains(&(Self::range(&s.news.id) as u16));
        self.hosts
            .values()
            .filter(of)
            .map(|s| self.tell(now, s))
            .collect()
    }
}
