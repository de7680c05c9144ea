//! `rushcourse-simulation`: proofs on a fake clock.

use argh::FromArgs;
use rushcourse_simulation::cost;
use rushcourse_simulation::prove::{Proof, prove};
use std::process::ExitCode;

/// Proofs of the director on a fake clock. Exit codes: 0 it holds, 1 it does not.
#[derive(FromArgs)]
struct Lab {
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

/// Looks that a joining between rounds may take, whatever the fleet.
const LOOKS_A_JOINING: u64 = 30;

fn prove_size() -> bool {
    println!("proxies hosts  round us  report us  joining us  looks a round  looks a joining");
    let sizes = [60, 480, 2400]
        .into_iter()
        .flat_map(|p| [20, 60, 120, 200].map(|h| (p, h)));
    let costs: Vec<cost::Cost> = sizes.map(|(p, h)| cost::measure(p, h)).collect();
    for c in &costs {
        let us = |d: std::time::Duration| d.as_secs_f64() * 1e6;
        let (round, report, joining) = (us(c.round), us(c.report), us(c.joining));
        let (proxies, hosts) = (c.proxies, c.hosts);
        println!(
            "{proxies:7} {hosts:5} {round:9.0} {report:10.2} {joining:11.1} {:14} {:16}",
            c.looks_round, c.looks_joining
        );
    }
    costs.iter().all(|c| c.looks_joining <= LOOKS_A_JOINING)
}

fn tell(proof: &Proof, most: usize) {
    println!("scripts {}, runs {}", proof.scripts, proof.runs);
    println!("played: {:?}", proof.events);
    println!("messages to proxies: {:?}", proof.messages);
    println!(
        "tables made from nothing, compared to the unit: {}, lines {}",
        proof.tables, proof.lines
    );
    let (tables, lines, near) = (proof.tables_after, proof.lines_after, proof.lines_near);
    println!("tables after all that happened: {tables}, lines {lines}");
    println!(
        "  of them off by less than an order is worth: {near} lines; by a zone's factor: {} tables",
        proof.reaches
    );
    println!("tables that differ: {}", proof.differing.len());
    println!(
        "rule checks {:?}, broken {}",
        proof.checks,
        proof.broken.len()
    );
    println!("scripts with other verdicts {}", proof.verdicts.len());
    for text in proof
        .broken
        .iter()
        .chain(&proof.verdicts)
        .chain(&proof.differing)
        .take(most)
    {
        println!("  {text}");
    }
}

fn main() -> ExitCode {
    let lab: Lab = argh::from_env();
    let asked = match lab.command {
        Command::ProveGrpc(asked) => asked,
        Command::ProveSize(_) => {
            let holds = prove_size();
            println!(
                "{}",
                if holds {
                    "it holds"
                } else {
                    "it does not hold"
                }
            );
            return if holds {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            };
        }
    };
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    let proof = prove(asked.seed..asked.seed + asked.scripts, threads);
    tell(&proof, asked.lines);
    if proof.holds() && proof.scripts > 0 {
        println!("it holds");
        return ExitCode::SUCCESS;
    }
    println!("it does not hold");
    ExitCode::FAILURE
}
