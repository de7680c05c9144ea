//! Which requests are attempts of one operation, across changes of routes, API keys and tenants (rule TWICE in RULES.md).

mod harness;

use harness::tenants::{BAKERY_KEY, BAKERY_SECOND_KEY, GROCER_KEY, UNKNOWN_KEY, WITH_TENANTS};
use harness::{ClientResponse, Harness, Setup, TenantSetup, run_scenario};

/// An attempt of an operation.
struct Attempt {
    path: &'static str,
    api_key: &'static str,
    id: &'static str,
}

impl Attempt {
    /// Sends the attempt with the operation key of all attempts and returns the response.
    async fn send(&self, harness: &Harness) -> ClientResponse {
        let mut client = harness.connect_client().await;
        let headers = format!("Api-Key: {}\r\nOperation-Key: op-1\r\n", self.api_key);
        client
            .send_request("POST", self.path, self.id, &headers, b"")
            .await;
        client.expect_response().await
    }

    /// Expects that the attempt runs.
    async fn expect_run(&self, harness: &Harness) {
        let response = self.send(harness).await;
        assert!(response.is_valid_for(self.id), "{response:?}");
    }

    /// Expects that the attempt doesn't run and gets the response of an earlier one.
    async fn expect_response_of(&self, harness: &Harness, first: &Attempt) {
        let response = self.send(harness).await;
        assert_eq!(
            response.header("response-seal"),
            Some(&*format!("seal-{}", first.id)),
            "{response:?}"
        );
        let requests = harness.hosts.requests();
        let has_run = requests
            .iter()
            .any(|request| request.header_values("attempt-id") == [self.id]);
        assert!(!has_run, "{} runs too", self.id);
    }
}

const BAKERY_ATTEMPT: Attempt = Attempt {
    path: "/k/x",
    api_key: BAKERY_KEY,
    id: "a1",
};
const BAKERY_REPEAT: Attempt = Attempt {
    id: "a2",
    ..BAKERY_ATTEMPT
};
const WITH_PUBLIC_ROUTES: Setup = Setup {
    is_public: true,
    ..WITH_TENANTS
};

/// Guards against TWICE: a repeat was another operation once its route had become public.
#[test]
fn operation_runs_once_though_its_route_becomes_public() {
    run_scenario(WITH_TENANTS, async |harness| {
        BAKERY_ATTEMPT.expect_run(&harness).await;
        harness.replace_configuration(2, WITH_PUBLIC_ROUTES).await;
        BAKERY_REPEAT
            .expect_response_of(&harness, &BAKERY_ATTEMPT)
            .await;
    });
}

/// Guards against TWICE: a repeat was another operation once its route was not public any more.
#[test]
fn operation_runs_once_though_its_route_ceases_to_be_public() {
    run_scenario(WITH_PUBLIC_ROUTES, async |harness| {
        BAKERY_ATTEMPT.expect_run(&harness).await;
        harness.replace_configuration(2, WITH_TENANTS).await;
        BAKERY_REPEAT
            .expect_response_of(&harness, &BAKERY_ATTEMPT)
            .await;
    });
}

/// Guards against TWICE: each API key of a tenant named operations of its own on public routes.
#[test]
fn two_keys_of_a_tenant_name_one_operation_on_a_public_route() {
    run_scenario(WITH_PUBLIC_ROUTES, async |harness| {
        BAKERY_ATTEMPT.expect_run(&harness).await;
        let repeat = Attempt {
            api_key: BAKERY_SECOND_KEY,
            ..BAKERY_REPEAT
        };
        repeat.expect_response_of(&harness, &BAKERY_ATTEMPT).await;
    });
}

/// Guards against TWICE: a repeat was another operation once the configuration had its first tenants, or none any more.
#[test]
fn operation_runs_once_though_the_configuration_gains_or_loses_its_tenants() {
    for (before, after) in [
        (Setup::DEFAULT, WITH_TENANTS),
        (Setup::DEFAULT, WITH_PUBLIC_ROUTES),
        (WITH_TENANTS, Setup::DEFAULT),
    ] {
        run_scenario(before, async |harness| {
            BAKERY_ATTEMPT.expect_run(&harness).await;
            harness.replace_configuration(2, after).await;
            BAKERY_REPEAT
                .expect_response_of(&harness, &BAKERY_ATTEMPT)
                .await;
        });
    }
}

/// Guards against TWICE: a retry after the revocation of its API key was another operation on a public route.
#[test]
fn operation_on_public_route_runs_once_though_its_api_key_is_revoked() {
    run_scenario(WITH_PUBLIC_ROUTES, async |harness| {
        BAKERY_ATTEMPT.expect_run(&harness).await;
        let without_key = Setup {
            tenants: &[TenantSetup {
                name: "bakery",
                api_keys: &[BAKERY_SECOND_KEY],
            }],
            ..WITH_PUBLIC_ROUTES
        };
        harness.replace_configuration(2, without_key).await;
        BAKERY_REPEAT
            .expect_response_of(&harness, &BAKERY_ATTEMPT)
            .await;
    });
}

/// Guards against TWICE: a repeat was another operation once its API key, unknown before, was that of a tenant.
#[test]
fn operation_on_public_route_runs_once_though_its_api_key_becomes_known() {
    run_scenario(WITH_PUBLIC_ROUTES, async |harness| {
        let attempt = Attempt {
            api_key: UNKNOWN_KEY,
            ..BAKERY_ATTEMPT
        };
        attempt.expect_run(&harness).await;
        let with_key = Setup {
            tenants: &[TenantSetup {
                name: "bakery",
                api_keys: &[BAKERY_KEY, UNKNOWN_KEY],
            }],
            ..WITH_PUBLIC_ROUTES
        };
        harness.replace_configuration(2, with_key).await;
        let repeat = Attempt {
            api_key: UNKNOWN_KEY,
            ..BAKERY_REPEAT
        };
        repeat.expect_response_of(&harness, &attempt).await;
    });
}

/// Guards against a tenant that gets the stored response of another tenant's operation, on a public route or once its
/// route is public.
#[test]
fn equal_operation_keys_of_two_tenants_are_two_operations_on_public_routes() {
    let grocer = |id| Attempt {
        api_key: GROCER_KEY,
        id,
        ..BAKERY_ATTEMPT
    };
    for before in [WITH_TENANTS, WITH_PUBLIC_ROUTES, Setup::DEFAULT] {
        run_scenario(before, async |harness| {
            BAKERY_ATTEMPT.expect_run(&harness).await;
            harness.replace_configuration(2, WITH_PUBLIC_ROUTES).await;
            grocer("b1").expect_run(&harness).await;
            grocer("b2")
                .expect_response_of(&harness, &grocer("b1"))
                .await;
        });
    }
}

/// Guards against a tenant that gets the response of the tenant that had its API key before.
#[test]
fn operation_key_names_another_operation_once_the_api_key_is_passed_on() {
    let passed_on = Setup {
        tenants: &[
            TenantSetup {
                name: "bakery",
                api_keys: &[BAKERY_SECOND_KEY],
            },
            TenantSetup {
                name: "grocer",
                api_keys: &[BAKERY_KEY],
            },
        ],
        ..Setup::DEFAULT
    };
    run_scenario(WITH_TENANTS, async |harness| {
        BAKERY_ATTEMPT.expect_run(&harness).await;
        harness.replace_configuration(2, passed_on).await;
        BAKERY_REPEAT.expect_run(&harness).await;
        let repeat = Attempt {
            api_key: BAKERY_SECOND_KEY,
            id: "a3",
            ..BAKERY_ATTEMPT
        };
        repeat.expect_response_of(&harness, &BAKERY_ATTEMPT).await;
    });
}
