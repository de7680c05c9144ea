//! Command line of `rushcourse-simulation`.

use argh::FromArgs;
use rushcourse_simulation::cost::{self, Cost};
use rushcourse_simulation::suite::{SuiteResult, run_suite};
use std::process::ExitCode;
use std::time::Duration;

/// Verifies the director on a fake clock. Exit codes: 0 if all checks pass, 1 otherwise.
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

/// Runs each script over the platform's relay, both kinds of discovery streams and a mix, and compares the tables.
#[derive(FromArgs)]
#[argh(subcommand, name = "prove-grpc")]
struct ProveGrpc {
    /// number of scripts
    #[argh(option, default = "240")]
    scripts: u64,
    /// seed of the first script; the others follow in sequence
    #[argh(option, default = "1")]
    seed: u64,
    /// maximum number of failures to print
    #[argh(option, default = "20")]
    lines: usize,
}

/// Measures the cost of a round, a report and a join by number of proxies and hosts. Fails if the work for a join grows
/// with the fleet.
#[derive(FromArgs)]
#[argh(subcommand, name = "prove-size")]
struct ProveSize {}

/// Maximum number of proxies and updates that a join between rounds may examine, independent of the fleet's size.
const MAX_EXAMINED_FOR_JOIN: u64 = 30;
/// Numbers of proxies for which the cost is measured, each with every number of hosts.
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
        microseconds(cost.round_time),
        microseconds(cost.report_time),
        microseconds(cost.join_time),
        cost.examined_in_round,
        cost.examined_for_join
    );
}

fn prove_grpc(options: &ProveGrpc) -> bool {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    let result = run_suite(options.seed..options.seed + options.scripts, threads);
    print_result(&result, options.lines);
    result.passes() && result.scripts > 0
}

fn print_result(result: &SuiteResult, max_failures: usize) {
    println!("scripts {}, runs {}", result.scripts, result.runs);
    println!("played: {:?}", result.events);
    println!("messages to proxies: {:?}", result.messages);
    println!(
        "tables after the final restart, compared exactly: {}, hosts {}",
        result.after_restart.tables, result.after_restart.hosts
    );
    println!(
        "tables before the final restart: {}, hosts {}",
        result.before_restart.tables, result.before_restart.hosts
    );
    println!(
        "  with weight differences within tolerance: {} hosts; with rescaled cross-zone weights: {} tables",
        result.tolerated_weights, result.rescaled_tables
    );
    println!("tables that differ: {}", result.table_mismatches.len());
    println!(
        "rule checks {:?}, violations {}",
        result.checks,
        result.violations.len()
    );
    println!("runs with rule mismatches {}", result.rule_mismatches.len());
    for failure in result.failures().take(max_failures) {
        println!("  {failure}");
    }
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let passes = match arguments.command {
        Command::ProveGrpc(options) => prove_grpc(&options),
        Command::ProveSize(_) => prove_size(),
    };
    if passes {
        println!("all checks passed");
        ExitCode::SUCCESS
    } else {
        println!("some checks failed");
        ExitCode::FAILURE
    }
}
