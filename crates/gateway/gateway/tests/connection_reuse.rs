//! Reuse of upstream connections: idle timeouts, and connections that the host closes while they are pooled.

mod harness;

use harness::{
    Harness, HostAction, Setup, Signal, pause, run_scenario, valid_response, wait_until,
};
use std::time::Duration;
use tokio::time::Instant;

/// Result of [`reuse_after_idle`].
struct ReuseResult {
    /// The second request used the connection of the first.
    is_reused: bool,
    /// Time between the two responses; on a busy machine considerably longer than requested.
    idle_for: Duration,
}

/// Sends a request whose response has `keep_alive` as its `Keep-Alive` header, and a second one after `idle_time`.
async fn reuse_after_idle(
    harness: &Harness,
    keep_alive: &'static str,
    ids: [&str; 2],
    idle_time: Duration,
) -> ReuseResult {
    harness.hosts.respond_next(move |request| {
        let text = String::from_utf8(valid_response(request.id())).expect("the response is UTF-8");
        text.replace("Keep-Alive: timeout=10\r\n", keep_alive)
            .into_bytes()
    });
    harness.expect_valid_exchange(ids[0]).await;
    let answered_at = Instant::now();
    pause(idle_time).await;
    harness.expect_valid_exchange(ids[1]).await;
    ReuseResult {
        is_reused: harness.hosts.connection_of(ids[0]) == harness.hosts.connection_of(ids[1]),
        idle_for: answered_at.elapsed(),
    }
}

#[test]
fn request_is_resent_when_its_pooled_connection_is_closed() {
    run_scenario(Setup::DEFAULT, async |harness| {
        harness.hosts.script_next(|request| {
            vec![
                HostAction::Write(valid_response(request.id())),
                HostAction::Close,
            ]
        });
        harness.expect_valid_exchange("a1").await;
        wait_until("the connection is closed", || harness.hosts.is_closed(0)).await;
        harness.expect_valid_exchange("a2").await;

        // The gateway sees the close and the next request at the same time.
        let close = Signal::default();
        let host_signal = close.clone();
        harness.hosts.script_next(move |request| {
            vec![
                HostAction::Write(valid_response(request.id())),
                HostAction::Wait(host_signal),
                HostAction::Close,
            ]
        });
        let kept = harness.make_idle_connection("a3").await;
        harness.suspend_gateway().await;
        close.notify();
        wait_until("the connection is closed", || harness.hosts.is_closed(kept)).await;
        let mut client = harness.connect_client().await;
        client.send_request("POST", "/m/x", "a4", "", b"").await;
        harness.resume_gateway();

        let response = client.expect_response().await;
        assert!(
            response.is_valid_for("a4"),
            "nothing was sent on the closed connection: {response:?}"
        );
        assert_eq!(harness.hosts.request_count("a4"), 1);
    });
}

#[test]
fn connection_is_reused_within_four_fifths_of_keep_alive_timeout() {
    run_scenario(Setup::DEFAULT, async |harness| {
        for ids in [["a1", "a2"], ["a3", "a4"], ["a5", "a6"]] {
            let idle_time = Duration::from_millis(720);
            let reuse =
                reuse_after_idle(&harness, "Keep-Alive: timeout=1\r\n", ids, idle_time).await;
            if reuse.idle_for < Duration::from_millis(790) {
                let idle_for = reuse.idle_for;
                assert!(
                    reuse.is_reused,
                    "not reused after {idle_for:?} with a timeout of 1 s"
                );
                return;
            }
        }
        panic!("the machine is too busy to measure an idle time of 0.72 s");
    });
}

#[test]
fn connection_is_not_reused_beyond_four_fifths_of_keep_alive_timeout() {
    run_scenario(Setup::DEFAULT, async |harness| {
        let idle_time = Duration::from_millis(4_850);
        let reuse = reuse_after_idle(
            &harness,
            "Keep-Alive: timeout=6\r\n",
            ["a1", "a2"],
            idle_time,
        )
        .await;
        assert!(
            !reuse.is_reused,
            "reused after {:?} with a timeout of 6 s",
            reuse.idle_for
        );
    });
}

#[test]
fn connection_without_keep_alive_timeout_expires_within_300_ms() {
    run_scenario(Setup::DEFAULT, async |harness| {
        // A timeout of 0 counts as absent.
        for (keep_alive, ids) in [
            ("", ["a1", "a2"]),
            ("Keep-Alive: timeout=0\r\n", ["a3", "a4"]),
        ] {
            let reuse =
                reuse_after_idle(&harness, keep_alive, ids, Duration::from_millis(300)).await;
            assert!(!reuse.is_reused, "reused after {:?}", reuse.idle_for);
        }
    });
}
