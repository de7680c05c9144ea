//! Where the configuration has tenants, a request needs the API key of one of them, unless its route is public; all
//! others are answered with 401 and reach no host (rule ROUTE in RULES.md).

mod harness;

use harness::{ClientResponse, Harness, Setup, TenantSetup, run_scenario};

const BAKERY_KEY: &str = "bakery-key-7f21";
const GROCER_KEY: &str = "grocer-key-b3a8";
/// A key that grocer gets in a newer configuration.
const NEW_GROCER_KEY: &str = "grocer-key-41c9";

const BAKERY: TenantSetup = TenantSetup {
    name: "bakery",
    api_keys: &[BAKERY_KEY],
};
const WITH_TENANTS: Setup = Setup {
    tenants: &[
        BAKERY,
        TenantSetup {
            name: "grocer",
            api_keys: &[GROCER_KEY],
        },
    ],
    ..Setup::DEFAULT
};
/// [`WITH_TENANTS`] after another key has replaced grocer's.
const WITH_REPLACED_KEY: Setup = Setup {
    tenants: &[
        BAKERY,
        TenantSetup {
            name: "grocer",
            api_keys: &[NEW_GROCER_KEY],
        },
    ],
    ..Setup::DEFAULT
};

/// Sends a request with these headers and returns the response.
async fn send(
    harness: &Harness,
    method: &str,
    path: &str,
    id: &str,
    headers: &str,
) -> ClientResponse {
    let mut client = harness.connect_client().await;
    client.send_request(method, path, id, headers, b"").await;
    client.expect_response().await
}

fn api_key(key: &str) -> String {
    format!("Api-Key: {key}\r\n")
}

/// Expects that the gateway answered with 401 and this reason, and that no host received the request.
fn assert_unauthorized(harness: &Harness, response: &ClientResponse, id: &str, reason: &str) {
    assert_eq!(response.status, 401, "{id}: {response:?}");
    assert_eq!(
        response.body,
        format!("{reason}\n").as_bytes(),
        "{id}: {response:?}"
    );
    assert_eq!(response.header("response-seal"), None, "{id}");
    assert_eq!(response.header("retry-after"), None, "{id}");
    assert_eq!(harness.hosts.request_count(id), 0, "{id}");
}

async fn expect_unauthorized(harness: &Harness, id: &str, headers: &str, reason: &str) {
    let response = send(harness, "GET", "/r/x", id, headers).await;
    assert_unauthorized(harness, &response, id, reason);
}

async fn expect_served(harness: &Harness, path: &str, id: &str, headers: &str) {
    let response = send(harness, "GET", path, id, headers).await;
    assert!(response.is_valid_for(id), "{id}: {response:?}");
}

/// Guards against requests that run under a key that no configuration ever held.
#[test]
fn unknown_key_is_answered_with_401_on_all_kinds_of_routes() {
    run_scenario(WITH_TENANTS, async |harness| {
        let headers = api_key("unknown-key-55d0") + "Operation-Key: k1\r\n";
        for (method, path, id) in [
            ("GET", "/r/x", "a1"),
            ("POST", "/m/x", "a2"),
            ("POST", "/k/x", "a3"),
        ] {
            let response = send(&harness, method, path, id, &headers).await;
            assert_unauthorized(&harness, &response, id, "unknown api key");
            assert_eq!(response.header("www-authenticate"), Some("ApiKey"), "{id}");
        }
    });
}

/// Guards against keys that are accepted because they resemble a known one.
#[test]
fn keys_that_resemble_a_known_key_are_unknown() {
    run_scenario(WITH_TENANTS, async |harness| {
        for (id, key) in [
            ("a1", "bakery-key-7f2"),
            ("a2", "bakery-key-7f211"),
            ("a3", "BAKERY-KEY-7F21"),
            ("a4", "bakery"),
            ("a5", "bakery-key-7f21, bakery-key-7f21"),
            ("a6", "Bearer bakery-key-7f21"),
            ("a7", "bakery-key-7f21\u{e9}"),
        ] {
            expect_unauthorized(&harness, id, &api_key(key), "unknown api key").await;
        }
    });
}

/// Guards against requests without a key that run.
#[test]
fn missing_key_is_answered_with_401() {
    run_scenario(WITH_TENANTS, async |harness| {
        expect_unauthorized(&harness, "a1", "", "no api key").await;
        let other_headers = format!("Tenant-Name: bakery\r\nAuthorization: {BAKERY_KEY}\r\n");
        expect_unauthorized(&harness, "a2", &other_headers, "no api key").await;
    });
}

/// Guards against requests with an empty key that run.
#[test]
fn empty_key_is_answered_with_401() {
    run_scenario(WITH_TENANTS, async |harness| {
        for (id, headers) in [("a1", "Api-Key:\r\n"), ("a2", "Api-Key:   \r\n")] {
            expect_unauthorized(&harness, id, headers, "unknown api key").await;
        }
    });
}

/// Guards against a request that runs for one tenant and is accounted to another, or whose unknown key goes unnoticed.
#[test]
fn repeated_key_is_answered_with_401() {
    run_scenario(WITH_TENANTS, async |harness| {
        for (id, keys) in [
            ("a1", [BAKERY_KEY, GROCER_KEY]),
            ("a2", [BAKERY_KEY, BAKERY_KEY]),
            ("a3", [BAKERY_KEY, "unknown-key-55d0"]),
        ] {
            let headers = keys.map(api_key).concat();
            expect_unauthorized(&harness, id, &headers, "repeated api key").await;
        }
    });
}

#[test]
fn known_keys_are_accepted() {
    run_scenario(WITH_TENANTS, async |harness| {
        expect_served(&harness, "/r/x", "a1", &api_key(BAKERY_KEY)).await;
        expect_served(&harness, "/r/x", "a2", &api_key(GROCER_KEY)).await;
        let other_case = format!("aPI-kEY: {BAKERY_KEY}\r\n");
        expect_served(&harness, "/r/x", "a3", &other_case).await;
    });
}

#[test]
fn public_route_accepts_requests_with_any_key_or_none() {
    run_scenario(WITH_TENANTS, async |harness| {
        expect_served(&harness, "/p/x", "a1", "").await;
        expect_served(&harness, "/p/x", "a2", &api_key("unknown-key-55d0")).await;
        expect_served(&harness, "/p/x", "a3", &api_key(BAKERY_KEY)).await;
        let repeated = [BAKERY_KEY, GROCER_KEY].map(api_key).concat();
        expect_served(&harness, "/p/x", "a4", &repeated).await;
    });
}

#[test]
fn configuration_without_tenants_accepts_any_key_or_none() {
    run_scenario(Setup::DEFAULT, async |harness| {
        expect_served(&harness, "/r/x", "a1", "").await;
        expect_served(&harness, "/r/x", "a2", &api_key("unknown-key-55d0")).await;
        let repeated = [BAKERY_KEY, GROCER_KEY].map(api_key).concat();
        expect_served(&harness, "/r/x", "a3", &repeated).await;
    });
}

#[test]
fn request_without_route_is_answered_with_404_whatever_its_key() {
    run_scenario(WITH_TENANTS, async |harness| {
        for (id, headers) in [("a1", ""), ("a2", &*api_key(BAKERY_KEY))] {
            let response = send(&harness, "GET", "/none/x", id, headers).await;
            assert_eq!(response.status, 404, "{id}: {response:?}");
        }
    });
}

/// Guards against a key that a newer configuration removed and that is still accepted, on open connections too.
#[test]
fn newer_configuration_adds_and_removes_keys() {
    run_scenario(WITH_TENANTS, async |harness| {
        let mut client = harness.connect_client().await;
        let headers = api_key(GROCER_KEY);
        client
            .send_request("GET", "/r/x", "a1", &headers, b"")
            .await;
        assert!(client.expect_response().await.is_valid_for("a1"));
        expect_unauthorized(&harness, "a2", &api_key(NEW_GROCER_KEY), "unknown api key").await;

        harness.replace_configuration(2, WITH_REPLACED_KEY).await;

        client
            .send_request("GET", "/r/x", "a3", &headers, b"")
            .await;
        let response = client.expect_response().await;
        assert_unauthorized(&harness, &response, "a3", "unknown api key");
        expect_served(&harness, "/r/x", "a4", &api_key(NEW_GROCER_KEY)).await;
        expect_served(&harness, "/r/x", "a5", &api_key(BAKERY_KEY)).await;
    });
}

/// Guards against a system that stays open, or closed, after tenants are introduced or abolished.
#[test]
fn newer_configuration_introduces_and_abolishes_tenants() {
    run_scenario(Setup::DEFAULT, async |harness| {
        expect_served(&harness, "/r/x", "a1", "").await;
        harness.replace_configuration(2, WITH_TENANTS).await;
        expect_unauthorized(&harness, "a2", "", "no api key").await;
        harness.replace_configuration(3, Setup::DEFAULT).await;
        expect_served(&harness, "/r/x", "a3", "").await;
    });
}

/// Guards against keys in the gateway's log and in its responses.
#[test]
fn rejected_key_is_neither_logged_nor_echoed() {
    run_scenario(WITH_TENANTS, async |harness| {
        let key = "unknown-key-55d0";
        let response = send(&harness, "GET", "/r/x", "a1", &api_key(key)).await;
        assert_eq!(response.status, 401, "{response:?}");
        let answer = response.head.clone() + &String::from_utf8_lossy(&response.body);
        assert!(!answer.contains(key), "{answer}");
        let log = harness.gateway_log();
        assert!(!log.contains(key) && !log.contains(BAKERY_KEY), "{log}");
    });
}
