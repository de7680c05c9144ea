//! Stand-in core directors: they tell the gateway one configuration, one table and a voting set, and vote as the test
//! says.

use super::SERVICE;
use rushcourse_messages::{
    ClaimId, ClaimVerdict, EndpointWeight, Handshake, Message, NodeId, PROTOCOL_VERSION, Role,
    VotingSet,
};
use rushcourse_transport::{Session, SessionEvent, SessionFactory, accept_sessions};
use rushcourse_types::{ConfigurationVersion, Epoch, Incarnation, KeyDigest};
use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// Sessions that a core director of a test takes at most.
const SESSIONS_MOST: usize = 8;

struct Shared {
    nodes: Vec<NodeId>,
    configuration: Rc<[u8]>,
    lines: Vec<EndpointWeight>,
    /// What is voted on claims as they come; None: they wait for the test.
    votes: Cell<Option<ClaimVerdict>>,
    sessions: RefCell<Vec<(usize, Session)>>,
    heard: RefCell<Vec<(usize, Message)>>,
}

#[derive(Clone)]
pub struct Cores(Rc<Shared>);

#[allow(
    clippy::needless_update,
    reason = "the set gains fields that don't matter here"
)]
fn voting_set(number: u64, members: Vec<NodeId>) -> VotingSet {
    VotingSet {
        epoch: Epoch(number),
        members,
        ..Default::default()
    }
}

impl Cores {
    pub async fn start(
        at: &[Ipv4Addr],
        port: u16,
        configuration: String,
        lines: Vec<EndpointWeight>,
    ) -> Cores {
        let shared = Rc::new(Shared {
            nodes: at.iter().map(|a| NodeId::from(*a)).collect(),
            configuration: configuration.into_bytes().into(),
            lines,
            votes: Cell::new(Some(ClaimVerdict::Granted)),
            sessions: RefCell::default(),
            heard: RefCell::default(),
        });
        for (number, address) in at.iter().enumerate() {
            let (tell, events) = unbounded_channel();
            let node = NodeId::from(*address);
            let name = format!("core-{number}");
            let hello = Handshake {
                protocol_version: PROTOCOL_VERSION,
                role: Role::Controller,
                node,
                incarnation: Incarnation(1),
                name,
                zone: "z".into(),
            };
            let listener = TcpListener::bind((*address, port))
                .await
                .expect("the internal port is free");
            tokio::task::spawn_local(accept_sessions(
                listener,
                SESSIONS_MOST,
                SessionFactory::new(hello, tell),
            ));
            tokio::task::spawn_local(work(number, events, shared.clone()));
        }
        Cores(shared)
    }

    pub fn nodes(&self) -> &[NodeId] {
        &self.0.nodes
    }

    /// Claims are granted as they come, or wait for the test.
    pub fn grant(&self, grants: bool) {
        self.0.votes.set(grants.then_some(ClaimVerdict::Granted));
    }

    /// Another claim holds whatever is claimed.
    pub fn hold(&self, by: ClaimId) {
        self.0.votes.set(Some(ClaimVerdict::HeldBy(by)));
    }

    /// Everything that the gateway said to a core director, but for pings.
    pub fn heard(&self, core: usize) -> Vec<Message> {
        self.0
            .heard
            .borrow()
            .iter()
            .filter(|h| h.0 == core)
            .map(|h| h.1.clone())
            .collect()
    }

    /// A core director says something to the gateway.
    pub fn say(&self, core: usize, message: &Message) {
        let sessions = self.0.sessions.borrow();
        let session = sessions
            .iter()
            .rev()
            .find(|s| s.0 == core)
            .expect("a session");
        session.1.send(message);
    }

    pub fn tell_set(&self, core: usize, number: u64, members: &[usize]) {
        let members = members.iter().map(|m| self.0.nodes[*m]).collect();
        self.say(core, &Message::VotingSet(voting_set(number, members)));
    }

    /// A core director's vote on the newest claim that it heard.
    pub fn vote(&self, core: usize, verdict: ClaimVerdict) {
        let heard = self.heard(core);
        let claims = heard.iter().rev().find_map(|m| match m {
            Message::ClaimRequest {
                epoch: set,
                key,
                claim,
            } => Some((*set, *key, *claim)),
            _ => None,
        });
        let (set, key, claim) = claims.expect("a claim");
        self.say(
            core,
            &Message::ClaimResponse {
                epoch: set,
                key,
                claim,
                verdict,
            },
        );
    }

    /// The newest claim that a core director heard.
    pub fn claim(&self, core: usize) -> (KeyDigest, ClaimId) {
        let heard = self.heard(core);
        let claim = |m: &Message| {
            if let Message::ClaimRequest { key, claim, .. } = m {
                Some((*key, *claim))
            } else {
                None
            }
        };
        heard.iter().rev().find_map(claim).expect("a claim")
    }

    /// Whether a core director was told that nothing was sent under a claim, and how often.
    pub fn withdrawn(&self, core: usize, claim: ClaimId) -> usize {
        let told =
            |m: &&Message| matches!(m, Message::ClaimWithdrawal { claim: c, .. } if *c == claim);
        self.heard(core).iter().filter(told).count()
    }

    /// The numbers of the sets under which claims came to a core director.
    pub fn claims(&self, core: usize) -> Vec<Epoch> {
        let set = |m: &Message| {
            if let Message::ClaimRequest { epoch: set, .. } = m {
                Some(*set)
            } else {
                None
            }
        };
        self.heard(core).iter().filter_map(set).collect()
    }

    pub fn withdrawals(&self, core: usize) -> usize {
        self.heard(core)
            .iter()
            .filter(|m| matches!(m, Message::ClaimWithdrawal { .. }))
            .count()
    }
}

async fn work(number: usize, mut events: UnboundedReceiver<SessionEvent>, shared: Rc<Shared>) {
    while let Some(event) = events.recv().await {
        match event {
            SessionEvent::Opened(session) => {
                for message in greeting(&shared) {
                    session.send(&message);
                }
                shared.sessions.borrow_mut().push((number, session));
            }
            SessionEvent::Received {
                session: id,
                message,
            } => {
                let sessions = shared.sessions.borrow();
                let Some((_, session)) = sessions.iter().find(|s| s.0 == number && s.1.id == id)
                else {
                    continue;
                };
                for reply in replies(&shared, &message) {
                    session.send(&reply);
                }
                shared.heard.borrow_mut().push((number, message));
            }
            SessionEvent::Closed(id) => shared
                .sessions
                .borrow_mut()
                .retain(|s| s.0 != number || s.1.id != id),
        }
    }
}

fn greeting(shared: &Shared) -> [Message; 4] {
    [
        Message::Controllers(shared.nodes.clone()),
        Message::VotingSet(voting_set(1, shared.nodes.clone())),
        Message::Configuration {
            version: ConfigurationVersion(1),
            text: shared.configuration.as_ref().into(),
        },
        Message::ControllerStatus {
            is_synchronized: true,
            gateways: 1,
        },
    ]
}

fn replies(shared: &Shared, message: &Message) -> Vec<Message> {
    match message {
        Message::PrimarySelected(true) => {
            vec![Message::TableReplacement {
                service: SERVICE.into(),
                revision: 1,
                endpoints: shared.lines.clone(),
            }]
        }
        Message::ClaimRequest {
            epoch: set,
            key,
            claim,
        } => {
            let vote = |verdict| Message::ClaimResponse {
                epoch: *set,
                key: *key,
                claim: *claim,
                verdict,
            };
            shared.votes.get().map(vote).into_iter().collect()
        }
        _ => Vec::new(),
    }
}
