//! The hosts of a service are cut off one after the other, each for `CUT`, and come back as they were. Then a director
//! loses its disk right after it acknowledged a configuration (the closing fault), and the traffic goes on.

use crate::client::{Request, send};
use crate::cluster::Cluster;
use crate::host::{Host, HostSetup};
use crate::{Verdict, record};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Hosts of the service. One at a time is cut off, a fifth of them.
const HOSTS: u8 = 5;
/// Longest `node_cut` of the site file.
const CUT: Duration = Duration::from_millis(5_800);
/// A cut begins this long after a beat of its host, so that the host is silent for longer than a director waits (5.5 s
/// after it, or up to 0.4 s more where the beat came by way of another director).
const BEAT_AGE: Duration = Duration::from_millis(1_200);
const BETWEEN_CUTS: Duration = Duration::from_millis(1_500);
/// `bounds.recovery_s`
const RECOVERY: Duration = Duration::from_secs(15);
/// How long traffic is judged after `recovery_s`.
const JUDGED: Duration = Duration::from_secs(8);
const WIPED: &str = "core-2";
/// `down_s` of a closing fault.
const DOWN: Duration = Duration::from_millis(1_200);

fn configuration(version: u32, timeout_s: f64) -> String {
    format!(
        r#"{{"version":{version},"routes":{{"columns":["name","host","path_prefix","route_kind","timeout_s","target_latency_s","priority","maximum_attempts","service"],"rows":[["reads","reads.example","/read/","read_only",{timeout_s},0.3,0,2,"releves-web"]]}},"services":{{"columns":["name","health_check_path","connection_capacity"],"rows":[["releves-web","/health",110]]}},"limits":{{"header_size_bytes":16384,"body_size_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15}}}}"#
    )
}

/// Counts of the requests since the last look.
#[derive(Default)]
struct Traffic {
    stop: AtomicBool,
    sent: AtomicU64,
    served: AtomicU64,
}

impl Traffic {
    /// Requests sent and served since the last call.
    fn take(&self) -> (u64, u64) {
        (
            self.sent.swap(0, Ordering::SeqCst),
            self.served.swap(0, Ordering::SeqCst),
        )
    }
}

pub fn run(root: &Path, trouble: bool) -> Verdict {
    let mut cluster = Cluster::start(root, 2, &[]);
    let directors = cluster.directors();
    let hosts: Vec<Arc<Host>> = (1..=HOSTS)
        .map(|number| {
            Host::start(HostSetup {
                id: &format!("i-web-{number}"),
                service: "releves-web",
                zone: Cluster::zone(number),
                address: cluster.host_address(number),
                directors: &directors,
                work: Duration::from_millis(20),
            })
        })
        .collect();
    if !cluster.put(&configuration(1, 1.5), Duration::from_secs(15)) || !cluster.wait_until_ready()
    {
        return Verdict::NotRun("the deployment did not become ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    let traffic = Arc::new(Traffic::default());
    let clients: Vec<_> = (1..=2u8)
        .map(|number| {
            let (traffic, front) = (traffic.clone(), cluster.front(number));
            thread::spawn(move || client(&traffic, front, number))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let mut before = traffic.take();
    for host in &hosts {
        if trouble {
            host.wait_for_beat_age(BEAT_AGE);
            record::say(&format!("{} is cut off", host.id));
            host.cut_off(CUT);
        }
        thread::sleep(CUT + BETWEEN_CUTS);
        let (sent, served) = traffic.take();
        record::say(&format!("{served} of {sent} requests served meanwhile"));
        before = (before.0 + sent, before.1 + served);
    }

    if !cluster.put(&configuration(2, 1.4), Duration::from_secs(5)) {
        return Verdict::NotRun("the last configuration was not acknowledged".into());
    }
    cluster.signal(WIPED, 9);
    cluster.wait(WIPED, Duration::from_secs(1));
    cluster.wipe(WIPED);
    thread::sleep(DOWN);
    cluster.restart(WIPED);
    record::say(&format!("{WIPED} is back with an empty disk"));
    thread::sleep(RECOVERY);
    traffic.take();
    let beats: Vec<u64> = hosts.iter().map(|host| host.acknowledged_beats()).collect();
    let judged_from = Instant::now();
    thread::sleep(JUDGED);
    let (sent, served) = traffic.take();
    let beats_since: Vec<u64> = hosts
        .iter()
        .zip(&beats)
        .map(|(host, before)| host.acknowledged_beats() - before)
        .collect();
    traffic.stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    record::say(&format!(
        "before the closing fault {} of {} requests were served; later than recovery_s after it {served} of {sent} in {:.1} s; \
         beats of the hosts that were acknowledged meanwhile: {beats_since:?}",
        before.1,
        before.0,
        judged_from.elapsed().as_secs_f64()
    ));
    if before.1 * 4 < before.0 || sent == 0 {
        return Verdict::NotRun("too little was served before the closing fault".into());
    }
    if served * 4 < sent {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn client(traffic: &Traffic, gateway: std::net::SocketAddr, number: u8) {
    let mut count = 0;
    while !traffic.stop.load(Ordering::SeqCst) {
        count += 1;
        let answer = send(&Request {
            gateway,
            method: "GET",
            host: "reads.example",
            path: "/read/1",
            id: &format!("r-{number}-{count}"),
            key: "",
            api_key: "",
            body: b"",
            deadline: Duration::from_millis(1_500),
        });
        traffic.sent.fetch_add(1, Ordering::SeqCst);
        traffic
            .served
            .fetch_add(u64::from(answer.status == 200), Ordering::SeqCst);
        thread::sleep(Duration::from_millis(50));
    }
}
