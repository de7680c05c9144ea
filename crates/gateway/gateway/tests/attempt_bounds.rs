//! How many hosts one request of a client may reach, and how much time each of them is given.

mod world;

use std::time::Duration;
use world::{
    HostAction, HostRequest, Setup, Signal, World, pause, response, run_scenario, wait_until,
};

/// `maximum_attempts` of each route of these worlds.
const MAX_ATTEMPTS: usize = 2;
/// `timeout_s` of each route, ms.
const ROUTE_TIMEOUT_MS: u64 = 10_000;
const FOUR_HOSTS: Setup = Setup {
    hosts: 4,
    ..Setup::DEFAULT
};

/// The time that a host was given, ms.
fn time_given(request: &HostRequest) -> u64 {
    let header = request.header("deadline-milliseconds");
    let header = header.expect("each attempt names the time that is left");
    header.parse().expect("a whole number")
}

fn script_failures(world: &World, count: usize, failure: fn(&HostRequest) -> Vec<HostAction>) {
    for _ in 0..count {
        world.hosts.script_next(failure);
    }
}

#[test]
fn a_request_reaches_as_many_hosts_as_its_route_allows() {
    run_scenario(FOUR_HOSTS, async |world| {
        let refuse = |request: &HostRequest| {
            let not_executed = "Not-Executed: 1\r\nContent-Length: 0\r\n";
            vec![HostAction::Write(response(
                "503 Full",
                request.id(),
                not_executed,
                "",
            ))]
        };
        script_failures(&world, MAX_ATTEMPTS, refuse);
        assert_eq!(world.request("POST", "/m/x", "a1").await.status, 503);
        assert_eq!(world.hosts.arrivals("a1"), MAX_ATTEMPTS);

        script_failures(&world, MAX_ATTEMPTS, |_| vec![HostAction::Close]);
        assert_eq!(world.request("GET", "/r/x", "a2").await.status, 502);
        assert_eq!(world.hosts.arrivals("a2"), MAX_ATTEMPTS);
    });
}

#[test]
fn a_host_is_given_the_time_that_is_left_of_the_clients_deadline() {
    run_scenario(FOUR_HOSTS, async |world| {
        const DEADLINE_MS: u64 = 4_000;
        const DELAY: Duration = Duration::from_millis(300);
        let signal = Signal::default();
        let fails = signal.clone();
        world
            .hosts
            .script_next(move |_| vec![HostAction::Wait(fails), HostAction::Close]);
        let mut client = world.connect_client().await;
        let headers = format!("Deadline-Milliseconds: {DEADLINE_MS}\r\n");
        client
            .send_request("GET", "/r/x", "a1", &headers, b"")
            .await;
        wait_until("the first attempt", || world.hosts.arrivals("a1") == 1).await;
        pause(DELAY).await;
        signal.give();

        assert!(client.expect_response().await.answers("a1"));
        let requests = world.hosts.requests();
        let given: Vec<u64> = requests.iter().map(time_given).collect();
        let delay_ms = DELAY.as_millis() as u64;
        assert_eq!(given.len(), MAX_ATTEMPTS, "{given:?}");
        assert!(given[0] <= DEADLINE_MS, "{given:?}");
        assert!(given[1] <= DEADLINE_MS - delay_ms, "{given:?}");
    });
}

#[test]
fn a_host_is_given_the_time_of_the_route_where_the_client_names_none() {
    run_scenario(Setup::DEFAULT, async |world| {
        for (method, path, id) in [("GET", "/r/x", "a1"), ("POST", "/m/x", "a2")] {
            assert!(world.request(method, path, id).await.answers(id));
        }
        for request in world.hosts.requests() {
            let given = time_given(&request);
            assert!(given <= ROUTE_TIMEOUT_MS, "{given}");
        }
    });
}
