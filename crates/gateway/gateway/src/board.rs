//! All state of a frontend director, and what the core directors say to it. Its borrow is never held across a wait.

use crate::links::Links;
use crate::pools::Pools;
use rushcourse_config::{Configuration, NodeSettings};
use rushcourse_messages::{ClaimId, Message, NodeId, OperationState, Role, VotingSet};
use rushcourse_routing::{
    ClaimDecision, ClaimOutcome, ClaimRequest, ClaimResponse, ClaimWithdrawal, Claims,
    ConfigurationFetch, ControllerSelection, EndpointTables, Operations, PrimaryChange,
    RetryBudget, ServiceUsage,
};
use rushcourse_transport::{Clock, Counters, SessionEvent};
use rushcourse_types::{
    ConfigurationVersion, Incarnation, KeyDigest, RequestToken, SessionId, Timestamp,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Part of the memory that answers of operations may take (ours).
const ANSWERS_PART: f64 = 0.15;
/// ms between two tellings of what came for each service.
const USAGE_EVERY: u64 = 1_000;

pub type Shared = Rc<Board>;

pub struct Board {
    pub times: Clock,
    pub state: RefCell<State>,
    /// Told to end: no new requests are asked for.
    pub ending: Cell<bool>,
    pub busy: Cell<usize>,
    lot: Cell<u64>,
}

pub struct State {
    pub tables: EndpointTables,
    pub retry_budget: RetryBudget,
    pub claims: Claims,
    pub operations: Operations,
    pub controllers: ControllerSelection,
    pub links: Links,
    pub pools: Pools,
    pub configuration: Option<Arc<Configuration>>,
    configuration_fetch: ConfigurationFetch,
    pub claimed: BTreeMap<KeyDigest, oneshot::Sender<ClaimOutcome>>,
    pub asked: BTreeMap<RequestToken, oneshot::Sender<OperationState>>,
    next_token: RequestToken,
    usage_at: u64,
    pub tally: Counters,
}

impl Board {
    pub fn new(boot: &NodeSettings, times: Clock, incarnation: Incarnation, links: Links) -> Board {
        let me = u32::from(boot.node.ip_address);
        let b = &boot.bounds;
        let memory = (boot.limits.memory_mb * ANSWERS_PART * 1_000_000.0) as usize;
        let state = State {
            tables: EndpointTables::new(&boot.node.zone),
            retry_budget: RetryBudget::new(
                b.retry_budget_ratio,
                b.retry_budget_slack,
                b.budget_window,
            ),
            claims: Claims::new(NodeId(me), incarnation),
            operations: Operations::new(b.key_window, memory),
            controllers: ControllerSelection::new(NodeId(me), &boot.node.zone),
            links,
            pools: Pools::default(),
            configuration: None,
            configuration_fetch: ConfigurationFetch::default(),
            claimed: BTreeMap::new(),
            asked: BTreeMap::new(),
            next_token: RequestToken(0),
            usage_at: 0,
            tally: Counters::new("own_answers"),
        };
        Board {
            times,
            state: RefCell::new(state),
            ending: Cell::new(false),
            busy: Cell::new(0),
            lot: Cell::new(incarnation.0 | 1),
        }
    }

    /// A number by lot from 0 up to 1: xorshift.
    pub fn chance(&self) -> f64 {
        let mut x = self.lot.get();
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.lot.set(x);
        (x >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn count(&self, what: &'static str) {
        self.state.borrow_mut().tally.count(what);
    }

    /// Now, by the steady clock.
    pub fn now(&self) -> Timestamp {
        self.times.now()
    }

    pub fn session(&self, event: SessionEvent) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        match event {
            SessionEvent::Opened(session) => {
                let zone = session.peer.zone.clone();
                log::info!(
                    "event=session_up peer={} role={:?}",
                    session.peer.name,
                    session.peer.role
                );
                let (node, role) = state.links.up(session);
                if role == Role::Controller {
                    state.links.know([node]);
                    state.controllers.controller_disconnected(node);
                    state.controllers.controller_connected(node, &zone);
                }
            }
            SessionEvent::Closed(id) => {
                if let Some((node, Role::Controller)) = state.links.down(id) {
                    log::info!("event=session_down node={}", std::net::Ipv4Addr::from(node));
                    state.controllers.controller_disconnected(node);
                    let over = state.claims.voter_disconnected(now, node);
                    state.decided(over);
                    state.choose_home();
                }
            }
            SessionEvent::Received {
                session: id,
                message,
            } => {
                let Some((node, role)) = state.links.peer(id).map(|p| (p.node, p.role)) else {
                    return;
                };
                match role {
                    Role::Controller => state.core_said(now, node, message),
                    Role::Gateway => state.front_said(now, id, message),
                }
            }
        }
    }

    pub fn tick(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if let Some(line) = state.tally.take_log_line(now) {
            log::info!("{line}");
        }
        let over = state.claims.take_decided(now);
        state.decided(over);
        state.ask_for_version(now);
        state.operations.expire(now);
        let now = now.as_millis();
        state.links.dial_missing(now);
        state.pools.sweep(now);
        if now >= state.usage_at + USAGE_EVERY {
            let span = (now - state.usage_at).min(10 * USAGE_EVERY) as u32;
            state.usage_at = now;
            let usage = state.tables.take_usage();
            if let Some(home) = state.controllers.primary() {
                for ServiceUsage {
                    service,
                    attempts,
                    failures,
                } in usage
                {
                    state.links.to(
                        home,
                        &Message::LoadReport {
                            service,
                            attempts,
                            failures,
                            interval_ms: span,
                        },
                    );
                }
            }
        }
    }

    /// Whether it may be given clients: it knows a configuration, hosts of it, and voters for keys.
    pub fn ready(&self) -> bool {
        let state = self.state.borrow();
        let Some(configuration) = &state.configuration else {
            return false;
        };
        let named = |s: &str| {
            configuration
                .routes
                .iter()
                .any(|r| r.services.iter().any(|p| *p.service == *s))
        };
        let served = configuration
            .services
            .keys()
            .filter(|s| named(s))
            .any(|s| state.tables.has_available_host(s));
        !self.ending.get() && served && state.controllers.primary().is_some()
    }
}

impl State {
    fn core_said(&mut self, now: Timestamp, node: NodeId, message: Message) {
        let home = self.controllers.primary() == Some(node);
        match message {
            Message::Controllers(nodes) => self.links.know(nodes),
            Message::VotingSet(set) => self.voting_set(now, node, set),
            Message::ControllerStatus {
                is_synchronized: primed,
                gateways: fronts,
            } => {
                self.controllers.set_synchronized(node, primed);
                self.retry_budget.set_gateway_count(fronts);
                self.pools.members(fronts);
                self.choose_home();
            }
            Message::Configuration { version, text } => self.in_force(version, &text),
            Message::CommittedVersion { version } => {
                self.configuration_fetch.version_announced(
                    now,
                    node,
                    version,
                    ConfigurationVersion(self.version()),
                );
                self.ask_for_version(now);
            }
            Message::ClaimResponse {
                epoch,
                key,
                claim,
                verdict,
            } => {
                let response = ClaimResponse {
                    epoch,
                    key,
                    claim,
                    verdict,
                };
                if let Some(decision) = self.claims.record_response(now, node, response) {
                    self.decided(vec![decision]);
                }
            }
            Message::HostStates(news) => {
                for id in self.tables.apply_host_states(&news) {
                    self.pools.shut(&id);
                }
            }
            Message::TableReplacement {
                service,
                revision: mark,
                endpoints: lines,
            } if home => {
                self.tables.replace(&service, lines);
                self.links.to(
                    node,
                    &Message::TableApplied {
                        service,
                        revision: mark,
                    },
                );
            }
            Message::TableUpdate {
                service,
                revision: mark,
                endpoints: lines,
            } if home => {
                self.tables.update(&service, lines);
                self.links.to(
                    node,
                    &Message::TableApplied {
                        service,
                        revision: mark,
                    },
                );
            }
            _ => {}
        }
    }

    /// The version that this gateway goes by; 0: none yet.
    fn version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |c| c.version.0)
    }

    fn ask_for_version(&mut self, now: Timestamp) {
        let (above, controllers) = (self.version(), &self.controllers);
        if let Some(holder) =
            self.configuration_fetch
                .next_request(now, ConfigurationVersion(above), |n| {
                    controllers.is_connected(n)
                })
        {
            self.links.to(
                holder,
                &Message::ConfigurationRequest {
                    newer_than: ConfigurationVersion(above),
                },
            );
        }
    }

    /// A version that a majority holds. It never goes back within this incarnation.
    fn in_force(&mut self, version: ConfigurationVersion, text: &[u8]) {
        if self
            .configuration
            .as_ref()
            .is_some_and(|c| c.version >= version)
        {
            return;
        }
        match Configuration::parse(text) {
            Ok(read) => {
                log::info!(
                    "event=in_force version={version} routes={}",
                    read.routes.len()
                );
                self.retry_budget
                    .retain_services(|s| read.services.contains_key(s));
                self.pools.capacities(&read.services);
                self.configuration = Some(Arc::new(read));
            }
            Err(e) => log::error!(
                "event=configuration_unusable version={version} why={:?}",
                e.to_string()
            ),
        }
    }

    fn choose_home(&mut self) {
        let Some(PrimaryChange { selected, released }) = self.controllers.select() else {
            return;
        };
        if let Some(released) = released {
            self.links.to(released, &Message::PrimarySelected(false));
        }
        log::info!("event=home node={}", std::net::Ipv4Addr::from(selected));
        self.links.to(selected, &Message::PrimarySelected(true));
    }

    /// A core director's voting set. Claims that wait go to the voters of a newer one.
    fn voting_set(&mut self, now: Timestamp, node: NodeId, set: VotingSet) {
        let controllers = &self.controllers;
        let actions = self
            .claims
            .voting_set_reported(now, node, set, |n| controllers.is_connected(n));
        actions.requests.iter().for_each(|r| self.send_claim(r));
        actions
            .withdrawals
            .iter()
            .for_each(|w| self.send_withdrawal(w));
        self.decided(actions.decisions);
    }

    pub fn send_claim(&self, request: &ClaimRequest) {
        let message = Message::ClaimRequest {
            epoch: request.epoch,
            key: request.key,
            claim: request.claim,
        };
        request
            .voters
            .iter()
            .for_each(|v| self.links.to(*v, &message));
    }

    fn send_withdrawal(&self, withdrawal: &ClaimWithdrawal) {
        let message = Message::ClaimWithdrawal {
            key: withdrawal.key,
            claim: withdrawal.claim,
        };
        withdrawal
            .voters
            .iter()
            .for_each(|v| self.links.to(*v, &message));
    }

    fn decided(&mut self, decided: Vec<ClaimDecision>) {
        for decision in decided {
            if let Some(waiter) = self.claimed.remove(&decision.key) {
                let _ = waiter.send(decision.outcome);
            }
        }
    }

    fn front_said(&mut self, now: Timestamp, id: SessionId, message: Message) {
        match message {
            Message::OperationQuery { token, key, claim } => {
                let progress = self.operations.state_of_claim(key, claim);
                if progress == OperationState::NotFound {
                    self.withdraw_again(now, key, claim);
                }
                self.links.reply(
                    id,
                    &Message::OperationReply {
                        token,
                        state: progress,
                    },
                );
            }
            Message::OperationReply {
                token,
                state: progress,
            } => {
                if let Some(waiter) = self.asked.remove(&token) {
                    let _ = waiter.send(progress);
                }
            }
            _ => {}
        }
    }

    /// Asks the claimant of a key what became of it.
    pub fn ask(
        &mut self,
        now: Timestamp,
        key: KeyDigest,
        claim: ClaimId,
    ) -> (RequestToken, oneshot::Receiver<OperationState>) {
        self.next_token = self.next_token.next();
        let (token, (tell, told)) = (self.next_token, oneshot::channel());
        self.asked.insert(token, tell);
        self.links.ask(
            now.as_millis(),
            claim.node,
            Message::OperationQuery { token, key, claim },
        );
        (token, told)
    }

    /// Voters were found to hold a claim of which nothing is known here: it was withdrawn, or its window is over, and
    /// they have not heard so. True if it is one of this incarnation; of an earlier one it isn't known what was sent.
    pub fn withdraw_again(&mut self, now: Timestamp, key: KeyDigest, claim: ClaimId) -> bool {
        let made = self.claims.is_own(claim);
        if made {
            self.withdraw(now, key, claim);
        }
        made
    }

    /// Tells all voters that may hold a claim that nothing was sent under it.
    pub fn withdraw(&mut self, now: Timestamp, key: KeyDigest, claim: ClaimId) {
        self.operations.withdraw(key, claim);
        let withdrawal = self.claims.withdraw(now, key, claim);
        self.send_withdrawal(&withdrawal);
    }
}
