//! One stream of aggregated discovery: what it asked for, what it was sent and has answered. State of the world
//! (`DiscoveryRequest`) and incremental (`DeltaDiscoveryRequest`) share the state and differ in what a response holds
//! and what an answer proves (xDS REST and gRPC protocol, "ACK/NACK and resource type instance version").

use crate::grants::Grants;
use crate::messages::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse, Resource,
    Response,
};
use crate::resources::{self, ResourceCache};
use rushcourse_policy::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Responses whose answers are waited for; of older ones nothing is believed any more.
const UNANSWERED_MOST: usize = 32;
/// Names that a stream may ask for.
pub const NAMES_MOST: usize = 256;
/// First and longest pause before a table that was refused is sent again as it was, in ms.
const REFUSED_PAUSE: Ms = 5000.0;
const REFUSED_PAUSE_MOST: Ms = 60_000.0;
/// ms after which the module hears that a response has not left, and between two such words.
const LEAVES_WITHIN: Ms = 500.0;
const BEHIND_EVERY: Ms = 1000.0;

/// First and last mark of a run of replies that one response stands for.
type Marks = (u16, u16);

/// Whether one mark came after another: numbers begin anew after the largest.
fn after(a: u16, b: u16) -> bool {
    a.wrapping_sub(b) < u16::MAX / 2
}

fn join(a: Option<Marks>, b: Option<Marks>) -> Option<Marks> {
    let (Some(a), Some(b)) = (a, b) else {
        return a.or(b);
    };
    let first = if after(a.0, b.0) { b.0 } else { a.0 };
    Some((first, if after(a.1, b.1) { a.1 } else { b.1 }))
}

#[derive(Debug)]
struct Sent {
    nonce: u64,
    at: Ms,
    /// What it answers once it is acknowledged.
    marks: Option<Marks>,
    /// Versions that it holds, by class.
    holds: BTreeMap<ClassId, String>,
    /// Acknowledged while an earlier one was not.
    answered: bool,
}

/// What came of a message or of time.
#[derive(Debug, Default, PartialEq)]
pub struct Came {
    /// A mark that is proved, and how long its response took.
    pub proved: Option<(u16, Ms)>,
    /// The proxy does not hold what this mark and those behind it asked for. `true`: one more message leaves.
    pub behind: Option<(u16, bool)>,
    /// A response to hand to the transport, and whether it repeats one that was refused.
    pub response: Option<Response>,
    pub counts: Vec<&'static str>,
    pub refused: Option<String>,
}

#[derive(Debug)]
pub struct Ads {
    whole: bool,
    epoch: u64,
    names: BTreeSet<String>,
    /// `*` was asked for.
    all: bool,
    /// What it says it holds from an earlier stream, until that can be compared.
    claims: BTreeMap<String, String>,
    claims_whole: Option<String>,
    /// By class: the version last sent, or claimed and right.
    sent: BTreeMap<ClassId, String>,
    /// By class: the version last refused.
    refused: BTreeMap<ClassId, String>,
    refusals: u32,
    again_at: Ms,
    out: VecDeque<Sent>,
    serial: u64,
    /// Marks that rest on the next response.
    due: Option<Marks>,
    due_since: Ms,
    /// A response is owed though nothing has changed.
    owed: bool,
    /// Names that don't exist, to be told as removed.
    removed: BTreeSet<String>,
    /// Since when the transport holds a response that it has not taken.
    taking: Option<Ms>,
    behind_at: Ms,
    grants: Grants,
}

impl Ads {
    pub fn new(whole: bool, epoch: u64, cap: usize, over: Ms) -> Ads {
        Ads {
            whole,
            epoch,
            names: BTreeSet::new(),
            all: false,
            claims: BTreeMap::new(),
            claims_whole: None,
            sent: BTreeMap::new(),
            refused: BTreeMap::new(),
            refusals: 0,
            again_at: 0.0,
            out: VecDeque::new(),
            serial: 0,
            due: None,
            due_since: 0.0,
            owed: false,
            removed: BTreeSet::new(),
            taking: None,
            behind_at: 0.0,
            // Half of what a proxy may get is left for what its director has to say.
            grants: Grants::new(cap / 2, over),
        }
    }

    /// Responses that no answer has come to.
    pub fn unanswered(&self) -> usize {
        self.out.len()
    }

    /// Since when the transport has not taken a response.
    pub fn taking(&self) -> Option<Ms> {
        self.taking
    }

    pub fn too_many_names(&self) -> bool {
        self.names.len() > NAMES_MOST || self.claims.len() > NAMES_MOST
    }

    /// Classes that it asked for and that exist.
    fn wanted(&self, cache: &ResourceCache) -> Vec<ClassId> {
        let names = cache.class_names();
        (0..names.len())
            .filter(|c| self.all || self.names.contains(&names[*c]))
            .collect()
    }

    // ---- requests ----

    /// A state-of-the-world request: the first one, an answer, or other names.
    pub fn asked(&mut self, now: Ms, ask: &DiscoveryRequest) -> Came {
        let mut came = Came::default();
        let first = self.serial == 0 && !self.owed;
        if !ask.response_nonce.is_empty() {
            self.answered(
                now,
                &ask.response_nonce,
                ask.error_detail.as_deref(),
                &mut came,
            );
            // With a nonce that is not the newest, names are of before: the protocol has them ignored.
            if ask.response_nonce != self.serial.to_string() {
                came.counts.push("nonces_stale");
                return came;
            }
        } else if first && !ask.version_info.is_empty() {
            self.claims_whole = Some(ask.version_info.clone());
        }
        let names: BTreeSet<String> = ask
            .resource_names
            .iter()
            .filter(|n| *n != "*")
            .cloned()
            .collect();
        let all = ask.resource_names.iter().any(|n| n == "*");
        let more = all && !self.all || names.iter().any(|n| !self.names.contains(n));
        // A name that was let go and is asked for again is sent again.
        (self.names, self.all) = (names, all);
        self.owed |= more || first;
        came
    }

    /// An incremental request.
    pub fn delta_asked(
        &mut self,
        now: Ms,
        ask: &DeltaDiscoveryRequest,
        cache: &ResourceCache,
    ) -> Came {
        let mut came = Came::default();
        if !ask.response_nonce.is_empty() {
            self.answered(
                now,
                &ask.response_nonce,
                ask.error_detail.as_deref(),
                &mut came,
            );
        }
        if self.serial == 0 {
            self.claims.extend(ask.initial_resource_versions.clone());
        }
        for name in &ask.resource_names_subscribe {
            if name == "*" {
                self.all = true;
                continue;
            }
            match cache.class(name) {
                // Asked for anew: it is sent, whatever was sent before.
                Some(class) if !self.names.insert(name.clone()) => drop(self.sent.remove(&class)),
                Some(_) => {}
                None => {
                    came.counts.push("names_unknown");
                    self.removed.insert(name.chars().take(120).collect());
                }
            }
        }
        for name in &ask.resource_names_unsubscribe {
            self.all &= name != "*";
            self.names.remove(name);
            self.removed.remove(name);
        }
        let wanted = self.wanted(cache);
        self.sent.retain(|class, _| wanted.contains(class));
        self.refused.retain(|class, _| wanted.contains(class));
        came
    }

    /// An answer to the response of a nonce. Only that very nonce is answered; in a state-of-the-world stream later
    /// responses hold all that earlier ones did, so an answer speaks for those before it too.
    fn answered(&mut self, now: Ms, nonce: &str, error: Option<&str>, came: &mut Came) {
        let at = nonce
            .parse::<u64>()
            .ok()
            .and_then(|n| self.out.iter().position(|s| s.nonce == n));
        let Some(at) = at else {
            return came.counts.push("nonces_unknown");
        };
        match error {
            Some(error) => {
                came.counts.push("tables_refused");
                came.refused = Some(error.chars().take(200).collect());
                self.refuse(now, at);
                came.behind = self.first_unproved().map(|mark| (mark, false));
                self.behind_at = now + BEHIND_EVERY;
            }
            None => {
                came.counts.push("tables_acknowledged");
                came.proved = self.accept(now, at);
            }
        }
    }

    fn refuse(&mut self, now: Ms, at: usize) {
        let gone: Vec<Sent> = if self.whole {
            self.out.drain(..=at).collect()
        } else {
            vec![self.take_out(at)]
        };
        let mut marks = gone.iter().fold(None, |m, s| join(m, s.marks));
        let last = gone.into_iter().last().expect("the one refused");
        for (class, version) in last.holds {
            // What was sent since is another matter.
            if self.sent.get(&class) == Some(&version) {
                self.refused.insert(class, version);
            }
        }
        match self.out.front_mut().filter(|_| self.whole) {
            // A later response holds all that this one did.
            Some(next) => next.marks = join(marks, next.marks),
            None => {
                // A mark stands for all before it, in the module's eyes: what was sent since proves none of them
                // before this was sent again.
                let since = self.out.iter_mut().skip(at);
                marks = since.fold(marks, |marks, s| join(marks, s.marks.take()));
                self.due_since = if self.due.is_none() {
                    now
                } else {
                    self.due_since
                };
                self.due = join(marks, self.due);
            }
        }
        let pause = REFUSED_PAUSE * 2f64.powi(self.refusals.min(10) as i32);
        self.refusals += 1;
        self.again_at = now + pause.min(REFUSED_PAUSE_MOST);
    }

    fn take_out(&mut self, at: usize) -> Sent {
        self.out.remove(at).expect("a place in the queue")
    }

    fn accept(&mut self, now: Ms, at: usize) -> Option<(u16, Ms)> {
        let (mut marks, mut took) = (None, 0.0);
        if self.whole {
            for sent in self.out.drain(..=at) {
                (marks, took) = (join(marks, sent.marks), now - sent.at);
            }
            self.refused.clear();
            self.refusals = 0;
        } else {
            self.out[at].answered = true;
            let holds: Vec<ClassId> = self.out[at].holds.keys().copied().collect();
            holds
                .iter()
                .for_each(|class| drop(self.refused.remove(class)));
            self.refusals = if self.refused.is_empty() {
                0
            } else {
                self.refusals
            };
            while self.out.front().is_some_and(|s| s.answered) {
                let sent = self.take_out(0);
                (marks, took) = (join(marks, sent.marks), now - sent.at);
            }
        }
        marks.map(|m| (m.1, took))
    }

    // ---- replies of the module ----

    /// A reply of the module with this mark has reached the proxy.
    pub fn reply(&mut self, now: Ms, mark: u16) {
        self.due_since = if self.due.is_none() {
            now
        } else {
            self.due_since
        };
        self.due = join(self.due, Some((mark, mark)));
    }

    /// The first mark that nothing has proved.
    fn first_unproved(&self) -> Option<u16> {
        let sent = self.out.iter().find_map(|s| s.marks);
        join(sent, self.due).map(|m| m.0)
    }

    // ---- responses ----

    /// The transport has taken the last response.
    pub fn taken(&mut self) {
        self.taking = None;
    }

    /// What the proxy is to hold that it was not sent, by class.
    fn fresh(
        &mut self,
        proxy: ProxyId,
        cache: &mut ResourceCache,
        now: Ms,
    ) -> (Vec<(ClassId, Resource)>, bool) {
        let wanted = self.wanted(cache);
        let all: Vec<(ClassId, Resource)> = wanted
            .iter()
            .filter_map(|c| cache.table(proxy, *c).map(|r| (*c, r)))
            .collect();
        if !all.is_empty() {
            self.believe_claims(&all, cache);
        }
        let changed = |(class, r): &(ClassId, Resource)| match self.refused.get(class) {
            Some(version) => *version != r.version || now >= self.again_at,
            None => self.sent.get(class) != Some(&r.version),
        };
        let any = all.iter().any(changed);
        let out = if self.whole {
            all
        } else {
            all.into_iter().filter(changed).collect()
        };
        (out, any)
    }

    /// What the proxy claims to hold counts as sent, if it is just what it is to hold now.
    fn believe_claims(&mut self, all: &[(ClassId, Resource)], cache: &ResourceCache) {
        if let Some(claim) = self.claims_whole.take()
            && claim == resources::whole(self.epoch, all.iter().map(|(_, r)| r.version.clone()))
        {
            self.sent
                .extend(all.iter().map(|(c, r)| (*c, r.version.clone())));
            self.owed = false;
        }
        for (class, r) in all {
            if self
                .claims
                .remove(&cache.class_names()[*class])
                .is_some_and(|claim| claim == r.version)
            {
                self.sent.insert(*class, r.version.clone());
            }
        }
    }

    /// Sends what is due, if the transport has room, and says what follows from time alone.
    pub fn advance(&mut self, now: Ms, proxy: ProxyId, cache: &mut ResourceCache) -> Came {
        let mut came = Came::default();
        if self.taking.is_none() {
            self.send(now, proxy, cache, &mut came);
        }
        if came.behind.is_none() && now >= self.behind_from() && now >= self.behind_at {
            came.behind = self.first_unproved().map(|mark| (mark, false));
            self.behind_at = now + BEHIND_EVERY;
        }
        came
    }

    /// From when on the module must hear that the proxy is behind: a response has not left, or was refused.
    fn behind_from(&self) -> Ms {
        let refused = if self.refused.is_empty() {
            f64::INFINITY
        } else {
            0.0
        };
        self.taking
            .map_or(f64::INFINITY, |since| since + LEAVES_WITHIN)
            .min(refused)
    }

    fn send(&mut self, now: Ms, proxy: ProxyId, cache: &mut ResourceCache, came: &mut Came) {
        let (tables, any) = self.fresh(proxy, cache, now);
        let removed = !self.whole && !self.removed.is_empty();
        // A subscription is answered once there is something to answer with.
        let owed = self.whole && self.owed && !tables.is_empty();
        if !any && !owed && !removed {
            // It holds all this already, or will once it has answered what is on its way.
            if self.refused.is_empty() && !self.wanted(cache).is_empty() {
                match self.out.back_mut() {
                    Some(last) => last.marks = join(last.marks, self.due.take()),
                    None => came.proved = self.due.take().map(|marks| (marks.1, 0.0)),
                }
            }
            return;
        }
        // What the proxy itself brings about is bounded; what the module orders is within the cap by its own count.
        if self.due.is_none() && self.grants.room(now) > now {
            return;
        }
        self.serial += 1;
        let repeat = tables
            .iter()
            .any(|(c, r)| self.refused.get(c) == Some(&r.version));
        let late = now - self.due_since >= LEAVES_WITHIN && self.due.is_some();
        if repeat || late {
            came.behind = self.first_unproved().map(|mark| (mark, true));
            self.behind_at = now + BEHIND_EVERY;
        }
        let holds: BTreeMap<ClassId, String> = tables
            .iter()
            .map(|(c, r)| (*c, r.version.clone()))
            .collect();
        self.sent.extend(holds.clone());
        if repeat {
            came.counts.push("tables_repeated");
        }
        // It waits for an answer now, and is no longer known to be refused.
        holds
            .keys()
            .for_each(|class| drop(self.refused.remove(class)));
        // While another class is refused, nothing is proved by this one.
        let marks = if self.refused.is_empty() {
            self.due.take()
        } else {
            None
        };
        self.out.push_back(Sent {
            nonce: self.serial,
            at: now,
            marks,
            holds,
            answered: false,
        });
        if self.out.len() > UNANSWERED_MOST {
            came.counts.push("answers_given_up");
            let old = self.take_out(0);
            let next = self.out.front_mut().expect("more than one");
            next.marks = join(old.marks, next.marks);
        }
        (self.owed, self.taking) = (false, Some(now));
        self.grants.record(now);
        let nonce = self.serial.to_string();
        let version = resources::whole(self.epoch, tables.iter().map(|(_, r)| r.version.clone()));
        let resources = tables.into_iter().map(|(_, r)| r).collect();
        came.response = Some(if self.whole {
            Response::Discovery(DiscoveryResponse {
                version_info: version,
                nonce,
                resources,
            })
        } else {
            let removed = std::mem::take(&mut self.removed).into_iter().collect();
            Response::Delta(DeltaDiscoveryResponse {
                system_version_info: version,
                nonce,
                resources,
                removed_resources: removed,
            })
        });
    }

    /// When there is something to do next, if nothing comes before.
    pub fn next(&self, now: Ms) -> Ms {
        let behind = self.behind_from().max(self.behind_at);
        if self.taking.is_some() {
            return behind;
        }
        // What is held back for want of room goes out once there is some.
        let room = self.grants.room(now);
        let again = if self.refused.is_empty() {
            f64::INFINITY
        } else {
            self.again_at.max(room)
        };
        behind
            .min(again)
            .min(if room > now { room } else { f64::INFINITY })
    }
}
