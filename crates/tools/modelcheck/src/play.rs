//! What a move does to the world: inputs to the steps, and what comes of their effects.

use crate::moves::Move;
use crate::scenes::{Broken, Scene};
use crate::variants::{joins, unasked};
use crate::world::{
    CATCH_UP, CLAIMANTS, Core, DAY, LIVES, READS, Sent, TOLERATED, WAIT, WINDOW, World,
    is_accepted, sent_as, text, version, zone,
};
use rushcourse_consensus::{
    ClaimAnswer, ClaimRequest, CommittedConfiguration, ConsensusNode, DurableState, Effect, Input,
    Outcome, Setup, WriteBatch,
};
use rushcourse_messages::{Message, NodeId, VotingSet};
use rushcourse_routing::ClaimResponse;
use rushcourse_types::{
    ConfigurationVersion, Epoch, Incarnation, SessionId, Ticket, Timestamp, WallTime,
};
use std::collections::VecDeque;
use std::time::Duration;

/// ms for which a world is looked at once faults have ended, and its steps: over two changes of the set, each with a
/// newcomer's silence.
const CLOSING: u64 = 16_000;
const CLOSING_TICK: u64 = 50;
/// Seeds at most.
const SEEDS: u32 = 3;

impl World {
    /// All that core directors have to say to each other arrives, in the order of their sessions; what one that is held
    /// said stays on the way.
    pub(crate) fn quiet(&mut self, scene: &Scene, broken: Option<Broken>) {
        while let Some((from, to)) = self.next_between_cores() {
            self.arrive(scene, broken, from, to);
        }
    }

    fn next_between_cores(&self) -> Option<(NodeId, NodeId)> {
        let takes = |n: NodeId| self.cores.get(&n).is_some_and(|c| !c.frozen);
        let cores = |l: &(NodeId, NodeId)| l.0 < CLAIMANTS && takes(l.0) && takes(l.1);
        self.links
            .iter()
            .find(|(l, queue)| cores(l) && !queue.is_empty())
            .map(|l| *l.0)
    }

    fn arrive(&mut self, scene: &Scene, broken: Option<Broken>, from: NodeId, to: NodeId) {
        match self
            .links
            .get_mut(&(from, to))
            .and_then(VecDeque::pop_front)
        {
            Some(Sent::Message(message)) => self.deliver(scene, broken, from, to, message),
            Some(Sent::Down) => self.noticed(scene, broken, to, from, None),
            Some(Sent::Up(session)) => self.noticed(scene, broken, to, from, Some(session)),
            None => {}
        }
    }

    /// Syncs the oldest batch of a disk.
    fn sync(&mut self, scene: &Scene, broken: Option<Broken>, n: NodeId) {
        let Some(core) = self.cores.get_mut(&n) else {
            return;
        };
        let Some(WriteBatch {
            id: batch,
            operations: ops,
        }) = core.writing.pop_front()
        else {
            return;
        };
        let joins = broken == Some(Broken::LearnerCounts) && joins(n, &ops);
        core.stored.apply(ops);
        if broken != Some(Broken::AnswerBeforeSync) {
            self.step(scene, broken, n, Input::BatchSynced(batch));
        }
        if joins {
            self.counts_at_once(scene, broken, n);
        }
    }

    /// Until nothing is under way.
    fn settle(&mut self, scene: &Scene, broken: Option<Broken>) {
        loop {
            self.quiet(scene, broken);
            let writes = |c: &&NodeId| !self.cores[*c].frozen && !self.cores[*c].writing.is_empty();
            let Some(n) = self.cores.keys().find(writes).copied() else {
                return;
            };
            self.sync(scene, broken, n);
        }
    }

    /// Faults end: all that can come back does, and time passes in the small steps of the programs. Then the members of
    /// the set vote, all hold the same version, and every order has its answer.
    pub fn close(&mut self, scene: &Scene, broken: Option<Broken>) {
        for n in self.cores.keys().copied().collect::<Vec<_>>() {
            let core = &self.cores[&n];
            let (gone, stopped, apart) = (core.gone, core.register.is_none(), core.apart);
            self.cores.get_mut(&n).expect("known").frozen = false;
            if apart {
                self.join(scene, broken, n);
            }
            if stopped && !gone {
                self.start(scene, broken, n);
            }
        }
        for _ in 0..CLOSING / CLOSING_TICK {
            self.now += CLOSING_TICK;
            for n in self.cores.keys().copied().collect::<Vec<_>>() {
                self.step(scene, broken, n, Input::Tick);
            }
            self.settle(scene, broken);
        }
        if self.broken.is_none() {
            self.broken = self.unsettled();
        }
    }

    fn unsettled(&self) -> Option<String> {
        let registers: Vec<(NodeId, &ConsensusNode)> = self
            .cores
            .iter()
            .filter_map(|(n, c)| Some((*n, c.register.as_ref()?)))
            .collect();
        if let Some(put) = self.open.keys().next() {
            return Some(format!("STUCK: order {put} is not answered"));
        }
        let spares = registers.iter().any(|(n, _)| !self.newest.contains(*n));
        for member in &self.newest.members {
            let register = registers.iter().find(|r| r.0 == *member).map(|r| r.1);
            match register.map(ConsensusNode::summary) {
                None if spares => {
                    return Some(format!("STUCK: {member} is gone and a spare is there"));
                }
                Some(ready) if !ready.is_voter => {
                    return Some(format!("STUCK: {member} does not vote"));
                }
                Some(ready) if ready.highest_accepted > ready.committed => {
                    return Some(format!(
                        "STUCK: {} stays open at {member}",
                        ready.highest_accepted
                    ));
                }
                _ => {}
            }
        }
        for (n, register) in registers {
            let ready = register.summary();
            if ready.committed != ConfigurationVersion(self.served)
                || ready.voting_set != self.newest
            {
                return Some(format!(
                    "STUCK: {n} has {} of {} in force, in set {} of {}",
                    ready.committed, self.served, ready.voting_set.epoch, self.newest.epoch
                ));
            }
        }
        None
    }

    pub fn play(&mut self, scene: &Scene, broken: Option<Broken>, what: Move) {
        match what {
            Move::Deliver(from, to) => self.arrive(scene, broken, from, to),
            Move::Sync(n) => self.sync(scene, broken, n),
            Move::Settle => self.settle(scene, broken),
            Move::Power(n) | Move::Kill(n) => {
                self.left.powers = self.left.powers.saturating_sub(1);
                self.end(scene, broken, n, what == Move::Kill(n));
            }
            Move::Lose(n) => {
                self.left.losses = self.left.losses.saturating_sub(1);
                self.end(scene, broken, n, false);
                self.cores.get_mut(&n).expect("known").gone = true;
            }
            Move::OldDisk(n) => {
                self.left.old_disks = self.left.old_disks.saturating_sub(1);
                self.end(scene, broken, n, false);
                let core = self.cores.get_mut(&n).expect("known");
                core.stored = core.old.clone();
                self.start(scene, broken, n);
            }
            Move::Leave(n) => {
                self.left.leaves = self.left.leaves.saturating_sub(1);
                self.step(scene, broken, n, Input::ShutDown);
            }
            Move::Part(n) => {
                self.left.parts = self.left.parts.saturating_sub(1);
                for other in self.others(n) {
                    self.cut(scene, broken, n, other);
                }
                self.cores.get_mut(&n).expect("known").apart = true;
            }
            Move::Join(n) => self.join(scene, broken, n),
            Move::Freeze(n) => {
                self.left.freezes = self.left.freezes.saturating_sub(1);
                self.cores.get_mut(&n).expect("known").frozen = true;
            }
            Move::Thaw(n) => self.cores.get_mut(&n).expect("known").frozen = false,
            Move::Wipe(n) => {
                self.left.wipes = self.left.wipes.saturating_sub(1);
                self.end(scene, broken, n, false);
                let forgets = broken != Some(Broken::VoteAfterWipe);
                let set = self.cores[&n].stored.voting_set.clone();
                let as_new = DurableState {
                    voting_set: set,
                    has_complete_state: true,
                    ..DurableState::default()
                };
                let core = self.cores.get_mut(&n).expect("known");
                core.stored = if forgets {
                    DurableState::default()
                } else {
                    as_new
                };
                self.start(scene, broken, n);
            }
            Move::Start(n) => self.start(scene, broken, n),
            Move::Cut(a, b) => {
                self.left.cuts = self.left.cuts.saturating_sub(1);
                self.cut(scene, broken, a, b);
                self.session(scene, broken, a, b, true);
            }
            Move::Begin(n) => self.begin(n),
            Move::Send(n) => {
                let claimant = self.claimants.get_mut(&n).expect("known");
                if claimant.won.take().is_some() {
                    claimant.begun = scene.claims;
                    self.runs += 1;
                }
                if self.runs > 1 {
                    self.broken = Some("TWICE: two requests of one key were sent".into());
                }
            }
            Move::Put(put) => {
                self.left.puts.retain(|v| *v != put);
                // Each operator asks another director.
                let n = NodeId(1 + (put as u32) % scene.cores);
                let (version, text) = (version(put), text(put));
                if self.cores[&n].register.is_some() {
                    self.open.insert(Ticket(put), n);
                }
                self.step(
                    scene,
                    broken,
                    n,
                    Input::PutConfiguration {
                        ticket: Ticket(put),
                        version: ConfigurationVersion(version),
                        text,
                    },
                );
            }
            Move::Get(n) => {
                self.left.reads = self.left.reads.saturating_sub(1);
                let ticket = READS + u64::from(self.left.reads);
                self.floors.insert(
                    Ticket(ticket),
                    ConfigurationVersion(self.acked.max(self.served)),
                );
                self.step(
                    scene,
                    broken,
                    n,
                    Input::GetConfiguration {
                        ticket: Ticket(ticket),
                    },
                );
            }
            Move::Wait => {
                self.left.waits = self.left.waits.saturating_sub(1);
                self.now += WAIT;
                let ticks = |c: &(&NodeId, &Core)| !c.1.frozen;
                for n in self
                    .cores
                    .iter()
                    .filter(ticks)
                    .map(|c| *c.0)
                    .collect::<Vec<_>>()
                {
                    self.step(scene, broken, n, Input::Tick);
                }
                if broken != Some(Broken::VotesWithoutEnd) {
                    for n in self.claimants.keys().copied().collect::<Vec<_>>() {
                        let claimant = self.claimants.get_mut(&n).expect("known");
                        for decision in claimant
                            .claims
                            .take_decided(Timestamp::from_millis(self.now))
                        {
                            self.decided(n, decision);
                        }
                    }
                }
            }
        }
        if scene.eager {
            self.quiet(scene, broken);
        }
        if broken == Some(Broken::AcknowledgeAtHalf) {
            let holds = |v: u64| {
                let on = self
                    .cores
                    .values()
                    .filter(|c| c.stored.records.iter().any(|r| is_accepted(r, v)));
                2 * on.count() as u32 + 1 >= scene.cores
            };
            self.acked = scene
                .puts
                .iter()
                .copied()
                .filter(|v| holds(*v))
                .fold(self.acked, u64::max);
        }
    }

    /// An input to a core director, and all that it does.
    pub(crate) fn step(&mut self, scene: &Scene, broken: Option<Broken>, n: NodeId, input: Input) {
        let now = self.now;
        let inputs = self.with_told(broken, n, input);
        let Some(register) = self.cores.get_mut(&n).and_then(|c| c.register.as_mut()) else {
            return;
        };
        let effects: Vec<Effect> = inputs
            .into_iter()
            .flat_map(|input| {
                register.step(Timestamp::from_millis(now), WallTime(now + DAY), input)
            })
            .collect();
        for effect in effects {
            match effect {
                Effect::Write(batch) => {
                    let id = batch.id;
                    self.cores
                        .get_mut(&n)
                        .expect("known")
                        .writing
                        .push_back(batch);
                    if broken == Some(Broken::AnswerBeforeSync) {
                        self.step(scene, broken, n, Input::BatchSynced(id));
                    }
                }
                Effect::Send { to, message } => match unasked(broken, &message) {
                    Some(promise) => self.step(
                        scene,
                        broken,
                        n,
                        Input::MessageReceived {
                            from: to,
                            message: promise,
                        },
                    ),
                    None => self.post(scene, n, to, message),
                },
                Effect::AnswerClaim(ClaimAnswer {
                    session,
                    epoch: set,
                    key,
                    claim,
                    verdict,
                }) => {
                    self.post(
                        scene,
                        n,
                        NodeId(session.0 as u32),
                        Message::ClaimResponse {
                            epoch: set,
                            key,
                            claim,
                            verdict,
                        },
                    );
                }
                Effect::Answer { ticket, outcome } => self.answered(ticket, &outcome),
                Effect::ConfigurationCommitted(CommittedConfiguration {
                    version,
                    text: sent,
                }) => {
                    let core = self.cores.get_mut(&n).expect("known");
                    if version < core.in_force || !sent_as(version.0, &sent) {
                        self.broken = Some(format!(
                            "CONFIG: {n} goes from {} to {version}",
                            core.in_force
                        ));
                    }
                    if *self.texts.entry(version.0).or_insert_with(|| sent.clone()) != sent {
                        self.broken =
                            Some(format!("CONFIG: two texts are in force under {version}"));
                    }
                    core.in_force = version;
                    self.served = self.served.max(version.0);
                }
                Effect::VotingSetAdopted(set) => {
                    let known = self
                        .sets
                        .entry(set.epoch.0)
                        .or_insert_with(|| set.members.clone());
                    if *known != set.members {
                        self.broken =
                            Some(format!("LOST: two voting sets of number {}", set.epoch));
                    }
                    self.adopted(scene, n, set);
                }
                Effect::Log(_) => {}
            }
        }
    }

    /// A core director counts in a set: it tells the claimants.
    fn adopted(&mut self, scene: &Scene, n: NodeId, set: VotingSet) {
        if set.epoch > self.newest.epoch {
            let joined = set
                .members
                .iter()
                .find(|m| !self.newest.contains(**m))
                .copied();
            let left = self
                .newest
                .members
                .iter()
                .find(|m| !set.contains(**m))
                .copied();
            self.replaced = joined.zip(left).into_iter().collect();
            self.newest = set.clone();
        }
        self.tell_claimants(scene, n, set);
    }

    fn tell_claimants(&mut self, scene: &Scene, n: NodeId, set: VotingSet) {
        if scene.spares > 0 && set.epoch > Epoch(0) {
            for to in self.claimants.keys().copied().collect::<Vec<_>>() {
                self.post(scene, n, to, Message::VotingSet(set.clone()));
            }
        }
    }

    fn answered(&mut self, ticket: Ticket, outcome: &Outcome) {
        self.open.remove(&ticket);
        let floor = self
            .floors
            .get(&ticket)
            .copied()
            .unwrap_or(ConfigurationVersion(0));
        match outcome {
            Outcome::Acknowledged {
                is_other_text: another,
            } => self.acknowledged(ticket.0, *another),
            Outcome::Configuration(CommittedConfiguration {
                version,
                text: read,
            }) if *version < floor || !sent_as(version.0, read) => {
                self.broken = Some(format!(
                    "LOST: read {version} where {floor} was acknowledged or in force"
                ));
            }
            Outcome::NoConfiguration if floor > ConfigurationVersion(0) => {
                self.broken = Some(format!(
                    "LOST: nothing is there where {floor} was acknowledged"
                ));
            }
            Outcome::Configuration(_) | Outcome::NoConfiguration | Outcome::Unknown => {}
        }
    }

    /// An operator's order is confirmed. Under one number it is one text, and `another` says that it is not this one.
    fn acknowledged(&mut self, put: u64, another: bool) {
        let number = version(put);
        self.acked = self.acked.max(number);
        let is_own = self.texts.get(&number).is_none_or(|t| *t == text(put));
        if self.served <= number && is_own == another {
            self.broken = Some(format!(
                "CONFIG: {put} is confirmed with another={another} where the text is another"
            ));
        }
        if another || self.served > number {
            return;
        }
        let of = *self.confirmed.entry(number).or_insert(put);
        if of != put {
            self.broken = Some(format!(
                "CONFIG: {of} and {put} are both confirmed under {number}"
            ));
        }
    }

    /// What a scene is not about may be lost on the way, as any message may.
    pub(crate) fn post(&mut self, scene: &Scene, from: NodeId, to: NodeId, message: Message) {
        let stands = self.stands(from, to);
        let changes = scene.spares > 0;
        let about = match message {
            Message::ClaimResponse { .. }
            | Message::ClaimRequest { .. }
            | Message::ClaimWithdrawal { .. } => true,
            Message::SnapshotRequest { .. } | Message::SnapshotChunk { .. } => {
                changes || scene.wipes()
            }
            Message::VotingSet(_) => changes || scene.first || scene.wipes(),
            _ => changes || !scene.puts.is_empty(),
        };
        let item = Sent::Message(message);
        let queue = self.links.entry((from, to)).or_default();
        if about && stands && queue.back() != Some(&item) {
            queue.push_back(item);
        }
    }

    /// Whether what one says to the other goes to a session that both have.
    fn stands(&self, from: NodeId, to: NodeId) -> bool {
        let Some(core) = self
            .cores
            .get(&from)
            .filter(|_| self.cores.contains_key(&to))
        else {
            return true;
        };
        let session = self.sessions.get(&(from.min(to), from.max(to)));
        session.is_some() && core.sessions.get(&to) == session
    }

    fn deliver(
        &mut self,
        scene: &Scene,
        broken: Option<Broken>,
        from: NodeId,
        to: NodeId,
        message: Message,
    ) {
        let (from, message) = self.altered(scene, broken, from, to, message);
        match message {
            Message::ClaimResponse {
                epoch,
                key,
                claim,
                verdict,
            } => {
                let now = if broken == Some(Broken::VotesWithoutEnd) {
                    0
                } else {
                    self.now
                };
                let Some(claimant) = self.claimants.get_mut(&to) else {
                    return;
                };
                let response = ClaimResponse {
                    epoch,
                    key,
                    claim,
                    verdict,
                };
                let now = Timestamp::from_millis(now);
                if let Some(decision) = claimant.claims.record_response(now, from, response) {
                    self.decided(to, decision);
                }
            }
            Message::ClaimRequest {
                epoch: set,
                key,
                claim,
            } => {
                let session = SessionId(u64::from(from.0));
                self.step(
                    scene,
                    broken,
                    to,
                    Input::Claim(ClaimRequest {
                        session,
                        epoch: set,
                        key,
                        claim,
                    }),
                );
            }
            Message::ClaimWithdrawal { key, claim } => {
                self.step(scene, broken, to, Input::WithdrawClaim { key, claim })
            }
            Message::VotingSet(set) if to >= CLAIMANTS => {
                if broken != Some(Broken::EpochUnchecked) || self.claimants[&to].claims.is_idle() {
                    self.renewed(from, to, set);
                }
            }
            other => self.step(
                scene,
                broken,
                to,
                Input::MessageReceived {
                    from,
                    message: other,
                },
            ),
        }
    }

    pub(crate) fn start(&mut self, scene: &Scene, broken: Option<Broken>, n: NodeId) {
        let seeds: Vec<NodeId> = (1..=scene.cores.min(SEEDS)).map(NodeId).collect();
        let core = self.cores.get_mut(&n).expect("known");
        let first = std::mem::take(&mut core.first);
        core.in_force = ConfigurationVersion(0);
        core.incarnation.0 += 1;
        let setup = Setup {
            node: n,
            zone: zone(n),
            incarnation: Incarnation(u64::from(n.0) * LIVES + core.incarnation.0),
            seeds,
            is_first_start: first,
            tolerated_losses: TOLERATED,
            catch_up: Duration::from_millis(CATCH_UP),
            key_window: Duration::from_millis(WINDOW),
        };
        core.register = Some(ConsensusNode::new(setup, core.stored.clone()));
        self.step(scene, broken, n, Input::Tick);
        let set = self.cores[&n].stored.voting_set.clone();
        self.tell_claimants(scene, n, set);
        for other in self.others(n) {
            self.session(scene, broken, n, other, true);
        }
    }

    fn join(&mut self, scene: &Scene, broken: Option<Broken>, n: NodeId) {
        self.cores.get_mut(&n).expect("known").apart = false;
        if self.cores[&n].register.is_some() {
            for other in self.others(n) {
                self.session(scene, broken, n, other, true);
            }
        }
    }

    pub(crate) fn end(&mut self, scene: &Scene, broken: Option<Broken>, n: NodeId, written: bool) {
        for other in self.others(n) {
            self.session(scene, broken, n, other, false);
        }
        // What claimants have not been told yet may lie in their own buffers, and still arrives.
        self.links
            .iter_mut()
            .filter(|l| l.0.1 == n)
            .for_each(|l| l.1.clear());
        let core = self.cores.get_mut(&n).expect("known");
        core.register = None;
        core.frozen = false;
        core.sessions.clear();
        self.told.retain(|(_, to), _| *to != n);
        self.open.retain(|_, at| *at != n);
        let core = self.cores.get_mut(&n).expect("known");
        for batch in std::mem::take(&mut core.writing) {
            if written {
                core.stored.apply(batch.operations);
            }
        }
    }

    /// Core directors that this one has or may have sessions with.
    fn others(&self, n: NodeId) -> Vec<NodeId> {
        let reached = |(m, c): &(&NodeId, &Core)| **m != n && c.register.is_some() && !c.apart;
        let all = self.cores.iter().filter(reached).map(|c| *c.0);
        all.filter(|_| !self.cores[&n].apart).collect()
    }

    /// What is on the way is lost, and the session with it.
    fn cut(&mut self, scene: &Scene, broken: Option<Broken>, a: NodeId, b: NodeId) {
        [(a, b), (b, a)]
            .into_iter()
            .for_each(|l| drop(self.links.remove(&l)));
        self.session(scene, broken, a, b, false);
    }

    /// A session comes to stand, or breaks at both ends: at once, or as each end reads it.
    fn session(
        &mut self,
        scene: &Scene,
        broken: Option<Broken>,
        a: NodeId,
        b: NodeId,
        stands: bool,
    ) {
        let pair = (a.min(b), a.max(b));
        let session = stands.then_some(self.session.next());
        match session {
            Some(session) => {
                self.session = session;
                self.sessions.insert(pair, session);
            }
            None => drop(self.sessions.remove(&pair)),
        }
        if !stands && !scene.late {
            [(a, b), (b, a)]
                .into_iter()
                .for_each(|l| drop(self.links.remove(&l)));
        }
        for (at, peer) in [(a, b), (b, a)] {
            if scene.late {
                let sent = session.map_or(Sent::Down, Sent::Up);
                self.links.entry((peer, at)).or_default().push_back(sent);
            } else {
                self.noticed(scene, broken, at, peer, session);
            }
        }
    }

    /// One end of a session hears that it stands, or broke.
    fn noticed(
        &mut self,
        scene: &Scene,
        broken: Option<Broken>,
        at: NodeId,
        peer: NodeId,
        session: Option<SessionId>,
    ) {
        let Some(core) = self.cores.get_mut(&at) else {
            return;
        };
        match session {
            Some(session) => drop(core.sessions.insert(peer, session)),
            None => drop(core.sessions.remove(&peer)),
        }
        self.told.remove(&(peer, at));
        let up = Input::PeerConnected {
            peer,
            zone: zone(peer),
        };
        let input = if session.is_some() {
            up
        } else {
            Input::PeerDisconnected(peer)
        };
        self.step(scene, broken, at, input);
    }
}
