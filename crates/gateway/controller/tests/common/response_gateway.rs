//! A gateway that has shards of its responses stored by a controller.

use super::gateway_session::{INCARNATION, gateway_node, open_session_of};
use super::{Controllers, wait_until};
use rushcourse_messages::{ClaimId, Message, OperationState, ResponsePart, ShardPart};
use rushcourse_transport::{Session, SessionEvent};
use rushcourse_types::{Incarnation, KeyDigest, ReplicaSequence, RequestToken, ResponseStoreId};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;

/// The operation of all tests.
pub const KEY: KeyDigest = KeyDigest(5);
const SEQUENCE: ReplicaSequence = ReplicaSequence(1);
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(15);

/// A session with a controller in the role of a gateway.
pub struct GatewaySession {
    pub session: Session,
    events: UnboundedReceiver<SessionEvent>,
    claim: ClaimId,
}

impl GatewaySession {
    pub async fn open(controllers: &Controllers, number: u32) -> GatewaySession {
        GatewaySession::open_as(controllers, number, INCARNATION).await
    }

    /// Opens a session as another run of the gateway.
    pub async fn open_as(
        controllers: &Controllers,
        number: u32,
        incarnation: Incarnation,
    ) -> GatewaySession {
        wait_until("the controller listens", || {
            controllers.status(number).is_some()
        });
        let (session, events) = open_session_of(controllers, number, incarnation).await;
        let claim = ClaimId {
            node: gateway_node(controllers),
            incarnation,
            number: 1,
        };
        GatewaySession {
            session,
            events,
            claim,
        }
    }

    /// Waits for a message that `select` accepts.
    async fn receive<T>(&mut self, select: impl Fn(Message) -> Option<T>) -> T {
        let selected = async {
            loop {
                let event = self.events.recv().await.expect("the session is open");
                if let SessionEvent::Received { message, .. } = event
                    && let Some(selected) = select(message)
                {
                    return selected;
                }
            }
        };
        timeout(MESSAGE_TIMEOUT, selected).await.expect("a message")
    }

    pub async fn store_id(&mut self) -> ResponseStoreId {
        self.receive(|message| match message {
            Message::ResponseStoreOpened { store } => Some(store),
            _ => None,
        })
        .await
    }

    pub async fn store(&mut self, part: ResponsePart) {
        self.session.send(&Message::ResponseShards {
            sequence: SEQUENCE,
            parts: vec![ShardPart {
                key: KEY,
                claim_number: self.claim.number,
                part,
            }],
        });
        let sequences = self
            .receive(|message| match message {
                Message::ResponseShardsStored { sequences } => Some(sequences),
                _ => None,
            })
            .await;
        assert_eq!(sequences, [SEQUENCE]);
    }

    pub async fn query(&mut self, key: KeyDigest) -> OperationState {
        self.session.send(&Message::OperationQuery {
            token: RequestToken(7),
            key,
            claim: self.claim,
            offset: 0,
        });
        self.receive(|message| match message {
            Message::OperationReply {
                token: RequestToken(7),
                state,
            } => Some(state),
            _ => None,
        })
        .await
    }
}

/// Runs a scenario with sessions, which need a `LocalSet`.
pub fn run<T>(scenario: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime is built");
    tokio::task::LocalSet::new().block_on(&runtime, scenario)
}

/// A whole shard.
pub fn part() -> ResponsePart {
    ResponsePart {
        offset: 0,
        total_bytes: 3,
        bytes: [1, 2, 3].into(),
    }
}
