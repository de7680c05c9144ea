//! A gateway gets SIGTERM and is started again, as in a restart of all machines in turn. Clients then send operations
//! again that it had answered with success, to any gateway. By then all of them have been in touch for a while.

use crate::client::{Answer, Request, send, send_again};
use crate::cluster::Cluster;
use crate::host::{Host, HostSetup};
use crate::{Verdict, record};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const CONFIGURATION: &str = r#"{"version":1,"routes":{"columns":["name","host","path_prefix","route_kind","timeout_s","target_latency_s","priority","maximum_attempts","service"],"rows":[["orders","orders.example","/order/","idempotent",2,0.3,0,2,"liquid-caisse"]]},"services":{"columns":["name","health_check_path","connection_capacity"],"rows":[["liquid-caisse","/health",110]]},"limits":{"header_size_bytes":16384,"body_size_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15}}"#;
/// Operations that the gateway answers before it leaves.
const OPERATIONS: usize = 20;
/// The rule allows this many keys.
const ALLOWED_KEYS: usize = 3;
/// From the last answer to the SIGTERM: the gateway stays in touch for more than two seconds after its answers.
const QUIET: Duration = Duration::from_secs(6);
const DEADLINE: Duration = Duration::from_secs(2);
/// `bounds.key_window_s`
const KEY_WINDOW: Duration = Duration::from_secs(60);
const RESTARTED: &str = "frontend-1";
const GATEWAYS: u8 = 3;
/// The platform starts a process again after a short delay.
const DOWN: Duration = Duration::from_millis(500);
/// From the start of the gateway to the repeats: twice `bounds.in_touch_s`.
const BACK: Duration = Duration::from_secs(6);

pub fn run(root: &Path, trouble: bool) -> Verdict {
    let mut cluster = Cluster::start(root, GATEWAYS, &[]);
    let directors = cluster.directors();
    let hosts: Vec<Arc<Host>> = (1..=3)
        .map(|number| {
            Host::start(HostSetup {
                id: &format!("i-liquid-{number}"),
                service: "liquid-caisse",
                zone: Cluster::zone(number),
                address: cluster.host_address(number),
                directors: &directors,
                work: Duration::from_millis(40),
            })
        })
        .collect();
    if !cluster.put(CONFIGURATION, Duration::from_secs(15)) || !cluster.wait_until_ready() {
        return Verdict::NotRun("the deployment did not become ready".into());
    }
    thread::sleep(Duration::from_secs(4));

    let first_sent_at = Instant::now();
    let mut firsts: BTreeMap<String, Answer> = BTreeMap::new();
    for number in 0..OPERATIONS {
        let key = format!("k-{number}");
        let answer = send(&order(cluster.front(1), &format!("first-{number}"), &key));
        if answer.status == 200 {
            firsts.insert(key, answer);
        }
    }
    record::say(&format!(
        "{} of {OPERATIONS} operations answered with success by {RESTARTED}",
        firsts.len()
    ));
    if firsts.len() <= ALLOWED_KEYS {
        return Verdict::NotRun("too few operations were served".into());
    }
    thread::sleep(QUIET);
    if trouble {
        cluster.signal(RESTARTED, 15);
        // The platform kills it after `grace_period_s`.
        if !cluster.wait(RESTARTED, Duration::from_secs(6)) {
            cluster.signal(RESTARTED, 9);
            cluster.wait(RESTARTED, Duration::from_secs(1));
        }
        thread::sleep(DOWN);
        cluster.restart(RESTARTED);
    }
    // All gateways and the core are in touch again: the last start was longer ago than `in_touch_s`.
    thread::sleep(BACK);
    if !cluster.wait_until_ready() {
        return Verdict::NotRun("the gateways did not become ready again".into());
    }

    let repeats: Vec<_> = firsts
        .into_iter()
        .enumerate()
        .map(|(number, (key, first))| {
            let gateways: Vec<SocketAddr> = (0..GATEWAYS)
                .map(|further| cluster.front(1 + (number as u8 + further) % GATEWAYS))
                .collect();
            thread::spawn(move || {
                let id = format!("again-{number}");
                let answers = send_again(&order(gateways[0], &id, &key), &gateways);
                Repeat::new(key, &first, &answers)
            })
        })
        .collect();
    let repeats: Vec<Repeat> = repeats
        .into_iter()
        .map(|repeat| repeat.join().expect("no client panics"))
        .collect();
    for repeat in &repeats {
        record::line(&format!("{repeat:?}"));
    }
    let wrong = repeats.iter().filter(|repeat| repeat.conflicts > 0).count();
    let answered = repeats
        .iter()
        .filter(|repeat| repeat.got_first_answer)
        .count();
    let elapsed = first_sent_at.elapsed();
    let runs: usize = hosts
        .iter()
        .map(|host| host.runs.lock().expect("no holder panics").len())
        .sum();
    record::say(&format!(
        "of {} keys sent again {answered} got the first answer and {wrong} got 409 at a try, {:.1} s after the first \
         try; runs at hosts: {runs}",
        repeats.len(),
        elapsed.as_secs_f64()
    ));
    if elapsed >= KEY_WINDOW {
        return Verdict::NotRun("the key window was over".into());
    }
    if wrong > ALLOWED_KEYS {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// How an operation fared that was sent again.
#[derive(Debug)]
struct Repeat {
    _key: String,
    got_first_answer: bool,
    /// Tries that were answered 409.
    conflicts: usize,
}

impl Repeat {
    fn new(key: String, first: &Answer, answers: &[Answer]) -> Repeat {
        Repeat {
            _key: key,
            got_first_answer: answers.iter().any(|answer| {
                answer.status == 200 && answer.seal == first.seal && answer.body == first.body
            }),
            conflicts: answers.iter().filter(|answer| answer.status == 409).count(),
        }
    }
}

fn order<'a>(gateway: SocketAddr, id: &'a str, key: &'a str) -> Request<'a> {
    Request {
        gateway,
        method: "POST",
        host: "orders.example",
        path: "/order/1",
        id,
        key,
        api_key: "",
        body: b"a binding order",
        deadline: DEADLINE,
    }
}
