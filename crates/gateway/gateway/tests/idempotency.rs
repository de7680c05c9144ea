//! Operations with a key: one run, whatever becomes of its client, of its claim, or of the voting set.

mod world;

use rushcourse_messages::{
    ClaimId, ClaimVerdict, Handshake, Message, OperationState, PROTOCOL_VERSION, Role,
};
use rushcourse_transport::{Dialer, Session, SessionContext, SessionEvent};
use rushcourse_types::{Epoch, Incarnation, KeyDigest, NodeId, RequestToken};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::JoinHandle;
use world::{
    ClientResponse, HostAction, INTERNAL_PORT, Setup, World, pause, run_scenario, wait_until,
};

const THREE_CONTROLLERS: Setup = Setup {
    controllers: 3,
    ..Setup::DEFAULT
};
const FIVE_CONTROLLERS: Setup = Setup {
    controllers: 5,
    ..Setup::DEFAULT
};

/// Begins an operation whose claim waits for the test at all controllers.
async fn start_undecided_operation(
    world: &Rc<World>,
    controllers: usize,
) -> JoinHandle<ClientResponse> {
    world.controllers.grant_claims(false);
    let asking_world = world.clone();
    let operation =
        tokio::task::spawn_local(async move { asking_world.request_operation("k1", "a1").await });
    wait_until("all are asked", || {
        (0..controllers).all(|controller| world.controllers.claim_epochs(controller) == [Epoch(1)])
    })
    .await;
    operation
}

/// Gives up an operation's claim, and returns it: nobody votes. There are three controllers.
async fn give_up_a_claim(world: &World, key: &str, id: &str) -> (KeyDigest, ClaimId) {
    world.controllers.grant_claims(false);
    let response = world.request_operation(key, id).await;
    assert_eq!(response.status, 503, "nobody votes");
    let (key, claim) = world.controllers.newest_claim(0);
    wait_until("all are told", || {
        (0..3).all(|controller| world.controllers.withdrawals_of(controller, claim) == 1)
    })
    .await;
    (key, claim)
}

#[test]
fn an_operation_runs_on_without_its_client_and_its_repeat_gets_its_response() {
    run_scenario(Setup::TWO_HOSTS, async |world| {
        let first_response = world.hosts.delay_next();
        let mut client = world.connect_client().await;
        client
            .send_request("POST", "/k/x", "a1", "Operation-Key: k1\r\n", b"")
            .await;
        wait_until("it came", || world.hosts.arrivals("a1") == 1).await;

        drop(client);
        let response = world.request_operation("k1", "a2").await;
        assert_eq!(response.status, 409, "at work");
        first_response.give();
        let mut response = world.request_operation("k1", "a3").await;
        while response.status == 409 {
            response = world.request_operation("k1", "a3").await;
        }

        assert_eq!(
            (response.status, response.header("response-seal")),
            (200, Some("seal-a1"))
        );
        assert_eq!(
            (response.body.as_slice(), response.header("attempt-id")),
            (b"answer to a1".as_slice(), Some("a3"))
        );
        assert_eq!(world.hosts.requests().len(), 1, "one run");
    });
}

#[test]
fn an_operation_is_not_retried_after_a_reset_or_a_timeout() {
    run_scenario(Setup::TWO_HOSTS, async |world| {
        world.hosts.script_next(|_| vec![HostAction::Reset]);
        assert_eq!(world.request_operation("k1", "a1").await.status, 502);
        assert_eq!(
            world.request_operation("k1", "a2").await.status,
            409,
            "whether it ran is not known"
        );

        world
            .hosts
            .script_next(|_| vec![HostAction::StopResponding]);
        let mut client = world.connect_client().await;
        let headers = "Operation-Key: k2\r\nDeadline-Milliseconds: 300\r\n";
        client
            .send_request("POST", "/k/x", "a3", headers, b"")
            .await;
        assert_eq!(client.expect_response().await.status, 504);
        assert_eq!(world.request_operation("k2", "a4").await.status, 409);

        assert_eq!(world.hosts.requests().len(), 2);
    });
}

#[test]
fn a_pending_claim_wins_under_a_new_voting_set() {
    run_scenario(FIVE_CONTROLLERS, async |world| {
        let operation = start_undecided_operation(&world, 5).await;

        // The first set is all five; the second one has lost the last of them.
        let controllers = &world.controllers;
        controllers.answer_newest_claim(0, ClaimVerdict::Granted);
        controllers.answer_newest_claim(4, ClaimVerdict::Granted);
        controllers.report_voting_set(1, Epoch(2), &[0, 1, 2, 3]);
        controllers.answer_newest_claim(1, ClaimVerdict::Abstained);
        wait_until("the new set is asked", || {
            (0..4).all(|voter| controllers.claim_epochs(voter) == [Epoch(1), Epoch(2)])
        })
        .await;
        assert_eq!(controllers.claim_epochs(4), [Epoch(1)]);

        // Two of the former set and two of the new one are no majority; three of the new one are.
        controllers.answer_newest_claim(1, ClaimVerdict::Granted);
        controllers.answer_newest_claim(2, ClaimVerdict::Granted);
        assert_eq!(world.hosts.requests().len(), 0);
        controllers.answer_newest_claim(0, ClaimVerdict::Granted);
        let response = operation.await.expect("an answer");
        assert!(response.answers("a1"), "{response:?}");
        assert_eq!(
            (world.hosts.arrivals("a1"), controllers.withdrawals(4)),
            (1, 0)
        );
    });
}

#[test]
fn a_claim_that_is_given_up_is_withdrawn_at_the_voters_of_both_sets() {
    run_scenario(THREE_CONTROLLERS, async |world| {
        let operation = start_undecided_operation(&world, 3).await;

        world.controllers.report_voting_set(0, Epoch(2), &[0, 1]);

        let response = operation.await.expect("an answer");
        assert_eq!(response.status, 503, "nobody votes");
        wait_until("all are told", || {
            (0..3).all(|voter| world.controllers.withdrawals(voter) == 1)
        })
        .await;
        assert_eq!(world.hosts.requests().len(), 0);
        // The key is free again, and three later votes of the first claim are nobody's.
        for voter in 0..3 {
            world
                .controllers
                .answer_newest_claim(voter, ClaimVerdict::Granted);
        }
        world.controllers.grant_claims(true);
        assert!(world.request_operation("k1", "a2").await.answers("a2"));
    });
}

#[test]
fn grants_that_a_frozen_gateway_reads_late_do_not_count() {
    run_scenario(THREE_CONTROLLERS, async |world| {
        let operation = start_undecided_operation(&world, 3).await;

        world.freeze_gateway().await;
        for voter in 0..3 {
            world
                .controllers
                .answer_newest_claim(voter, ClaimVerdict::Granted);
        }
        pause(Duration::from_millis(500)).await;
        world.thaw_gateway();

        assert_eq!(operation.await.expect("an answer").status, 503);
        wait_until("all are told", || {
            (0..3).all(|voter| world.controllers.withdrawals(voter) == 1)
        })
        .await;
        assert_eq!(world.hosts.requests().len(), 0);
    });
}

#[test]
fn voters_that_missed_a_withdrawal_get_it_again() {
    run_scenario(THREE_CONTROLLERS, async |world| {
        let (_, claim) = give_up_a_claim(&world, "k1", "a1").await;

        // They never heard that the first claim was withdrawn.
        world.controllers.report_held_by(claim);

        assert_eq!(
            world.request_operation("k1", "a2").await.status,
            503,
            "nothing was sent, and the key comes free"
        );
        wait_until("all are told again", || {
            (0..3).all(|voter| world.controllers.withdrawals_of(voter, claim) == 2)
        })
        .await;
        assert_eq!(world.hosts.requests().len(), 0);
    });
}

#[test]
fn a_claim_of_an_earlier_incarnation_is_not_withdrawn() {
    run_scenario(THREE_CONTROLLERS, async |world| {
        let (_, claim) = give_up_a_claim(&world, "k1", "a1").await;

        let earlier = ClaimId {
            incarnation: Incarnation(claim.incarnation.0 ^ 1),
            ..claim
        };
        world.controllers.report_held_by(earlier);

        assert_eq!(
            world.request_operation("k1", "a2").await.status,
            409,
            "whether it was sent is not known"
        );
        let withdrawals = (0..3).map(|voter| world.controllers.withdrawals_of(voter, earlier));
        assert_eq!(withdrawals.sum::<usize>(), 0);
    });
}

#[test]
fn a_gateway_that_is_asked_for_a_withdrawn_claim_withdraws_it_again() {
    run_scenario(THREE_CONTROLLERS, async |world| {
        let (key, claim) = give_up_a_claim(&world, "k1", "a1").await;

        let (session, mut events) = open_session_as_gateway(&world).await;
        session.send(&Message::OperationQuery {
            token: RequestToken(7),
            key,
            claim,
        });

        let Some(SessionEvent::Received { message, .. }) = events.recv().await else {
            panic!("no answer")
        };
        assert_eq!(
            message,
            Message::OperationReply {
                token: RequestToken(7),
                state: OperationState::NotFound
            }
        );
        wait_until("all are told again", || {
            (0..3).all(|voter| world.controllers.withdrawals_of(voter, claim) == 2)
        })
        .await;
    });
}

/// Another gateway's session with the one that is tested.
async fn open_session_as_gateway(world: &World) -> (Session, UnboundedReceiver<SessionEvent>) {
    let (event_sender, mut events) = unbounded_channel();
    let handshake = Handshake {
        protocol_version: PROTOCOL_VERSION,
        role: Role::Gateway,
        node: NodeId::from(world.unused_address),
        incarnation: Incarnation(1),
        name: "front-2".into(),
        zone: "z".into(),
    };
    let context = SessionContext::new(handshake, event_sender);
    let gateway = NodeId::from(*world.gateway_address().ip());
    Dialer::new(context, INTERNAL_PORT).dial(gateway);
    let Some(SessionEvent::Opened(session)) = events.recv().await else {
        panic!("no session")
    };
    (session, events)
}
