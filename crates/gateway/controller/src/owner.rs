//! The owner of all state of a core director: it works through one queue and carries out what the pure parts say.

use crate::calls;
use crate::links::{Change, Links};
use crate::pages;
use crate::state_file::{newest_version, state_file};
use crate::work::{Command, Reply, Work};
use error_stack::{Report, ResultExt};
use rushcourse_cluster::{self as cluster, Cluster, ContactProbes, QuorumContact, Topology};
use rushcourse_config::NodeSettings;
use rushcourse_consensus::{
    self as register, BatchId, ClaimAnswer, ClaimRequest, CommittedConfiguration, ConsensusNode,
    Outcome, Setup, WriteBatch, WriteOperation,
};
use rushcourse_messages::{HostState, Message, NodeId, Role};
use rushcourse_storage::{DiskHealth, Store, WriteOutcome};
use rushcourse_transport::startup::{
    listen, listen_for_sessions, local_handshake, reload_settings, required_address,
    run_on_this_thread, seed_nodes,
};
use rushcourse_transport::{
    Clock, Dialer, SessionEvent, SessionFactory, StartError, accept_sessions, logging,
};
use rushcourse_types::{ConfigurationVersion, Epoch, RequestToken, SessionId, Ticket, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

/// ms between ticks: what waits is looked at this often.
const TICK: u64 = 50;
/// Ticks between two looks at who is to be dialled.
const DIAL_TICKS: u64 = 3;
/// Share of `grace_period_s` for which a process that is told to end waits for a spare to take its place.
const LEAVE_SHARE: f64 = 0.5;
/// Work that is taken at once.
const TURN_MOST: usize = 128;

/// Runs a core director until it is told to end.
///
/// # Errors
/// Settings that name no address to listen at or no folder, an address that is taken, a state file that can't be used.
pub fn serve(path: &Path, boot: NodeSettings) -> Result<(), Report<StartError>> {
    logging::init(&boot.log_level, &boot.node.name);
    let path = path.to_path_buf();
    run_on_this_thread(async move {
        let control = required_address(
            boot.listen_addresses.control_plane,
            "listen_addresses.control_plane",
        )?;
        let control = listen(control).await?;
        let internal = listen_for_sessions(&boot).await?;
        let owner = Owner::start(&boot)?;
        owner.run(path, boot, control, internal).await;
        Ok(())
    })
}

/// What waits for an answer of a majority.
enum Asking {
    /// Whether what is held here is current, after a stall.
    Proof { asked_at: Timestamp },
    /// The answer to a host that leaves.
    Heard(oneshot::Sender<Reply>),
    /// An operator's call, by its ticket: it need not wait for a majority that is not there.
    Order(u64),
}

struct Owner {
    times: Clock,
    name: String,
    work: (mpsc::UnboundedSender<Work>, mpsc::UnboundedReceiver<Work>),
    sessions: (
        mpsc::UnboundedSender<SessionEvent>,
        mpsc::UnboundedReceiver<SessionEvent>,
    ),
    disk: std::sync::mpsc::Sender<WriteBatch>,
    health: Arc<DiskHealth>,
    /// The state file.
    file: PathBuf,
    register: ConsensusNode,
    party: Cluster,
    links: Links,
    tickets: BTreeMap<Ticket, oneshot::Sender<Reply>>,
    next_ticket: Ticket,
    contact: QuorumContact,
    /// Sessions of frontend directors that were not told yet which configuration is in force.
    untold: BTreeSet<SessionId>,
    probes: ContactProbes,
    /// What waits for the end of a round.
    asking: BTreeMap<RequestToken, Asking>,
    /// What the cluster was told of its contact.
    company: bool,
    /// ms for which a process that is told to end waits for a spare to take its place.
    leave_wait: u64,
    /// When it ends in any case, once it was told to.
    leaves_by: Option<u64>,
    /// All of the system starts for the first time: no voting set can be known yet.
    first_start: bool,
}

impl Owner {
    fn start(boot: &NodeSettings) -> Result<Owner, Report<StartError>> {
        let times = Clock::start();
        let handshake = local_handshake(boot, Role::Controller);
        let folder = boot
            .data_directory
            .clone()
            .ok_or_else(|| Report::new(StartError::Disk).attach("data_directory is missing"))?;
        let file = state_file(Path::new(&folder))?;
        let (store, stored) = Store::open(&file).change_context(StartError::Disk)?;
        log::info!(
            "event=start set={} remembers={} configuration={} claims={}",
            stored.voting_set.epoch,
            stored.has_complete_state,
            newest_version(&stored),
            stored.claims.len()
        );
        let work = mpsc::unbounded_channel();
        let (disk, batches) = std::sync::mpsc::channel();
        let tell: mpsc::UnboundedSender<Work> = work.0.clone();
        let health = Arc::new(DiskHealth::default());
        let beside = health.clone();
        let thread = std::thread::Builder::new()
            .name("storage".into())
            .stack_size(512 << 10);
        let spawned = thread.spawn(move || {
            rushcourse_storage::run_writer(store, &batches, &beside, |done| {
                let _ = tell.send(Work::Disk(done));
            });
        });
        spawned.change_context(StartError::Disk)?;
        let seeds: Vec<NodeId> = seed_nodes(boot).collect();
        let setup = Setup {
            node: handshake.node,
            zone: boot.node.zone.as_str().into(),
            incarnation: handshake.incarnation,
            seeds: seeds.clone(),
            is_first_start: boot.is_first_start && stored.voting_set.epoch == Epoch(0),
            tolerated_losses: boot.tolerated_losses,
            catch_up: boot.bounds.catch_up,
            key_window: boot.bounds.key_window,
        };
        let mut stored = stored;
        let hosts = std::mem::take(&mut stored.hosts);
        let register = ConsensusNode::new(setup, stored);
        let party = Cluster::new(Topology {
            zone: boot.node.zone.as_str().into(),
            zones: boot.zones.iter().map(|z| z.as_str().into()).collect(),
            heartbeat_interval: boot.heartbeat_interval,
            drain_timeout: boot.bounds.drain,
        });
        let sessions = mpsc::unbounded_channel();
        let factory = SessionFactory::new(handshake, sessions.0.clone());
        factory
            .set_keys(boot.peers.keys.as_ref())
            .change_context(StartError::Keys)?;
        let mut links = Links::new(Dialer::new(factory, boot.peers.ports.first));
        links.know(seeds);
        let tickets = BTreeMap::new();
        let name = boot.node.name.clone();
        let mut owner = Owner {
            times,
            name,
            work,
            sessions,
            disk,
            health,
            file,
            register,
            party,
            links,
            tickets,
            next_ticket: Ticket(0),
            contact: QuorumContact::default(),
            untold: BTreeSet::new(),
            probes: ContactProbes::default(),
            asking: BTreeMap::new(),
            company: false,
            leave_wait: (boot.bounds.grace_period.as_secs_f64() * 1000.0 * LEAVE_SHARE) as u64,
            leaves_by: None,
            first_start: boot.is_first_start,
        };
        if !hosts.is_empty() {
            owner.party(cluster::Input::HostsRestored(hosts));
        }
        Ok(owner)
    }

    async fn run(
        mut self,
        path: std::path::PathBuf,
        boot: NodeSettings,
        control: TcpListener,
        internal: TcpListener,
    ) {
        let most = boot.limits.file_descriptors.saturating_sub(264).max(16) / 2;
        tokio::task::spawn_local(calls::take(control, most, self.work.0.clone()));
        tokio::task::spawn_local(accept_sessions(
            internal,
            most,
            self.links.factory().clone(),
        ));
        tokio::task::spawn_local(hang_up(self.work.0.clone()));
        let Ok(mut term) =
            tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        else {
            return;
        };
        let mut tick = tokio::time::interval(Duration::from_millis(TICK));
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let (mut work, mut events, mut turn) = (Vec::new(), Vec::new(), 0u64);
        loop {
            let mut due = false;
            tokio::select! {
                biased;
                _ = term.recv() => self.leave(),
                _ = self.sessions.1.recv_many(&mut events, TURN_MOST) => {}
                _ = self.work.1.recv_many(&mut work, TURN_MOST) => {}
                _ = tick.tick() => due = true,
            }
            if self.contact.record_turn(self.times.now()) {
                log::info!("event=stalled");
                self.party(cluster::Input::Stalled);
                self.ask_proof();
            }
            if due {
                if self.may_end() {
                    break;
                }
                turn += 1;
                if turn % DIAL_TICKS == 0 {
                    self.links.dial_missing(turn / DIAL_TICKS);
                }
                self.tick();
            }
            for event in events.drain(..) {
                self.session(event);
            }
            for item in work.drain(..) {
                match item {
                    Work::Command(command) => self.command(command),
                    Work::Disk(done) => self.disk(done),
                    Work::Reread => self.reread(&path),
                }
            }
        }
        log::info!("event=end why=told");
    }

    /// The process is told to end: a spare may take its place among the voters first.
    fn leave(&mut self) {
        if self.leaves_by.is_none() {
            self.leaves_by = Some(self.times.now().as_millis() + self.leave_wait);
            self.register(register::Input::ShutDown);
        }
    }

    fn may_end(&self) -> bool {
        self.leaves_by
            .is_some_and(|by| self.register.may_shut_down() || self.times.now().as_millis() >= by)
    }

    fn reread(&mut self, path: &Path) {
        if let Some(settings) = reload_settings(path, self.links.factory()) {
            self.links.know(seed_nodes(&settings));
        }
    }

    fn tick(&mut self) {
        self.register(register::Input::Tick);
        self.end_rounds();
        self.judge_contact();
        self.party(cluster::Input::Tick);
        if let Some(line) = self.links.factory().take_rejections_line(self.times.now()) {
            log::warn!("{line}");
        }
    }

    /// Looks whether this director is with a majority, and tells the cluster when that changes.
    fn judge_contact(&mut self) {
        let company = self.register.has_quorum_contact();
        self.contact.record_quorum_sessions(company);
        if company != self.company {
            self.company = company;
            log::info!("event=company with_majority={company}");
            self.party(cluster::Input::QuorumContactChanged(company));
            if company && self.contact.needs_confirmation() {
                // The question of the stall may have gone to sessions that were dead.
                self.ask_proof();
            }
        }
        if self.contact.is_current() {
            self.tell_in_force();
        }
    }

    /// Whether calls may be acknowledged. What a director without recent contact to a majority acknowledges, the others
    /// may not hear of. Before the first voting set there is nothing to be out of contact with.
    fn may_acknowledge(&mut self) -> bool {
        self.judge_contact();
        self.contact.is_current()
            || self.first_start && self.register.voting_set().epoch == Epoch(0)
    }

    /// The configuration in force, to frontend directors that came while it may have been an old one.
    fn tell_in_force(&mut self) {
        let untold = std::mem::take(&mut self.untold);
        let Some(CommittedConfiguration { version, .. }) = self
            .register
            .committed_configuration()
            .filter(|_| !untold.is_empty())
        else {
            return;
        };
        for session in untold {
            self.links
                .to(session, &Message::CommittedVersion { version });
        }
    }

    /// Asks all core directors, behind what was sent to them before.
    fn ask_round(&mut self, asking: Asking) {
        let token = self.probes.start(self.times.now());
        self.asking.insert(token, asking);
        let set = self.register.voting_set().epoch;
        self.links
            .to_peers(&Message::ReadRequest { token, epoch: set });
    }

    /// Ends an operator's call early where no majority answers. One that waits for the first voting set has its whole time.
    fn bound_order(&mut self, ticket: Ticket) {
        if self.register.voting_set().epoch > Epoch(0) {
            self.ask_round(Asking::Order(ticket.0));
        }
    }

    fn ask_proof(&mut self) {
        let asked_at = self.times.now();
        self.ask_round(Asking::Proof { asked_at });
    }

    fn end_rounds(&mut self) {
        let me = self.links.factory().local_handshake().node;
        let now = self.times.now();
        for probe in self.probes.finish(now, me, self.register.voting_set()) {
            let reached = probe.is_confirmed;
            match self.asking.remove(&probe.token) {
                Some(Asking::Proof { asked_at }) if reached => self.contact.confirm(asked_at),
                Some(Asking::Proof { .. }) if self.contact.needs_confirmation() => self.ask_proof(),
                Some(Asking::Heard(reply)) => {
                    let _ = reply.send(if reached {
                        Reply::Done
                    } else {
                        Reply::NoContact
                    });
                }
                Some(Asking::Order(ticket)) if !reached => {
                    self.answer(Ticket(ticket), Outcome::Unknown)
                }
                Some(Asking::Proof { .. } | Asking::Order(_)) | None => {}
            }
        }
    }

    fn register(&mut self, input: register::Input) {
        let effects = self
            .register
            .step(self.times.now(), self.times.wall_time(), input);
        for effect in effects {
            match effect {
                register::Effect::Write(batch) => {
                    if self.disk.send(batch).is_err() {
                        log::error!("event=disk_thread_gone");
                    }
                }
                register::Effect::Send { to, message } => self.links.to_peer(to, &message),
                register::Effect::AnswerClaim(ClaimAnswer {
                    session,
                    epoch: set,
                    key,
                    claim,
                    verdict,
                }) => {
                    self.links.to(
                        session,
                        &Message::ClaimResponse {
                            epoch: set,
                            key,
                            claim,
                            verdict,
                        },
                    );
                }
                register::Effect::Answer { ticket, outcome } => self.answer(ticket, outcome),
                register::Effect::ConfigurationCommitted(CommittedConfiguration {
                    version,
                    text,
                }) => {
                    self.untold.clear();
                    self.tell_version(version, text);
                }
                register::Effect::VotingSetAdopted(set) => {
                    self.links.to_fronts(&Message::VotingSet(set))
                }
                register::Effect::Log(text) => log::info!("{text}"),
            }
        }
    }

    fn party(&mut self, input: cluster::Input) {
        let effects = self.party.step(self.times.now(), input);
        for effect in effects {
            match effect {
                cluster::Effect::SendToPeer { peer, message } => self.links.to_peer(peer, &message),
                cluster::Effect::BroadcastToPeers(message) => self.links.to_peers(&message),
                cluster::Effect::SendToGateway { session, message } => {
                    self.links.to(session, &message)
                }
                cluster::Effect::BroadcastToGateways(message) => self.links.to_fronts(&message),
                cluster::Effect::PersistHost(record) => {
                    let _ = self.disk.send(WriteBatch {
                        id: BatchId::NONE,
                        operations: vec![WriteOperation::StoreHost(record)],
                    });
                }
                cluster::Effect::Log(text) => log::info!("{text}"),
            }
        }
    }

    /// Brings a version in force to the gateways that take their tables from here, and names it to the others.
    fn tell_version(&self, version: ConfigurationVersion, text: Arc<[u8]>) {
        let in_force = Message::Configuration { version, text };
        let named = Message::CommittedVersion { version };
        for session in self.links.fronts() {
            let message = if self.party.is_primary_for(session) {
                &in_force
            } else {
                &named
            };
            self.links.to(session, message);
        }
    }

    /// A gateway asks for the text in force.
    fn asked_for_version(&self, session: SessionId, above: ConfigurationVersion) {
        if let Some(CommittedConfiguration { version, text }) = self
            .register
            .committed_configuration()
            .filter(|committed| committed.version > above)
        {
            self.links
                .to(session, &Message::Configuration { version, text });
        }
    }

    fn answer(&mut self, ticket: Ticket, outcome: Outcome) {
        let Some(reply) = self.tickets.remove(&ticket) else {
            return;
        };
        let _ = reply.send(match outcome {
            Outcome::Acknowledged {
                is_other_text: another,
            } => Reply::Acknowledged { another },
            Outcome::Configuration(CommittedConfiguration { text, .. }) => Reply::Text(text),
            Outcome::NoConfiguration => Reply::Nothing,
            Outcome::Unknown => Reply::Unclear,
        });
    }

    /// Answers a host whose call was taken. It is taken in any case: frontend directors that only reach this one go by
    /// it. It is acknowledged only where the others hear of it too, so that the host goes on to one of them. `leaves`: it
    /// drains or signs off, so it ends on the strength of the answer; a majority has to have heard that.
    fn answer_host(&mut self, leaves: bool, reply: oneshot::Sender<Reply>) {
        if !self.may_acknowledge() {
            let _ = reply.send(Reply::NoContact);
        } else if leaves && self.register.voting_set().epoch > Epoch(0) {
            self.ask_round(Asking::Heard(reply));
        } else {
            let _ = reply.send(Reply::Done);
        }
    }

    fn ticket(&mut self, reply: oneshot::Sender<Reply>) -> u64 {
        self.next_ticket = self.next_ticket.next();
        self.tickets.insert(self.next_ticket, reply);
        self.next_ticket.0
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Register { news, reply } => {
                let leaves = news.state != HostState::Ready;
                self.party(cluster::Input::HostRequest(news));
                self.answer_host(leaves, reply);
            }
            Command::SignOff { id, reply } => {
                self.party(cluster::Input::Deregister(id));
                self.answer_host(true, reply);
            }
            Command::Put { reply, .. } | Command::Get { reply } if !self.may_acknowledge() => {
                let _ = reply.send(Reply::NoContact);
            }
            Command::Put {
                version,
                text,
                reply,
            } => {
                let ticket = self.ticket(reply);
                self.register(register::Input::PutConfiguration {
                    ticket: Ticket(ticket),
                    version,
                    text,
                });
                self.bound_order(Ticket(ticket));
            }
            Command::Get { reply } => {
                let ticket = self.ticket(reply);
                self.register(register::Input::GetConfiguration {
                    ticket: Ticket(ticket),
                });
                self.bound_order(Ticket(ticket));
            }
            Command::Status { reply } => {
                let disk = (
                    self.health.statistics(),
                    std::fs::metadata(&self.file).map_or(0, |m| m.len()),
                );
                let page = pages::status(
                    &self.name,
                    self.times.now(),
                    &self.register,
                    &self.party,
                    &self.links,
                    disk,
                );
                let _ = reply.send(Reply::Text(page.into_bytes().into()));
            }
            Command::Key { key, reply } => {
                let page = pages::key(self.times.wall_time().0, self.register.claim_holder(key));
                let _ = reply.send(Reply::Text(page.into_bytes().into()));
            }
        }
    }

    fn disk(&mut self, done: Vec<WriteOutcome>) {
        for done in done {
            self.register(match done {
                WriteOutcome::Synced(batch) => register::Input::BatchSynced(batch),
                WriteOutcome::Refused(batch) => register::Input::BatchRefused(batch),
            });
        }
    }

    fn session(&mut self, event: SessionEvent) {
        match event {
            SessionEvent::Opened(session) => {
                let (id, peer) = (session.id, session.peer.clone());
                log::info!("event=session_up peer={} role={:?}", peer.name, peer.role);
                for change in self.links.up(session) {
                    self.change(change);
                }
                self.links.to(id, &Message::Controllers(self.links.known()));
                // All hear of a core director that nobody knew.
                if peer.role == Role::Controller {
                    let cores = Message::Controllers(self.links.known());
                    self.links.to_peers(&cores);
                    self.links.to_fronts(&cores);
                }
            }
            SessionEvent::Closed(id) => {
                if let Some(session) = self.links.session(id) {
                    log::info!("event=session_down peer={}", session.peer.name);
                }
                if let Some(change) = self.links.down(id) {
                    self.change(change);
                }
            }
            SessionEvent::Received {
                session: id,
                message,
            } => self.said(id, message),
        }
    }

    fn change(&mut self, change: Change) {
        match change {
            Change::PeerUp(node) => {
                let zone = self.links.zone(node).unwrap_or_default();
                self.register(register::Input::PeerConnected { peer: node, zone });
                self.party(cluster::Input::PeerSessionOpened(node));
            }
            Change::PeerDown(node) => {
                self.register(register::Input::PeerDisconnected(node));
                self.party(cluster::Input::PeerSessionClosed(node));
            }
            Change::FrontUp(id) => {
                let Some(session) = self.links.session(id) else {
                    return;
                };
                let (node, zone) = (session.peer.node, session.peer.zone.as_str().into());
                self.links
                    .to(id, &Message::VotingSet(self.register.voting_set().clone()));
                self.untold.insert(id);
                self.judge_contact();
                self.party(cluster::Input::GatewaySessionOpened {
                    session: id,
                    node,
                    zone,
                });
            }
            Change::FrontDown(session) => {
                self.untold.remove(&session);
                self.party(cluster::Input::GatewaySessionClosed(session));
            }
        }
    }

    fn said(&mut self, id: SessionId, message: Message) {
        let Some(session) = self.links.session(id) else {
            return;
        };
        let (node, role) = (session.peer.node, session.peer.role);
        match (role, message) {
            (Role::Controller, Message::Controllers(nodes)) => {
                self.links.know(nodes);
            }
            (Role::Controller, Message::ReadResponse { token, .. })
                if self.probes.record_response(node, token) =>
            {
                self.end_rounds();
            }
            (Role::Controller, message) => match message {
                Message::GatewaySessions(_)
                | Message::HostUpdates(_)
                | Message::Heartbeats(_)
                | Message::HostDigests(_)
                | Message::HostRangeRequest(_)
                | Message::ControllerStatus { .. } => self.party(cluster::Input::PeerMessage {
                    peer: node,
                    message,
                }),
                agreed => self.register(register::Input::MessageReceived {
                    from: node,
                    message: agreed,
                }),
            },
            (
                Role::Gateway,
                Message::ClaimRequest {
                    epoch: set,
                    key,
                    claim,
                },
            ) => {
                self.register(register::Input::Claim(ClaimRequest {
                    session: id,
                    epoch: set,
                    key,
                    claim,
                }));
            }
            (Role::Gateway, Message::ConfigurationRequest { newer_than: above }) => {
                self.asked_for_version(id, above)
            }
            (Role::Gateway, Message::ClaimWithdrawal { key, claim }) => {
                self.register(register::Input::WithdrawClaim { key, claim });
            }
            (Role::Gateway, message) => self.party(cluster::Input::GatewayMessage {
                session: id,
                message,
            }),
        }
    }
}

async fn hang_up(work: mpsc::UnboundedSender<Work>) {
    let Ok(mut signal) = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::hangup())
    else {
        return;
    };
    while signal.recv().await.is_some() {
        let _ = work.send(Work::Reread);
    }
}
