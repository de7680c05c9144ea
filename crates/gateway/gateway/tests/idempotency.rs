//! Operations with an idempotency key are executed at most once, across client disconnects, lost claims and changes of
//! the voting set.

mod harness;

use harness::{
    ClientResponse, Harness, HostAction, INTERNAL_PORT, Setup, pause, run_scenario, wait_until,
};
use rushcourse_messages::{
    ClaimId, ClaimVerdict, Handshake, Message, OperationState, PROTOCOL_VERSION, Role,
};
use rushcourse_transport::{Dialer, Session, SessionContext, SessionEvent};
use rushcourse_types::{Epoch, Incarnation, KeyDigest, NodeId, RequestToken};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::JoinHandle;

const THREE_CONTROLLERS: Setup = Setup {
    controllers: 3,
    ..Setup::DEFAULT
};
const FIVE_CONTROLLERS: Setup = Setup {
    controllers: 5,
    ..Setup::DEFAULT
};

/// Starts operation `k1` and leaves its claim pending at the first `controllers` controllers.
async fn start_operation_with_pending_claim(
    harness: &Rc<Harness>,
    controllers: usize,
) -> JoinHandle<ClientResponse> {
    harness.controllers.set_auto_grant(false);
    let operation_harness = harness.clone();
    let operation =
        tokio::task::spawn_local(
            async move { operation_harness.request_operation("k1", "a1").await },
        );
    wait_until("all controllers received the claim", || {
        (0..controllers)
            .all(|controller| harness.controllers.claim_epochs(controller) == [Epoch(1)])
    })
    .await;
    operation
}

/// Lets the claim of an operation time out without a verdict and be withdrawn from three controllers. Returns the key
/// and the claim.
async fn abandon_claim(harness: &Harness, key: &str, id: &str) -> (KeyDigest, ClaimId) {
    harness.controllers.set_auto_grant(false);
    let response = harness.request_operation(key, id).await;
    assert_eq!(response.status, 503, "no voter grants the claim");
    let (key, claim) = harness.controllers.newest_claim(0);
    wait_until("all controllers received the withdrawal", || {
        (0..3).all(|controller| harness.controllers.withdrawal_count_of(controller, claim) == 1)
    })
    .await;
    (key, claim)
}

#[test]
fn operation_survives_client_disconnect_and_its_retry_gets_the_response() {
    run_scenario(Setup::TWO_HOSTS, async |harness| {
        let first_response = harness.hosts.delay_next();
        let client = harness.start_operation("k1", "a1").await;

        drop(client);
        let response = harness.request_operation("k1", "a2").await;
        assert_eq!(response.status, 409, "the operation is running");
        first_response.notify();
        let mut response = harness.request_operation("k1", "a3").await;
        while response.status == 409 {
            response = harness.request_operation("k1", "a3").await;
        }

        assert_eq!(
            (response.status, response.header("response-seal")),
            (200, Some("seal-a1"))
        );
        assert_eq!(
            (response.body.as_slice(), response.header("attempt-id")),
            (b"answer to a1".as_slice(), Some("a3"))
        );
        assert_eq!(harness.hosts.requests().len(), 1, "executed once");
    });
}

#[test]
fn operation_is_not_retried_after_a_reset_or_timeout() {
    run_scenario(Setup::TWO_HOSTS, async |harness| {
        harness.hosts.script_next(|_| vec![HostAction::Reset]);
        assert_eq!(harness.request_operation("k1", "a1").await.status, 502);
        assert_eq!(
            harness.request_operation("k1", "a2").await.status,
            409,
            "the operation may have been executed"
        );

        harness
            .hosts
            .script_next(|_| vec![HostAction::StopResponding]);
        let mut client = harness.connect_client().await;
        let headers = "Operation-Key: k2\r\nDeadline-Milliseconds: 300\r\n";
        client
            .send_request("POST", "/k/x", "a3", headers, b"")
            .await;
        assert_eq!(client.expect_response().await.status, 504);
        assert_eq!(harness.request_operation("k2", "a4").await.status, 409);

        assert_eq!(harness.hosts.requests().len(), 2);
    });
}

#[test]
fn pending_claim_is_granted_under_a_new_voting_set() {
    run_scenario(FIVE_CONTROLLERS, async |harness| {
        let operation = start_operation_with_pending_claim(&harness, 5).await;

        // Epoch 1 has all five controllers, epoch 2 all but the last.
        let controllers = &harness.controllers;
        controllers.answer_newest_claim(0, ClaimVerdict::Granted);
        controllers.answer_newest_claim(4, ClaimVerdict::Granted);
        controllers.report_voting_set(1, Epoch(2), &[0, 1, 2, 3]);
        controllers.answer_newest_claim(1, ClaimVerdict::Abstained);
        wait_until("the new voting set received the claim", || {
            (0..4).all(|voter| controllers.claim_epochs(voter) == [Epoch(1), Epoch(2)])
        })
        .await;
        assert_eq!(controllers.claim_epochs(4), [Epoch(1)]);

        // Grants of different epochs do not add up: the claim needs three grants of the new set.
        controllers.answer_newest_claim(1, ClaimVerdict::Granted);
        controllers.answer_newest_claim(2, ClaimVerdict::Granted);
        assert_eq!(harness.hosts.requests().len(), 0);
        controllers.answer_newest_claim(0, ClaimVerdict::Granted);
        let response = operation.await.expect("the client task ends");
        assert!(response.is_valid_for("a1"), "{response:?}");
        assert_eq!(
            (
                harness.hosts.request_count("a1"),
                controllers.withdrawal_count(4)
            ),
            (1, 0)
        );
    });
}

#[test]
fn abandoned_claim_is_withdrawn_from_voters_of_both_sets() {
    run_scenario(THREE_CONTROLLERS, async |harness| {
        let operation = start_operation_with_pending_claim(&harness, 3).await;

        harness.controllers.report_voting_set(0, Epoch(2), &[0, 1]);

        let response = operation.await.expect("the client task ends");
        assert_eq!(response.status, 503, "no voter grants the claim");
        wait_until("all controllers received the withdrawal", || {
            (0..3).all(|voter| harness.controllers.withdrawal_count(voter) == 1)
        })
        .await;
        assert_eq!(harness.hosts.requests().len(), 0);
        // The key is free again, and late grants for the withdrawn claim are ignored.
        for voter in 0..3 {
            harness
                .controllers
                .answer_newest_claim(voter, ClaimVerdict::Granted);
        }
        harness.controllers.set_auto_grant(true);
        assert!(
            harness
                .request_operation("k1", "a2")
                .await
                .is_valid_for("a2")
        );
    });
}

#[test]
fn grants_read_after_the_claim_timeout_are_ignored() {
    run_scenario(THREE_CONTROLLERS, async |harness| {
        let operation = start_operation_with_pending_claim(&harness, 3).await;

        harness.suspend_gateway().await;
        for voter in 0..3 {
            harness
                .controllers
                .answer_newest_claim(voter, ClaimVerdict::Granted);
        }
        pause(Duration::from_millis(500)).await;
        harness.resume_gateway();

        assert_eq!(operation.await.expect("the client task ends").status, 503);
        wait_until("all controllers received the withdrawal", || {
            (0..3).all(|voter| harness.controllers.withdrawal_count(voter) == 1)
        })
        .await;
        assert_eq!(harness.hosts.requests().len(), 0);
    });
}

#[test]
fn withdrawal_is_resent_to_voters_that_missed_it() {
    run_scenario(THREE_CONTROLLERS, async |harness| {
        let (_, claim) = abandon_claim(&harness, "k1", "a1").await;

        // The voters missed the withdrawal and still hold the first claim.
        harness.controllers.set_claims_held_by(claim);

        assert_eq!(
            harness.request_operation("k1", "a2").await.status,
            503,
            "the request was not executed and the key is being freed"
        );
        wait_until("all controllers received a second withdrawal", || {
            (0..3).all(|voter| harness.controllers.withdrawal_count_of(voter, claim) == 2)
        })
        .await;
        assert_eq!(harness.hosts.requests().len(), 0);
    });
}

#[test]
fn claim_of_an_earlier_incarnation_is_not_withdrawn() {
    run_scenario(THREE_CONTROLLERS, async |harness| {
        let (_, claim) = abandon_claim(&harness, "k1", "a1").await;

        let earlier = ClaimId {
            incarnation: Incarnation(claim.incarnation.0 ^ 1),
            ..claim
        };
        harness.controllers.set_claims_held_by(earlier);

        assert_eq!(
            harness.request_operation("k1", "a2").await.status,
            409,
            "the earlier incarnation may have forwarded the request"
        );
        let withdrawal_count =
            (0..3).map(|voter| harness.controllers.withdrawal_count_of(voter, earlier));
        assert_eq!(withdrawal_count.sum::<usize>(), 0);
    });
}

#[test]
fn query_for_a_withdrawn_claim_resends_the_withdrawal() {
    run_scenario(THREE_CONTROLLERS, async |harness| {
        let (key, claim) = abandon_claim(&harness, "k1", "a1").await;

        let (session, mut events) = open_session_as_gateway(&harness).await;
        session.send(&Message::OperationQuery {
            token: RequestToken(7),
            key,
            claim,
            offset: 0,
        });

        let Some(SessionEvent::Received { message, .. }) = events.recv().await else {
            panic!("the session ended without a reply")
        };
        assert_eq!(
            message,
            Message::OperationReply {
                token: RequestToken(7),
                state: OperationState::NotFound
            }
        );
        wait_until("all controllers received a second withdrawal", || {
            (0..3).all(|voter| harness.controllers.withdrawal_count_of(voter, claim) == 2)
        })
        .await;
    });
}

/// Opens a session with the gateway under test in the role of another gateway.
async fn open_session_as_gateway(harness: &Harness) -> (Session, UnboundedReceiver<SessionEvent>) {
    let (event_sender, mut events) = unbounded_channel();
    let handshake = Handshake {
        protocol_version: PROTOCOL_VERSION,
        role: Role::Gateway,
        node: NodeId::from(harness.unused_address),
        incarnation: Incarnation(1),
        name: "front-2".into(),
        zone: "z".into(),
    };
    let context = SessionContext::new(handshake, event_sender);
    let gateway = NodeId::from(*harness.gateway_address().ip());
    Dialer::new(context, INTERNAL_PORT).dial(gateway);
    let Some(SessionEvent::Opened(session)) = events.recv().await else {
        panic!("the session was not opened")
    };
    (session, events)
}
