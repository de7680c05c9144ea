//! A controller stores responses of gateways and returns them, also after it was killed.

mod common;

use common::gateway_session::{INCARNATION, gateway_node, open_session};
use common::{Controllers, wait_until};
use rushcourse_messages::{ClaimId, Message, OperationState, ResponsePart};
use rushcourse_transport::{Session, SessionEvent};
use rushcourse_types::{KeyDigest, ReplicaSequence, RequestToken, ResponseStoreId};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;

const KEY: KeyDigest = KeyDigest(5);
const SEQUENCE: ReplicaSequence = ReplicaSequence(1);
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(15);

/// A session with controller 1 in the role of a gateway.
struct GatewaySession {
    session: Session,
    events: UnboundedReceiver<SessionEvent>,
    claim: ClaimId,
}

impl GatewaySession {
    async fn open(controllers: &Controllers) -> GatewaySession {
        wait_until("the controller listens", || controllers.status(1).is_some());
        let (session, events) = open_session(controllers, 1).await;
        let claim = ClaimId {
            node: gateway_node(controllers),
            incarnation: INCARNATION,
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

    async fn store_id(&mut self) -> ResponseStoreId {
        self.receive(|message| match message {
            Message::ResponseStoreOpened { store } => Some(store),
            _ => None,
        })
        .await
    }

    async fn store(&mut self, part: ResponsePart) {
        self.session.send(&Message::ResponseReplica {
            sequence: SEQUENCE,
            key: KEY,
            claim: self.claim,
            part,
        });
        let sequences = self
            .receive(|message| match message {
                Message::ResponseReplicasStored { sequences } => Some(sequences),
                _ => None,
            })
            .await;
        assert_eq!(sequences, [SEQUENCE]);
    }

    async fn query(&mut self, key: KeyDigest) -> OperationState {
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

/// Guards against DENIED: no node but the gateway that ran an operation had its response.
#[test]
fn stored_response_survives_a_kill_of_the_controller() {
    let mut controllers = Controllers::start();
    let part = ResponsePart {
        offset: 0,
        total_bytes: 3,
        bytes: [1, 2, 3].into(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime is built");
    let tasks = tokio::task::LocalSet::new();
    let stored = part.clone();
    let id = tasks.block_on(&runtime, async {
        let mut gateway = GatewaySession::open(&controllers).await;
        let id = gateway.store_id().await;
        gateway.store(stored).await;
        id
    });
    controllers.kill(1);
    controllers.restart(1);
    tasks.block_on(&runtime, async {
        let mut gateway = GatewaySession::open(&controllers).await;
        assert_eq!(gateway.store_id().await, id, "the file is the same");
        assert_eq!(gateway.query(KEY).await, OperationState::Completed(part));
        let other = gateway.query(KeyDigest(6)).await;
        assert_eq!(other, OperationState::NotFound, "of another operation");
    });
    let page = controllers.status(1).expect("the controller responds");
    assert!(
        page.contains(r#""responses":{"open":true,"parts":"#),
        "{page}"
    );
}
