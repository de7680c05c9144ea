//! The shedding order is equal on all gateways, sheds reads before writes, and admits more requests at higher levels.

use rushcourse_admission::SheddingOrder;
use rushcourse_config::{Configuration, Route, Tenant, Tenants};

/// A row of the `routes` table in the configuration.
struct RouteRow {
    name: &'static str,
    kind: &'static str,
    /// JSON value: seconds or `null`.
    target_latency: &'static str,
    priority: u32,
    /// Pairs of service name and weight.
    split: &'static [(&'static str, u32)],
}

impl RouteRow {
    fn to_json(&self) -> String {
        let RouteRow {
            name,
            kind,
            target_latency,
            priority,
            split,
        } = self;
        let parts: Vec<String> = split
            .iter()
            .map(|(service, weight)| format!(r#"{{"service":"{service}","weight":{weight}}}"#))
            .collect();
        let split = parts.join(",");
        format!(
            r#"["{name}","h.example","/{name}/","{kind}",2,{target_latency},{priority},[{split}]]"#
        )
    }
}

fn configuration(rows: &[RouteRow]) -> Configuration {
    configuration_with(rows, "")
}

/// Parses a configuration with these routes and further members of the JSON text, each with a leading comma.
fn configuration_with(rows: &[RouteRow], members: &str) -> Configuration {
    let rows: Vec<String> = rows.iter().map(RouteRow::to_json).collect();
    let columns = r#"["name","host","path_prefix","route_kind","timeout_s","target_latency_s","priority","weighted_split"]"#;
    let text = format!(
        r#"{{"version":1,
            "routes":{{"columns":{columns},"rows":[{}]}},
            "services":{{"columns":["name"],"rows":[["a"],["b"]]}},
            "limits":{{"header_size_bytes":16384,"body_size_bytes":1000,"header_timeout_s":3,"idle_timeout_s":15}}{members}}}"#,
        rows.join(",")
    );
    Configuration::parse(text.as_bytes()).expect("a valid configuration")
}

#[rustfmt::skip]
fn shop() -> Configuration {
    configuration(&[
        RouteRow { name: "prices", kind: "read_only", target_latency: "0.4", priority: 2, split: &[("a", 1)] },
        RouteRow { name: "orders", kind: "idempotent", target_latency: "0.3", priority: 0, split: &[("a", 1)] },
        RouteRow { name: "stock", kind: "read_only", target_latency: "0.9", priority: 2, split: &[("a", 1)] },
        RouteRow { name: "holds", kind: "mutating", target_latency: "0.5", priority: 1, split: &[("a", 1), ("b", 1)] },
        RouteRow { name: "statements", kind: "read_only", target_latency: "null", priority: 0, split: &[("a", 9), ("b", 1)] },
        RouteRow { name: "moved", kind: "read_only", target_latency: "0.4", priority: 2, split: &[("a", 0), ("b", 1)] },
    ])
}

/// The routes that send requests to service `a`, in rank order: the first is shed last.
const ROUTES_OF_A: [&str; 5] = ["orders", "holds", "statements", "prices", "stock"];

fn route<'a>(configuration: &'a Configuration, name: &str) -> &'a Route {
    let mut routes = configuration.routes.iter();
    routes.find(|route| route.name == name).expect("a route")
}

fn ranked_names(order: &SheddingOrder) -> Vec<&[String]> {
    let ranks = order.ranks().iter();
    ranks.map(|ranked| ranked.routes.as_slice()).collect()
}

#[test]
fn ranks_order_writes_then_priority_then_target_latency() {
    let at_a = SheddingOrder::for_service(&shop(), "a");
    assert_eq!(ranked_names(&at_a), ROUTES_OF_A.map(|name| [name]));
    assert_eq!((at_a.level_for_all(), at_a.level_for_writes()), (5.0, 2.0));

    let at_b = SheddingOrder::for_service(&shop(), "b");
    assert_eq!(
        ranked_names(&at_b),
        [["holds"], ["statements"], ["moved"]],
        "a split entry with weight 0 sends nothing"
    );
}

#[test]
fn positions_do_not_depend_on_the_order_of_routes_in_the_configuration() {
    let forward = shop();
    let mut reversed = shop();
    reversed.routes.reverse();
    let forward_order = SheddingOrder::for_service(&forward, "a");
    let reversed_order = SheddingOrder::for_service(&reversed, "a");
    for name in ROUTES_OF_A {
        for key in 0..50u32 {
            let request = key.to_be_bytes();
            assert_eq!(
                forward_order.position(route(&forward, name), None, &request),
                reversed_order.position(route(&reversed, name), None, &request),
                "{name} {key}"
            );
        }
    }
}

#[test]
fn higher_levels_admit_a_superset_and_the_admitted_share_follows_the_level() {
    const KEYS: u32 = 4_000;
    let shop = shop();
    let order = SheddingOrder::for_service(&shop, "a");
    for (rank, name) in ROUTES_OF_A.into_iter().enumerate() {
        let admitted_at = |level: f64| -> Vec<u32> {
            let admits =
                |key: &u32| order.admits(level, route(&shop, name), None, &key.to_be_bytes());
            (0..KEYS).filter(admits).collect()
        };
        let mut admitted_before = Vec::new();
        for step in 0..=20 {
            let level = f64::from(step) / 4.0;
            let admitted = admitted_at(level);
            assert!(
                admitted_before
                    .iter()
                    .all(|key| admitted.binary_search(key).is_ok()),
                "{name} at {level}"
            );
            let expected_share = (level - rank as f64).clamp(0.0, 1.0);
            let share = admitted.len() as f64 / f64::from(KEYS);
            assert!(
                (share - expected_share).abs() < 0.03,
                "{name} at level {level}: {} of {KEYS} admitted, expected share {expected_share}",
                admitted.len()
            );
            admitted_before = admitted;
        }
    }
}

#[test]
fn level_for_writes_admits_all_writes_and_no_reads() {
    let shop = shop();
    let order = SheddingOrder::for_service(&shop, "a");
    let admits = |name: &str, key: u32| {
        let level = order.level_for_writes();
        order.admits(level, route(&shop, name), None, &key.to_be_bytes())
    };
    assert!((0..100).all(|key| admits("orders", key)));
    assert!((0..100).all(|key| !admits("prices", key)));
}

/// A gateway with a different configuration version must not shed routes that the order does not contain.
#[test]
fn request_of_an_unknown_rank_is_admitted() {
    let shop = shop();
    let order = SheddingOrder::for_service(&shop, "a");
    assert!(
        order.position(route(&shop, "moved"), None, b"k").is_some(),
        "it has the same rank as `prices`"
    );
    let other = configuration(&[RouteRow {
        name: "new",
        kind: "read_only",
        target_latency: "0.7",
        priority: 9,
        split: &[("a", 1)],
    }]);
    assert!(order.admits(0.0, route(&other, "new"), None, b"k"));
}

/// Tenants with a higher and a lower priority than the routes of [`shop_with_tenants`], and one without.
const TENANTS: &str =
    r#","tenants":{"columns":["name","priority"],"rows":[["high",0],["low",5],["plain",null]]}"#;

#[rustfmt::skip]
fn shop_with_tenants(tenants: &str) -> Configuration {
    configuration_with(&[
        RouteRow { name: "prices", kind: "read_only", target_latency: "0.4", priority: 2, split: &[("a", 1)] },
        RouteRow { name: "orders", kind: "idempotent", target_latency: "0.3", priority: 1, split: &[("a", 1)] },
    ], tenants)
}

fn tenant<'a>(configuration: &'a Configuration, name: &str) -> &'a Tenant {
    let tenants = configuration.tenants.as_ref();
    tenants
        .and_then(|tenants: &Tenants| tenants.named(name))
        .expect("a tenant")
}

/// Returns name of the first route and priority of each rank.
fn ranked_priorities(configuration: &Configuration) -> Vec<(String, u32)> {
    let order = SheddingOrder::for_service(configuration, "a");
    let ranks = order.ranks().iter();
    ranks
        .map(|ranked| (ranked.routes[0].clone(), ranked.rank.priority))
        .collect()
}

#[test]
fn priority_of_the_tenant_replaces_that_of_the_route() {
    let shop = shop_with_tenants(TENANTS);
    let expected = [
        ("orders", 0),
        ("orders", 1),
        ("orders", 5),
        ("prices", 0),
        ("prices", 2),
        ("prices", 5),
    ];
    assert_eq!(
        ranked_priorities(&shop),
        expected.map(|(name, priority)| (name.to_string(), priority))
    );

    let order = SheddingOrder::for_service(&shop, "a");
    let rank = |route_name: &str, tenant_name: &str| {
        let tenant = tenant(&shop, tenant_name);
        let position = order.position(route(&shop, route_name), Some(tenant), b"k");
        position.map(f64::trunc)
    };
    assert_eq!(
        ["high", "plain", "low"].map(|name| rank("orders", name)),
        [Some(0.0), Some(1.0), Some(2.0)]
    );
    assert_eq!(
        ["high", "plain", "low"].map(|name| rank("prices", name)),
        [Some(3.0), Some(4.0), Some(5.0)]
    );
    let prices = route(&shop, "prices");
    assert!(order.admits(5.0, prices, Some(tenant(&shop, "plain")), b"k"));
    assert!(!order.admits(5.0, prices, Some(tenant(&shop, "low")), b"k"));
}

#[test]
fn route_has_no_rank_of_its_own_priority_that_no_request_has() {
    let tenants = r#","tenants":{"columns":["name","priority"],"rows":[["high",0],["low",5]]}"#;
    let shop = shop_with_tenants(tenants);
    let priorities: Vec<u32> = ranked_priorities(&shop)
        .into_iter()
        .map(|(_, priority)| priority)
        .collect();
    assert_eq!(priorities, [0, 5, 0, 5]);

    let without_rows = shop_with_tenants(r#","tenants":{"columns":["name"],"rows":[]}"#);
    let own = [("orders".to_string(), 1), ("prices".to_string(), 2)];
    assert_eq!(ranked_priorities(&without_rows), own);

    let mut public = shop_with_tenants(tenants);
    public.routes[0].is_public = true;
    let of_prices: Vec<u32> = ranked_priorities(&public)
        .into_iter()
        .filter_map(|(name, priority)| (name == "prices").then_some(priority))
        .collect();
    assert_eq!(of_prices, [0, 2, 5], "without a key, the route's priority");
}
