//! Starts the project's own programs as a small deployment on loopback, plays one case on it and judges it by what the
//! stand-ins of clients, hosts and the operator have seen.
//!
//! Usage: `standins CASE FOLDER`, at the root of the repository. Writes `record.txt` into FOLDER. Exits with 1 if the
//! rule was broken, 0 if it held, 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod client;
mod cluster;
mod host;
mod http;
mod record;
mod restarted_gateway;

mod public_route;
mod silent_hosts;

use std::panic::catch_unwind;
use std::path::{Path, PathBuf};
use std::process::exit;
use std::thread;
use std::time::Duration;

/// What a case has shown.
pub enum Verdict {
    Broken,
    Held,
    /// The case could not run, for this reason.
    NotRun(String),
}

/// Longest time of a case.
const CASE_LIMIT: Duration = Duration::from_secs(115);

type Case = fn(root: &Path, trouble: bool) -> Verdict;

const CASES: [(&str, Case); 3] = [
    ("restarted-gateway", restarted_gateway::run),
    ("public-route", public_route::run),
    ("silent-hosts", silent_hosts::run),
];

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: standins CASE FOLDER");
        exit(2);
    };
    let Some((_, case)) = CASES.iter().find(|(known, _)| known == name) else {
        eprintln!("no case {name}");
        exit(2);
    };
    let root = std::env::current_dir().unwrap_or_else(|_| PathBuf::from("."));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record::open(Path::new(folder));
    record::say(&format!("case {name}, trouble={trouble}"));
    thread::spawn(|| {
        thread::sleep(CASE_LIMIT);
        record::say("not run: the case took too long");
        exit(2);
    });
    // The processes end with the cluster, which the case drops, also while it unwinds.
    let code = match catch_unwind(|| case(&root, trouble)) {
        Ok(Verdict::Broken) => {
            record::say("the rule was BROKEN");
            1
        }
        Ok(Verdict::Held) => {
            record::say("the rule held");
            0
        }
        Ok(Verdict::NotRun(why)) => {
            record::say(&format!("not run: {why}"));
            2
        }
        Err(_) => {
            record::say("not run: the case panicked");
            2
        }
    };
    exit(code);
}
