//! Confirmations that a controller process sends to a gateway, before and after it has lost the majority.

mod common;

use common::gateway_session::open_session;
use common::{Controllers, configuration};
use rushcourse_messages::Message;
use rushcourse_transport::{Session, SessionEvent};
use rushcourse_types::{ConfigurationVersion, Timestamp};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{sleep, timeout};

const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for a confirmation to appear on a busy machine.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for which the confirmation of an isolated controller is watched; several intervals of its reads.
const WATCHED_TIME: Duration = Duration::from_millis(1_200);

/// Confirmations state their age in whole milliseconds.
const CLOCK_GRANULARITY: Duration = Duration::from_millis(2);

/// A confirmation, with times by the clock of the gateway.
struct Confirmation {
    version: ConfigurationVersion,
    /// Latest time at which the read can have begun.
    began_before: Instant,
    /// Earliest time at which the read can have begun.
    began_after: Instant,
}

/// A session with a controller in the role of a gateway.
struct GatewaySession {
    session: Session,
    events: UnboundedReceiver<SessionEvent>,
    started_at: Instant,
}

impl GatewaySession {
    async fn open(controllers: &Controllers, number: u32) -> GatewaySession {
        let (session, events) = open_session(controllers, number).await;
        GatewaySession {
            session,
            events,
            started_at: Instant::now(),
        }
    }

    /// Requests a lease and returns the confirmation; `None` if the controller has none.
    async fn request(&mut self) -> Option<Confirmation> {
        sleep(REQUEST_INTERVAL).await;
        let sent = Instant::now();
        let sent_at = Timestamp::ZERO + self.started_at.elapsed();
        self.session
            .send(&Message::ConfigurationLeaseRequest { sent_at });
        timeout(RESPONSE_TIMEOUT, self.response(sent, sent_at))
            .await
            .ok()
    }

    async fn response(&mut self, sent: Instant, expected: Timestamp) -> Confirmation {
        loop {
            let event = self.events.recv().await.expect("an open event queue");
            if let SessionEvent::Received { message, .. } = event
                && let Message::ConfigurationLeaseResponse {
                    sent_at,
                    version,
                    age,
                } = message
                && sent_at == expected
            {
                let age = Duration::from(age);
                return Confirmation {
                    version,
                    began_before: Instant::now().checked_sub(age).expect("a recent read"),
                    began_after: sent.checked_sub(age).expect("a recent read"),
                };
            }
        }
    }

    /// Requests leases until `version` is confirmed. Returns the earlier confirmations.
    async fn wait_until_confirmed(&mut self, version: u64) -> Vec<Confirmation> {
        let end = Instant::now() + CONFIRMATION_TIMEOUT;
        let mut earlier = Vec::new();
        while Instant::now() < end {
            match self.request().await {
                Some(confirmation) if confirmation.version.0 == version => return earlier,
                confirmation => earlier.extend(confirmation),
            }
        }
        panic!("version {version} is not confirmed in time")
    }
}

/// The controllers of all tests in a process have the same addresses, so the tests run one after another.
fn exclusive() -> MutexGuard<'static, ()> {
    static ADDRESSES: Mutex<()> = Mutex::new(());
    ADDRESSES.lock().unwrap_or_else(PoisonError::into_inner)
}

fn run_scenario(scenario: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime is built");
    tokio::task::LocalSet::new().block_on(&runtime, scenario);
}

/// Guards against CONFIG: a gateway relies on it that no version above the confirmed one was acknowledged before the
/// read began, and that a controller without a majority confirms nothing newer.
#[test]
fn confirmation_is_renewed_by_majority_reads_only() {
    let _addresses = exclusive();
    let mut controllers =
        Controllers::start_with_settings("bounds.revocation_closed=true\nbounds.revocation_s=2\n");
    controllers.request_until_acknowledged(1, "PUT", "/-/configuration", &configuration(1));
    run_scenario(async {
        let mut gateway = GatewaySession::open(&controllers, 1).await;
        gateway.wait_until_confirmed(1).await;

        controllers.request_until_acknowledged(2, "PUT", "/-/configuration", &configuration(2));
        let acknowledged_at = Instant::now();
        for outdated in gateway.wait_until_confirmed(2).await {
            assert!(outdated.began_after <= acknowledged_at);
        }

        controllers.kill(2);
        controllers.kill(3);
        let killed_at = Instant::now();
        while killed_at.elapsed() < WATCHED_TIME {
            let confirmation = gateway.request().await.expect("the last confirmation");
            assert_eq!(confirmation.version, ConfigurationVersion(2));
            assert!(confirmation.began_before <= killed_at + CLOCK_GRANULARITY);
        }
    });
}

/// Without a bound on revocation there are neither reads nor responses.
#[test]
fn controller_without_bound_on_revocation_confirms_nothing() {
    let _addresses = exclusive();
    let controllers = Controllers::start();
    controllers.request_until_acknowledged(1, "PUT", "/-/configuration", &configuration(1));
    run_scenario(async {
        let mut gateway = GatewaySession::open(&controllers, 1).await;
        assert!(gateway.request().await.is_none());
        assert!(gateway.request().await.is_none());
    });
}
