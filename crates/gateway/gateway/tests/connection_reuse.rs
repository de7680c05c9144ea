//! How long connections to hosts are kept, and what becomes of a request on one that was closed meanwhile.

mod world;

use std::time::Duration;
use tokio::time::Instant;
use world::{HostAction, Setup, Signal, World, pause, run_scenario, valid_response, wait_until};

/// What became of the second of two requests.
struct Reuse {
    /// It went by the connection of the first.
    is_reused: bool,
    /// How long that had rested. A busy machine rests longer, so what was measured counts.
    rested: Duration,
}

/// Sends a request whose response says this of keeping its connection, and after `rest` another one.
async fn reuse_after(
    world: &World,
    keep_alive: &'static str,
    ids: [&str; 2],
    rest: Duration,
) -> Reuse {
    world.hosts.respond_next(move |request| {
        let text = String::from_utf8(valid_response(request.id())).expect("text");
        text.replace("Keep-Alive: timeout=10\r\n", keep_alive)
            .into_bytes()
    });
    world.expect_valid_exchange(ids[0]).await;
    let answered = Instant::now();
    pause(rest).await;
    world.expect_valid_exchange(ids[1]).await;
    Reuse {
        is_reused: world.hosts.connection_of(ids[0]) == world.hosts.connection_of(ids[1]),
        rested: answered.elapsed(),
    }
}

#[test]
fn a_request_is_sent_again_where_its_pooled_connection_was_closed() {
    run_scenario(Setup::DEFAULT, async |world| {
        world.hosts.script_next(|request| {
            vec![
                HostAction::Write(valid_response(request.id())),
                HostAction::Close,
            ]
        });
        world.expect_valid_exchange("a1").await;
        wait_until("it is closed", || world.hosts.is_closed(0)).await;
        world.expect_valid_exchange("a2").await;

        // The end reaches the gateway together with the next request.
        let close = Signal::default();
        let waits = close.clone();
        world.hosts.script_next(move |request| {
            vec![
                HostAction::Write(valid_response(request.id())),
                HostAction::Wait(waits),
                HostAction::Close,
            ]
        });
        let kept = world.make_idle_connection("a3").await;
        world.freeze_gateway().await;
        close.give();
        wait_until("it is closed", || world.hosts.is_closed(kept)).await;
        let mut client = world.connect_client().await;
        client.send_request("POST", "/m/x", "a4", "", b"").await;
        world.thaw_gateway();

        let response = client.expect_response().await;
        assert!(
            response.answers("a4"),
            "nothing of it had left: {response:?}"
        );
        assert_eq!(world.hosts.arrivals("a4"), 1);
    });
}

#[test]
fn a_connection_is_used_up_to_four_fifths_of_the_hosts_limit() {
    run_scenario(Setup::DEFAULT, async |world| {
        for ids in [["a1", "a2"], ["a3", "a4"], ["a5", "a6"]] {
            let rest = Duration::from_millis(720);
            let reuse = reuse_after(&world, "Keep-Alive: timeout=1\r\n", ids, rest).await;
            if reuse.rested < Duration::from_millis(790) {
                let rested = reuse.rested;
                assert!(reuse.is_reused, "a new one after {rested:?} of a second");
                return;
            }
        }
        panic!("this machine is too busy to rest for 0.72 s");
    });
}

#[test]
fn a_connection_is_not_used_beyond_four_fifths_of_the_hosts_limit() {
    run_scenario(Setup::DEFAULT, async |world| {
        let rest = Duration::from_millis(4_850);
        let reuse = reuse_after(&world, "Keep-Alive: timeout=6\r\n", ["a1", "a2"], rest).await;
        assert!(!reuse.is_reused, "after {:?} of 6 s", reuse.rested);
    });
}

#[test]
fn a_connection_whose_limit_is_not_named_is_hardly_kept() {
    run_scenario(Setup::DEFAULT, async |world| {
        // A limit that holds no whole second is not named at all.
        for (keep_alive, ids) in [
            ("", ["a1", "a2"]),
            ("Keep-Alive: timeout=0\r\n", ["a3", "a4"]),
        ] {
            let reuse = reuse_after(&world, keep_alive, ids, Duration::from_millis(300)).await;
            assert!(!reuse.is_reused, "after {:?}", reuse.rested);
        }
    });
}
