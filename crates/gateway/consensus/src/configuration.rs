//! The configuration: the highest version that was chosen holds.
//!
//! Each version is a slot, and its text is chosen by ballots: so however operators race, and whatever is lost, one text
//! at most is in force under a number, and the slot is settled once a majority can talk. A replica sees that a version is
//! in force by what the voters tell of their disks; nothing that could still vanish is ever served. Copies that are behind
//! are mended from the newer.

use crate::acceptor::Acceptor;
use crate::agreement::Agreement;
use crate::context::Context;
use crate::durable_state::PruneBounds;
use crate::effect::{CommittedConfiguration, Effect, Outcome};
use crate::log_event::LogEvent;
use crate::proposer::Intent;
use crate::replicas::{HeldState, Told};
use rushcourse_messages::{Ballot, Message, NodeId, Proposal, Slot};
use rushcourse_types::{ConfigurationVersion, Epoch, RequestToken, Ticket};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// ms within which an operator's call ends: a caller moves on after a second of silence (PROTOCOL.md).
const CALL_WAIT: u64 = 850;
/// ms between two sendings of one version to one peer that has not said that it holds it.
const PUSH_EVERY: u64 = 400;
/// ms after which any replica brings a version to one that is behind, not only the first of those that have it.
const PUSH_BY_ANY: u64 = 1_200;
/// ms between two tellings of what is held, when nothing changed. Two of them are shorter than `replicas::TOLD_COUNTS`, as
/// a stamp is given back up to this time after it was read.
const TELL_EVERY: u64 = 700;
/// ms for which an accepted version may stay open before a voter has it settled, and what each place in the set adds:
/// its proposer may be gone.
const SETTLE_AFTER: u64 = 400;
const SETTLE_RANK: u64 = 150;
/// ms for which a voter tries to have such a version settled before it looks again.
const SETTLE_WAIT: u64 = 1_000;

/// An operator's order that waits for its outcome.
#[derive(Clone, Debug)]
struct Put {
    version: ConfigurationVersion,
    text: Arc<[u8]>,
    until: u64,
}

/// An operator's read that waits for a majority.
#[derive(Clone, Debug)]
struct Reading {
    token: RequestToken,
    until: u64,
    told: BTreeSet<NodeId>,
    highest: ConfigurationVersion,
}

/// A version that is accepted here and not in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Open {
    version: ConfigurationVersion,
    ballot: Ballot,
    since: u64,
}

/// A version that a peer was found to lack.
#[derive(Clone, Copy, Debug)]
struct Behind {
    version: ConfigurationVersion,
    since: u64,
    pushed_at: Option<u64>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Versions {
    in_force: ConfigurationVersion,
    puts: BTreeMap<u64, Put>,
    gets: BTreeMap<u64, Reading>,
    next_token: RequestToken,
    told_at: u64,
    open: Option<Open>,
    behind: BTreeMap<NodeId, Behind>,
}

impl Versions {
    pub fn version(&self) -> u64 {
        self.in_force.0
    }

    pub fn in_force(&self, acceptor: &Acceptor) -> Option<CommittedConfiguration> {
        let accepted = acceptor.accepted(Slot::Configuration(self.in_force))?;
        (self.in_force > ConfigurationVersion::NONE).then(|| CommittedConfiguration {
            version: self.in_force,
            text: accepted.value.clone(),
        })
    }

    /// The highest version that is accepted here or in force.
    pub fn highest(&self, acceptor: &Acceptor) -> u64 {
        acceptor
            .versions_above(self.in_force)
            .next()
            .map_or(self.in_force.0, |v| v.0.0)
    }

    pub fn down(&mut self, peer: NodeId) {
        self.behind.remove(&peer);
    }

    /// Tells one replica what this one holds.
    pub fn tell(&self, context: &mut Context, to: NodeId, agreement: &Agreement) {
        let held = HeldState {
            stamp: context.now.as_millis().max(1),
            echo: agreement.replicas.stamp(to),
            set: agreement.membership.set().epoch,
            votes: agreement.membership.votes(),
            in_force: self.in_force,
            casts: agreement.acceptor.casts(),
        };
        context.send(to, held.into());
    }

    /// Tells all replicas what this one holds.
    pub fn announce(&mut self, context: &mut Context, agreement: &Agreement) {
        self.told_at = context.now.as_millis();
        for peer in agreement.membership.peers() {
            self.tell(context, peer, agreement);
        }
    }

    pub fn put(
        &mut self,
        context: &mut Context,
        ticket: Ticket,
        version: ConfigurationVersion,
        text: Arc<[u8]>,
        agreement: &mut Agreement,
    ) {
        let membership = &agreement.membership;
        if version > self.in_force && membership.set().epoch > Epoch(0) && !membership.in_company()
        {
            return context.push(Effect::Answer {
                ticket,
                outcome: Outcome::Unknown,
            });
        }
        let put = Put {
            version,
            text,
            until: context.now.as_millis() + CALL_WAIT,
        };
        self.propose(context, &put, agreement);
        self.puts.insert(ticket.0, put);
    }

    /// Proposes an order's text, unless there is no set yet: then it waits for that.
    fn propose(&self, context: &mut Context, put: &Put, agreement: &mut Agreement) {
        if put.version <= self.in_force || agreement.membership.set().epoch == Epoch(0) {
            return;
        }
        let slot = Slot::Configuration(put.version);
        let intent = Intent {
            slot,
            value: put.text.clone(),
            without: None,
            until: put.until,
        };
        agreement
            .proposer
            .begin(context, &agreement.membership, intent);
    }

    pub fn get(&mut self, context: &mut Context, ticket: Ticket, agreement: &Agreement) {
        let membership = &agreement.membership;
        if !membership.in_company() {
            return context.push(Effect::Answer {
                ticket,
                outcome: Outcome::Unknown,
            });
        }
        self.next_token = self.next_token.next();
        let token = self.next_token;
        let told = BTreeSet::from_iter(membership.votes().then_some(context.node));
        let highest = self.highest(&agreement.acceptor);
        self.gets.insert(
            ticket.0,
            Reading {
                token,
                until: context.now.as_millis() + CALL_WAIT,
                told,
                highest: ConfigurationVersion(highest),
            },
        );
        let set = membership.set().epoch;
        let me = context.node;
        for member in membership
            .reached_members()
            .into_iter()
            .filter(|m| *m != me)
        {
            context.send(member, Message::ReadRequest { token, epoch: set });
        }
    }

    /// A voter's answer to a read.
    pub fn told_held(
        &mut self,
        peer: NodeId,
        token: RequestToken,
        votes: bool,
        highest: ConfigurationVersion,
    ) {
        let Some(reading) = self.gets.values_mut().find(|r| r.token == token) else {
            return;
        };
        reading.highest = reading.highest.max(highest);
        if votes {
            reading.told.insert(peer);
        }
    }

    /// Looks at what follows from all that is known: what is in force, which calls have their answer.
    pub fn settle(&mut self, context: &mut Context, agreement: &mut Agreement) {
        self.look_for_chosen(context, agreement);
        self.answer_puts(context, agreement);
        self.answer_gets(context, agreement);
    }

    fn look_for_chosen(&mut self, context: &mut Context, agreement: &mut Agreement) {
        let (membership, replicas) = (&agreement.membership, &agreement.replicas);
        let chosen = |(version, accepted): &(ConfigurationVersion, &Proposal)| {
            let slot = Slot::Configuration(*version);
            let own = membership.votes() && agreement.acceptor.cast(slot) == Some(accepted.ballot);
            replicas.chosen(
                context.now.as_millis(),
                membership.set(),
                slot,
                accepted.ballot,
                own,
            )
        };
        let found = agreement
            .acceptor
            .versions_above(self.in_force)
            .find(chosen);
        let Some((version, text)) =
            found.map(|(version, accepted)| (version, accepted.value.clone()))
        else {
            return;
        };
        self.in_force = version;
        self.open = None;
        agreement.proposer.settled(version);
        agreement.acceptor.prune(
            context,
            PruneBounds {
                versions_below: version,
                epochs_through: Epoch::NONE,
            },
        );
        context.log(LogEvent::ConfigurationCommitted {
            version,
            epoch: membership.set().epoch,
        });
        context.push(Effect::ConfigurationCommitted(CommittedConfiguration {
            version,
            text,
        }));
        self.announce(context, agreement);
    }

    fn answer_puts(&mut self, context: &mut Context, agreement: &Agreement) {
        let text = agreement
            .acceptor
            .accepted(Slot::Configuration(self.in_force))
            .map(|a| a.value.clone());
        let (in_force, now) = (self.in_force, context.now.as_millis());
        let outcome = |put: &Put| {
            if put.version <= in_force {
                let another = put.version == in_force && text.as_ref() != Some(&put.text);
                return Some(Outcome::Acknowledged {
                    is_other_text: another,
                });
            }
            (now >= put.until).then_some(Outcome::Unknown)
        };
        let ended: Vec<(u64, Outcome)> = self
            .puts
            .iter()
            .filter_map(|(ticket, put)| Some((*ticket, outcome(put)?)))
            .collect();
        for (ticket, outcome) in ended {
            self.puts.remove(&ticket);
            context.push(Effect::Answer {
                ticket: Ticket(ticket),
                outcome,
            });
        }
    }

    fn answer_gets(&mut self, context: &mut Context, agreement: &Agreement) {
        let set = agreement.membership.set();
        let outcome = |reading: &Reading| {
            let told = set
                .members
                .iter()
                .filter(|m| reading.told.contains(m))
                .count();
            if set.epoch > Epoch(0) && told >= set.majority() && self.in_force >= reading.highest {
                let whole = self.in_force(&agreement.acceptor);
                let whole = whole.map(Outcome::Configuration);
                return Some(whole.unwrap_or(Outcome::NoConfiguration));
            }
            (context.now.as_millis() >= reading.until).then_some(Outcome::Unknown)
        };
        let ended: Vec<(u64, Outcome)> = self
            .gets
            .iter()
            .filter_map(|(ticket, reading)| Some((*ticket, outcome(reading)?)))
            .collect();
        for (ticket, outcome) in ended {
            self.gets.remove(&ticket);
            context.push(Effect::Answer {
                ticket: Ticket(ticket),
                outcome,
            });
        }
    }

    /// The set changed: answers of the old set's voters no longer count for a read.
    pub fn set_changed(&mut self, context: &mut Context, agreement: &mut Agreement) {
        for put in self.puts.values() {
            self.propose(context, put, agreement);
        }
        let readings = std::mem::take(&mut self.gets);
        for ticket in readings.into_keys() {
            self.get(context, Ticket(ticket), agreement);
        }
        self.announce(context, agreement);
    }

    pub fn tick(&mut self, context: &mut Context, agreement: &mut Agreement) {
        agreement.acceptor.write_again(context);
        if context.now.as_millis() >= self.told_at + TELL_EVERY {
            self.announce(context, agreement);
        }
        self.settle_open(context, agreement);
        self.push_behind(context, agreement);
    }

    /// Has the highest accepted version settled if nobody did so in time.
    fn settle_open(&mut self, context: &mut Context, agreement: &mut Agreement) {
        let highest = agreement.acceptor.versions_above(self.in_force).next();
        let Some((version, accepted)) = highest.map(|(v, a)| (v, a.clone())) else {
            self.open = None;
            return;
        };
        let open = match self.open {
            Some(open) if (open.version, open.ballot) == (version, accepted.ballot) => open,
            _ => Open {
                version,
                ballot: accepted.ballot,
                since: context.now.as_millis(),
            },
        };
        self.open = Some(open);
        let due = open.since + SETTLE_AFTER + agreement.membership.rank() * SETTLE_RANK;
        if context.now.as_millis() >= due
            && agreement.membership.votes()
            && agreement.membership.in_company()
        {
            let until = context.now.as_millis() + SETTLE_WAIT;
            let slot = Slot::Configuration(version);
            let intent = Intent {
                slot,
                value: accepted.value,
                without: None,
                until,
            };
            agreement
                .proposer
                .begin(context, &agreement.membership, intent);
        }
    }

    /// Brings what is in force to replicas that lack it: the first of those that have it at once, the others if that
    /// does not help.
    fn push_behind(&mut self, context: &mut Context, agreement: &Agreement) {
        let slot = Slot::Configuration(self.in_force);
        let Some(accepted) = agreement
            .acceptor
            .accepted(slot)
            .filter(|_| self.in_force > ConfigurationVersion::NONE)
            .cloned()
        else {
            return;
        };
        let lacks = |(node, told): &(NodeId, &Told)| {
            told.in_force < self.in_force
                && !agreement.replicas.has_cast(*node, slot, accepted.ballot)
        };
        let behind: Vec<NodeId> = agreement
            .replicas
            .all()
            .filter(lacks)
            .map(|t| t.0)
            .collect();
        self.behind.retain(|node, _| behind.contains(node));
        let others = agreement
            .replicas
            .all()
            .filter(|t| t.1.in_force >= self.in_force)
            .map(|t| t.0);
        let first = others.min().is_none_or(|other| context.node < other);
        for node in behind {
            let fresh = Behind {
                version: self.in_force,
                since: context.now.as_millis(),
                pushed_at: None,
            };
            let state = self.behind.entry(node).or_insert(fresh);
            if state.version != self.in_force {
                *state = fresh;
            }
            let mine = first || context.now.as_millis() >= state.since + PUSH_BY_ANY;
            let due = state
                .pushed_at
                .is_none_or(|at| context.now.as_millis() >= at + PUSH_EVERY);
            if mine && due {
                state.pushed_at = Some(context.now.as_millis());
                let set = agreement.membership.set().epoch;
                context.send(
                    node,
                    Message::Accept {
                        epoch: set,
                        slot,
                        proposal: accepted.clone(),
                    },
                );
            }
        }
    }
}
