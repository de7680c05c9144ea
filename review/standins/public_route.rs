//! Between two tries of one operation, the operator adds a public route that now matches the operation's path. Clients
//! send the same `Api-Key` and the same `Operation-Key` with both tries.

use crate::client::{Answer, Request, send};
use crate::cluster::Cluster;
use crate::host::{Host, HostSetup};
use crate::{Verdict, record};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const OPERATIONS: usize = 10;
const TENANT: &str = "yefi830";
const SERVICE: &str = "liquid-caisse";
/// Past `configuration_apply_s`, so that the new version is in force on both gateways.
const AFTER_CHANGE: Duration = Duration::from_secs(3);
/// `bounds.key_window_s`
const KEY_WINDOW: Duration = Duration::from_secs(60);

/// A configuration with tenants. With `adds_public_route` it has one more route to the same service, with a longer
/// prefix, that needs no key.
fn configuration(version: u32, adds_public_route: bool) -> String {
    let added = if adds_public_route {
        format!(
            r#",["orders-of-pensions","orders.example","/order/pension/","idempotent",2,0.3,0,2,"{SERVICE}",true]"#
        )
    } else {
        String::new()
    };
    format!(
        r#"{{"version":{version},"routes":{{"columns":["name","host","path_prefix","route_kind","timeout_s","target_latency_s","priority","maximum_attempts","service","public"],"rows":[["orders","orders.example","/order/","idempotent",2,0.3,0,2,"{SERVICE}",false]{added}]}},"services":{{"columns":["name","health_check_path","connection_capacity"],"rows":[["{SERVICE}","/health",110]]}},"limits":{{"header_size_bytes":16384,"body_size_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15}},"tenants":{{"columns":["name","api_keys"],"rows":[["{TENANT}",["key-of-yefi"]]]}}}}"#
    )
}

pub fn run(root: &Path, trouble: bool) -> Verdict {
    let cluster = Cluster::start(
        root,
        2,
        &["bounds.revocation_closed=true", "bounds.revocation_s=5"],
    );
    let directors = cluster.directors();
    let hosts: Vec<Arc<Host>> = (1..=3)
        .map(|number| {
            Host::start(HostSetup {
                id: &format!("i-liquid-{number}"),
                service: SERVICE,
                zone: Cluster::zone(number),
                address: cluster.host_address(number),
                directors: &directors,
                work: Duration::from_millis(40),
            })
        })
        .collect();
    if !cluster.put(&configuration(1, false), Duration::from_secs(15))
        || !cluster.wait_until_ready()
    {
        return Verdict::NotRun("the deployment did not become ready".into());
    }
    // The core is settled and all machines are in touch.
    thread::sleep(Duration::from_secs(4));

    let first_sent_at = Instant::now();
    let firsts: Vec<Answer> = (0..OPERATIONS)
        .map(|number| order(&cluster, 1, "first", number))
        .collect();
    if firsts.iter().any(|answer| answer.status != 200) {
        return Verdict::NotRun("an operation was not served".into());
    }
    if !cluster.put(&configuration(2, trouble), Duration::from_secs(5)) {
        return Verdict::NotRun("the second configuration was not acknowledged".into());
    }
    record::say(if trouble {
        "version 2, with one more route, is acknowledged"
    } else {
        "version 2, with the same routes, is acknowledged"
    });
    thread::sleep(AFTER_CHANGE);
    let repeats: Vec<Answer> = (0..OPERATIONS)
        .map(|number| order(&cluster, 2, "again", number))
        .collect();
    if first_sent_at.elapsed() >= KEY_WINDOW {
        return Verdict::NotRun("the key window was over".into());
    }

    let same = firsts
        .iter()
        .zip(&repeats)
        .filter(|(first, repeat)| first == repeat)
        .count();
    let twice = (0..OPERATIONS)
        .filter(|number| runs(&hosts, &key(*number)) > 1)
        .count();
    record::say(&format!(
        "{twice} of {OPERATIONS} operations of tenant {TENANT} ran twice; {same} repeats got the first answer; {:.1} s from \
         the first try to the end",
        first_sent_at.elapsed().as_secs_f64()
    ));
    if twice > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn key(number: usize) -> String {
    format!("k-{number}")
}

/// Runs of an operation that hosts began for the tenant.
fn runs(hosts: &[Arc<Host>], key: &str) -> usize {
    let of_host = |host: &Arc<Host>| {
        let runs = host.runs.lock().expect("no holder panics");
        runs.iter()
            .filter(|run| run.key == key && run.tenant == TENANT)
            .count()
    };
    hosts.iter().map(of_host).sum()
}

fn order(cluster: &Cluster, gateway: u8, which: &str, number: usize) -> Answer {
    send(&Request {
        gateway: cluster.front(gateway),
        method: "POST",
        host: "orders.example",
        path: "/order/pension/1",
        id: &format!("{which}-{number}"),
        key: &key(number),
        api_key: "key-of-yefi",
        body: b"a binding order",
        deadline: Duration::from_secs(2),
    })
}
