//! Fake controllers: they send the gateway a configuration, an endpoint table and a voting set, and respond to claims as
//! voters, or as the test sets. They confirm a configuration version to a gateway that asks for a lease, unless the
//! test stops that. A controller is identified by its index, from 0.

use super::SERVICE;
use super::gateway::{GATEWAY_ZONE, INTERNAL_PORT};
use super::response_stores::ResponseStores;
use super::voters::{ClaimMode, ClaimRequest, Voters, claim_request, claim_response};
use rushcourse_messages::{
    ClaimId, ClaimVerdict, EndpointWeight, Handshake, HostRecord, HostState, KeyHolder, Message,
    PROTOCOL_VERSION, Role, VotingSet,
};
use rushcourse_transport::{Session, SessionContext, SessionEvent, accept_sessions};
use rushcourse_types::{
    ConfigurationVersion, Epoch, Incarnation, KeyDigest, Millis, NodeId, OperationKeys, SessionId,
};
use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// Limit of sessions that each fake controller accepts.
const MAX_SESSIONS: usize = 8;
const FIRST_EPOCH: Epoch = Epoch(1);
/// Version of the configuration that the controllers send.
const FIRST_VERSION: ConfigurationVersion = ConfigurationVersion(1);

struct ControllerSession {
    controller: usize,
    session: Session,
}

struct ReceivedMessage {
    controller: usize,
    message: Message,
}

struct SharedState {
    nodes: Vec<NodeId>,
    configuration: Rc<[u8]>,
    endpoints: Vec<EndpointWeight>,
    voters: Voters,
    response_stores: ResponseStores,
    /// Version confirmed to a gateway that asks for a lease; `None` sends no response.
    confirmed_version: Cell<Option<ConfigurationVersion>>,
    sessions: RefCell<Vec<ControllerSession>>,
    received: RefCell<Vec<ReceivedMessage>>,
}

/// Handle to all fake controllers of a harness.
#[derive(Clone)]
pub struct Controllers(Rc<SharedState>);

impl Controllers {
    pub async fn start(
        addresses: &[Ipv4Addr],
        has_zones: bool,
        configuration: String,
        endpoints: Vec<EndpointWeight>,
    ) -> Controllers {
        let shared = Rc::new(SharedState {
            nodes: addresses.iter().copied().map(NodeId::from).collect(),
            configuration: configuration.into_bytes().into(),
            endpoints,
            voters: Voters::default(),
            response_stores: ResponseStores::default(),
            confirmed_version: Cell::new(Some(FIRST_VERSION)),
            sessions: RefCell::default(),
            received: RefCell::default(),
        });
        for (controller, address) in addresses.iter().enumerate() {
            let (event_sender, events) = unbounded_channel();
            let zone = zone(controller, has_zones);
            let handshake = handshake(controller, *address, zone);
            let context = SessionContext::new(handshake, event_sender);
            let listener = TcpListener::bind((*address, INTERNAL_PORT))
                .await
                .expect("the internal port is free");
            tokio::task::spawn_local(accept_sessions(listener, MAX_SESSIONS, context));
            tokio::task::spawn_local(run_controller(controller, events, shared.clone()));
        }
        Controllers(shared)
    }

    /// Answers claims on arrival, or leaves them pending until [`Controllers::answer_newest_claim`].
    pub fn set_auto_grant(&self, is_enabled: bool) {
        let mode = if is_enabled {
            ClaimMode::Vote
        } else {
            ClaimMode::Wait
        };
        self.0.voters.set_mode(mode);
    }

    /// Confirms the version of the configuration that the controllers have sent, or nothing.
    pub fn set_confirming(&self, is_enabled: bool) {
        let version = is_enabled.then_some(FIRST_VERSION);
        self.0.confirmed_version.set(version);
    }

    /// Confirms a version that the gateway has not received.
    pub fn confirm_newer_version(&self) {
        self.0.confirmed_version.set(Some(FIRST_VERSION.next()));
    }

    /// Answers every claim with the verdict that `holder` holds the key.
    pub fn set_claims_held_by(&self, holder: ClaimId) {
        self.0.voters.set_mode(ClaimMode::HeldBy(holder));
    }

    /// The number of complete shards that the gateway has sent. All controllers together have that many.
    pub fn stored_shards(&self) -> usize {
        self.0.response_stores.complete_count()
    }

    /// Empties the response store of a controller, as if its disk was lost. The gateway must not be running.
    pub fn lose_response_store(&self, controller: usize) {
        self.0.response_stores.lose(controller);
    }

    /// Changes the claim of all stored responses, as if another gateway had run the operations.
    pub fn set_claim_of_replicas(&self, claim: ClaimId) {
        self.0.response_stores.set_claim(claim);
    }

    /// Sends a voting set from a controller to the gateway. `members` are controller indices.
    pub fn report_voting_set(&self, controller: usize, epoch: Epoch, members: &[usize]) {
        let members = members.iter().map(|member| self.0.nodes[*member]).collect();
        let message = Message::VotingSet(voting_set(epoch, members));
        self.send(controller, &message);
    }

    /// Sends a configuration from a controller to the gateway.
    pub fn send_configuration(&self, controller: usize, version: u64, text: &str) {
        let message = Message::Configuration {
            version: ConfigurationVersion(version),
            text: text.as_bytes().into(),
        };
        self.send(controller, &message);
    }

    /// Reports a state of all hosts from a controller to the gateway.
    pub fn report_host_state(&self, controller: usize, state: HostState) {
        let hosts = self.0.endpoints.iter().map(|endpoint| HostRecord {
            state,
            ..endpoint.host.clone()
        });
        self.send(controller, &Message::HostStates(hosts.collect()));
    }

    /// Sends a controller's verdict on the newest claim that it received.
    pub fn answer_newest_claim(&self, controller: usize, verdict: ClaimVerdict) {
        let request = self
            .claim_requests(controller)
            .pop()
            .expect("the controller received a claim");
        self.send(controller, &claim_response(request, verdict));
    }

    /// Returns key and id of the newest claim that a controller received.
    pub fn newest_claim(&self, controller: usize) -> (KeyDigest, ClaimId) {
        let request = self
            .claim_requests(controller)
            .pop()
            .expect("the controller received a claim");
        (request.keys.key, request.claim)
    }

    /// Returns the epochs of all claims that a controller received, in order.
    pub fn claim_epochs(&self, controller: usize) -> Vec<Epoch> {
        let requests = self.claim_requests(controller);
        requests.iter().map(|request| request.epoch).collect()
    }

    /// Returns how many withdrawals a controller received.
    pub fn withdrawal_count(&self, controller: usize) -> usize {
        self.withdrawn_claims(controller).len()
    }

    /// Returns how many withdrawals of this claim a controller received.
    pub fn withdrawal_count_of(&self, controller: usize, claim: ClaimId) -> usize {
        let withdrawn = self.withdrawn_claims(controller);
        withdrawn.iter().filter(|other| **other == claim).count()
    }

    fn send(&self, controller: usize, message: &Message) {
        let sessions = self.0.sessions.borrow();
        let newest = sessions
            .iter()
            .rev()
            .find(|session| session.controller == controller);
        newest
            .expect("the gateway is connected to the controller")
            .session
            .send(message);
    }

    fn claim_requests(&self, controller: usize) -> Vec<ClaimRequest> {
        self.select_received(controller, claim_request)
    }

    fn withdrawn_claims(&self, controller: usize) -> Vec<ClaimId> {
        self.select_received(controller, |message| match message {
            Message::ClaimWithdrawal { claim, .. } => Some(*claim),
            _ => None,
        })
    }

    fn select_received<T>(
        &self,
        controller: usize,
        select: impl Fn(&Message) -> Option<T>,
    ) -> Vec<T> {
        let received = self.0.received.borrow();
        received
            .iter()
            .filter(|received| received.controller == controller)
            .filter_map(|received| select(&received.message))
            .collect()
    }
}

/// The zone of a controller: that of the gateway, or one of its own if controllers have zones and it is not the first.
fn zone(controller: usize, has_zones: bool) -> String {
    if has_zones && controller > 0 {
        format!("{GATEWAY_ZONE}{controller}")
    } else {
        GATEWAY_ZONE.into()
    }
}

fn handshake(controller: usize, address: Ipv4Addr, zone: String) -> Handshake {
    Handshake {
        protocol_version: PROTOCOL_VERSION,
        role: Role::Controller,
        node: NodeId::from(address),
        incarnation: Incarnation(1),
        name: format!("core-{controller}"),
        zone,
    }
}

#[allow(
    clippy::needless_update,
    reason = "the test does not depend on further fields of the type"
)]
fn voting_set(epoch: Epoch, members: Vec<NodeId>) -> VotingSet {
    VotingSet {
        epoch,
        members,
        ..Default::default()
    }
}

/// Handles the session events of one controller.
async fn run_controller(
    controller: usize,
    mut events: UnboundedReceiver<SessionEvent>,
    shared: Rc<SharedState>,
) {
    while let Some(event) = events.recv().await {
        match event {
            SessionEvent::Opened(session) => {
                for message in initial_messages(&shared, controller) {
                    session.send(&message);
                }
                shared.sessions.borrow_mut().push(ControllerSession {
                    controller,
                    session,
                });
            }
            SessionEvent::Received { session, message } => {
                message_received(&shared, controller, session, message);
            }
            SessionEvent::Closed(id) => shared
                .sessions
                .borrow_mut()
                .retain(|open| open.controller != controller || open.session.id != id),
        }
    }
}

fn message_received(shared: &SharedState, controller: usize, id: SessionId, message: Message) {
    let sessions = shared.sessions.borrow();
    let Some(open) = sessions
        .iter()
        .find(|open| open.controller == controller && open.session.id == id)
    else {
        return;
    };
    if let Some(reply) = reply(shared, controller, open, &message) {
        open.session.send(&reply);
    }
    shared.received.borrow_mut().push(ReceivedMessage {
        controller,
        message,
    });
}

fn initial_messages(shared: &SharedState, controller: usize) -> [Message; 5] {
    [
        ResponseStores::announcement(controller),
        Message::Controllers(shared.nodes.clone()),
        Message::VotingSet(voting_set(FIRST_EPOCH, shared.nodes.clone())),
        Message::Configuration {
            version: FIRST_VERSION,
            text: shared.configuration.as_ref().into(),
        },
        Message::ControllerStatus {
            is_synchronized: true,
            gateways: 1,
        },
    ]
}

fn reply(
    shared: &SharedState,
    controller: usize,
    open: &ControllerSession,
    message: &Message,
) -> Option<Message> {
    match message {
        Message::PrimarySelected(true) => Some(Message::TableReplacement {
            service: SERVICE.into(),
            revision: 1,
            endpoints: shared.endpoints.clone(),
        }),
        Message::ConfigurationLeaseRequest { sent_at } => {
            Some(Message::ConfigurationLeaseResponse {
                sent_at: *sent_at,
                version: shared.confirmed_version.get()?,
                age: Millis(0),
            })
        }
        Message::ClaimWithdrawal { claim, .. } => {
            shared.voters.withdraw(controller, *claim);
            None
        }
        Message::ResponseShards { .. } | Message::OperationQuery { .. } => {
            let gateway = &open.session.peer;
            shared.response_stores.reply(controller, gateway, message)
        }
        message => {
            let request = claim_request(message)?;
            let verdict = shared.voters.verdict(controller, request)?;
            Some(claim_response(request, verdict))
        }
    }
}
