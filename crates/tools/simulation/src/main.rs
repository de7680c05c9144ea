//! `rushcourse-simulation`: proofs on a fake clock.

use argh::FromArgs;
use rushcourse_simulation::cost::{self, Cost};
use rushcourse_simulation::prove::{Proof, prove};
use std::process::ExitCode;
use std::time::Duration;

/// Proofs of the director on a fake clock. Exit codes: 0 it holds, 1 it does not.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    ProveGrpc(ProveGrpc),
    ProveSize(ProveSize),
}

/// Plays the same scripts over the platform's protocol, both kinds of discovery streams and a mix, and compares.
#[derive(FromArgs)]
#[argh(subcommand, name = "prove-grpc")]
struct ProveGrpc {
    /// how many scripts
    #[argh(option, default = "240")]
    scripts: u64,
    /// the first script's seed
    #[argh(option, default = "1")]
    seed: u64,
    /// how many faults to name
    #[argh(option, default = "20")]
    lines: usize,
}

/// What a round, a report and a joining cost by proxies and hosts; holds if a joining looks at no whole fleet.
#[derive(FromArgs)]
#[argh(subcommand, name = "prove-size")]
struct ProveSize {}

/// Proxies and updates that a join between rounds may examine, whatever the fleet.
const MAX_EXAMINED_FOR_JOIN: u64 = 30;
/// Sizes of the fleet that are measured.
const PROXIES: [u32; 3] = [60, 480, 2400];
const HOSTS: [usize; 4] = [20, 60, 120, 200];

fn prove_size() -> bool {
    println!("proxies hosts  round us  report us  joining us  looks a round  looks a joining");
    let sizes = PROXIES
        .into_iter()
        .flat_map(|proxies| HOSTS.map(|hosts| (proxies, hosts)));
    let costs: Vec<Cost> = sizes
        .map(|(proxies, hosts)| cost::measure(proxies, hosts))
        .collect();
    costs.iter().for_each(print_cost);
    costs
        .iter()
        .all(|cost| cost.examined_for_join <= MAX_EXAMINED_FOR_JOIN)
}

fn print_cost(cost: &Cost) {
    let microseconds = |duration: Duration| duration.as_secs_f64() * 1e6;
    println!(
        "{:7} {:5} {:9.0} {:10.2} {:11.1} {:14} {:16}",
        cost.proxies,
        cost.hosts,
        microseconds(cost.round),
        microseconds(cost.report),
        microseconds(cost.join),
        cost.examined_in_round,
        cost.examined_for_join
    );
}

fn prove_grpc(asked: &ProveGrpc) -> bool {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    let proof = prove(asked.seed..asked.seed + asked.scripts, threads);
    print_proof(&proof, asked.lines);
    proof.holds() && proof.scripts > 0
}

fn print_proof(proof: &Proof, max_faults: usize) {
    println!("scripts {}, runs {}", proof.scripts, proof.runs);
    println!("played: {:?}", proof.events);
    println!("messages to proxies: {:?}", proof.messages);
    println!(
        "tables made from nothing, compared to the unit: {}, lines {}",
        proof.fresh.tables, proof.fresh.hosts
    );
    println!(
        "tables after all that happened: {}, lines {}",
        proof.grown.tables, proof.grown.hosts
    );
    println!(
        "  of them off by less than an order is worth: {} lines; by a zone's factor: {} tables",
        proof.near_weights, proof.other_factors
    );
    println!("tables that differ: {}", proof.differing.len());
    println!(
        "rule checks {:?}, broken {}",
        proof.checks,
        proof.violations.len()
    );
    println!("scripts with other verdicts {}", proof.other_verdicts.len());
    for fault in proof.faults().take(max_faults) {
        println!("  {fault}");
    }
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let holds = match arguments.command {
        Command::ProveGrpc(asked) => prove_grpc(&asked),
        Command::ProveSize(_) => prove_size(),
    };
    if holds {
        println!("it holds");
        ExitCode::SUCCESS
    } else {
        println!("it does not hold");
        ExitCode::FAILURE
    }
}
