//! Where revocation is bounded, a gateway accepts API keys only under a lease on its configuration, which controllers
//! renew. A gateway that none of them confirms a version to must not serve keys that may have been revoked.

mod harness;

use harness::{
    Client, ClientResponse, Harness, Setup, TenantSetup, pause, run_scenario, wait_until,
};
use std::time::Duration;
use tokio::time::Instant;

const REVOCATION: Duration = Duration::from_secs(1);
const TENANTS: &[TenantSetup] = &[TenantSetup {
    name: "t1",
    api_keys: &["key-1", "key-2"],
}];
const BOUNDED: Setup = Setup {
    tenants: TENANTS,
    revocation: Some(REVOCATION),
    ..Setup::DEFAULT
};
/// A lease that controllers renew is held again within this time.
const RENEWAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends a GET request with the tenant's API key to the read-only route.
async fn send_with_api_key(client: &mut Client, id: &str) {
    let headers = "Api-Key: key-1\r\n";
    client.send_request("GET", "/r/x", id, headers, b"").await;
}

/// Sends a request with the tenant's API key on a new connection and returns the response.
async fn request_with_api_key(harness: &Harness, id: &str) -> ClientResponse {
    let mut client = harness.connect_client().await;
    send_with_api_key(&mut client, id).await;
    client.expect_response().await
}

/// Polls the readiness endpoint until it gives the expected answer. Panics after [`RENEWAL_TIMEOUT`].
async fn wait_until_readiness_is(harness: &Harness, is_ready: bool) {
    let end = Instant::now() + RENEWAL_TIMEOUT;
    while harness.is_gateway_ready().await != is_ready {
        assert!(Instant::now() < end, "readiness becomes {is_ready}");
        pause(Duration::from_millis(20)).await;
    }
}

/// Sends requests with the API key until one is served. Panics after [`RENEWAL_TIMEOUT`].
async fn wait_until_served(harness: &Harness) {
    let end = Instant::now() + RENEWAL_TIMEOUT;
    while request_with_api_key(harness, "renewed").await.status != 200 {
        assert!(Instant::now() < end, "the key is accepted again");
        pause(Duration::from_millis(20)).await;
    }
}

/// Guards against CONFIG: a gateway cut off from every majority went on accepting a revoked key for ever.
#[test]
fn keys_are_refused_within_the_bound_after_the_last_confirmation() {
    run_scenario(BOUNDED, async |harness| {
        wait_until_served(&harness).await;

        harness.controllers.set_confirming(false);
        pause(REVOCATION).await;
        let response = request_with_api_key(&harness, "a2").await;
        assert_eq!(response.status, 503);
        assert!(response.header("retry-after").is_some(), "{response:?}");
        wait_until_readiness_is(&harness, false).await;
        assert_eq!(harness.hosts.request_count("a2"), 0);

        harness.controllers.set_confirming(true);
        wait_until_served(&harness).await;
        wait_until_readiness_is(&harness, true).await;
    });
}

/// Guards against CONFIG: a gateway that was frozen served a request with a key that was revoked meanwhile.
#[test]
fn thawed_gateway_refuses_keys_until_it_has_a_new_lease() {
    run_scenario(BOUNDED, async |harness| {
        wait_until_served(&harness).await;
        let mut client = harness.connect_client().await;

        harness.suspend_gateway().await;
        harness.controllers.set_confirming(false);
        pause(REVOCATION).await;
        send_with_api_key(&mut client, "a2").await;
        harness.resume_gateway();

        assert_eq!(client.expect_response().await.status, 503);
        assert_eq!(harness.hosts.request_count("a2"), 0);

        harness.controllers.set_confirming(true);
        wait_until_served(&harness).await;
    });
}

/// Guards against CONFIG: a newer version that a gateway has not received yet may have revoked the key.
#[test]
fn confirmation_of_a_version_not_received_does_not_extend_the_lease() {
    run_scenario(BOUNDED, async |harness| {
        wait_until_served(&harness).await;

        harness.controllers.confirm_newer_version();
        pause(REVOCATION).await;
        assert_eq!(request_with_api_key(&harness, "a2").await.status, 503);
    });
}

#[test]
fn renewed_lease_is_held_beyond_the_bound() {
    run_scenario(BOUNDED, async |harness| {
        pause(2 * REVOCATION).await;
        wait_until_served(&harness).await;
    });
}

/// The bound counts from the time at which the client sent the request, so the end of the lease does not interrupt it.
#[test]
fn request_that_arrived_under_a_lease_is_served_after_its_end() {
    run_scenario(BOUNDED, async |harness| {
        wait_until_served(&harness).await;
        let released = harness.hosts.delay_next();
        let mut client = harness.connect_client().await;
        send_with_api_key(&mut client, "a1").await;
        wait_until("the host receives the request", || {
            harness.hosts.request_count("a1") == 1
        })
        .await;

        harness.controllers.set_confirming(false);
        pause(REVOCATION).await;
        released.notify();
        assert!(client.expect_response().await.is_valid_for("a1"));
    });
}

#[test]
fn public_route_needs_no_lease() {
    run_scenario(BOUNDED, async |harness| {
        harness.controllers.set_confirming(false);
        pause(REVOCATION).await;
        assert_eq!(harness.request("GET", "/p/x", "a1").await.status, 200);
    });
}

#[test]
fn without_bound_on_revocation_no_lease_is_needed() {
    let unbounded = Setup {
        revocation: None,
        ..BOUNDED
    };
    run_scenario(unbounded, async |harness| {
        harness.controllers.set_confirming(false);
        pause(REVOCATION).await;
        assert_eq!(request_with_api_key(&harness, "a1").await.status, 200);
        assert!(harness.is_gateway_ready().await);
    });
}

/// Guards against UNASKED: without a lease, a gateway named the tenant of a key that may have been revoked to hosts of
/// a public route, for ever.
#[test]
fn public_route_names_no_tenant_without_a_lease() {
    run_scenario(BOUNDED, async |harness| {
        wait_until_served(&harness).await;
        harness.controllers.set_confirming(false);
        pause(REVOCATION).await;
        let mut client = harness.connect_client().await;
        let headers = "Api-Key: key-1\r\n";
        client.send_request("GET", "/p/x", "a1", headers, b"").await;
        client.expect_response().await;
        if harness.hosts.request_count("a1") > 0 {
            let request = harness.hosts.request("a1");
            assert_eq!(request.header_values("tenant-name"), [""; 0]);
        }
    });
}

/// Guards against TWICE: without a lease the tenant of a key counted as unknown, and its other keys named operations of
/// their own on public routes.
#[test]
fn operation_on_public_route_runs_once_for_all_keys_of_its_tenant_without_a_lease() {
    run_scenario(BOUNDED, async |harness| {
        wait_until_served(&harness).await;
        let runs_before = harness.hosts.requests().len();
        let mut responses = Vec::new();
        for (id, api_key) in [("a1", "key-1"), ("a2", "key-2")] {
            let mut client = harness.connect_client().await;
            let headers = format!("Api-Key: {api_key}\r\nOperation-Key: k1\r\n");
            client.send_request("POST", "/q/x", id, &headers, b"").await;
            responses.push(client.expect_response().await);
            harness.controllers.set_confirming(false);
            pause(REVOCATION).await;
        }
        let seals = responses
            .iter()
            .map(|response| response.header("response-seal"));
        assert!(
            seals.eq([Some("seal-a1"), Some("seal-a1")]),
            "{responses:?}"
        );
        assert_eq!(harness.hosts.requests().len(), runs_before + 1);
    });
}
