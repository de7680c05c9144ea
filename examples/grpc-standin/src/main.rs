//! A toy relay and a toy host over gRPC around a director, for a first look, and figures of a director's process.

use argh::FromArgs;
use rushcourse_grpc_standin::measure::{self, Way};
use rushcourse_grpc_standin::relay::{Relay, Start};
use rushcourse_grpc_standin::story;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Stand-ins over gRPC, to try and measure a director with.
#[derive(FromArgs)]
struct Toy {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Story(Story),
    Join(Join),
    Measure(Measure),
}

/// Starts a director and plays a drain around it, with relays of both kinds and a host that reports its load.
#[derive(FromArgs)]
#[argh(subcommand, name = "story")]
struct Story {
    /// the director's configuration; the addresses in it are served
    #[argh(positional)]
    config: PathBuf,
    /// the director's program
    #[argh(option)]
    director: PathBuf,
}

/// Joins a running director as a relay and prints each change of its tables.
#[derive(FromArgs)]
#[argh(subcommand, name = "join")]
struct Join {
    /// the director's gRPC address
    #[argh(positional)]
    director: SocketAddr,
    /// the relay's node id
    #[argh(option, default = "\"relay-0\".into()")]
    id: String,
    /// the relay's zone
    #[argh(option, default = "\"east\".into()")]
    zone: String,
    /// classes to ask for, with commas between
    #[argh(option, default = "\"look,pay\".into()")]
    classes: String,
    /// incremental instead of state of the world
    #[argh(switch)]
    delta: bool,
    /// seconds after which it leaves
    #[argh(option, default = "10")]
    seconds: u64,
}

/// Measures a director's process and prints rows of a table. It takes a minute a row.
#[derive(FromArgs)]
#[argh(subcommand, name = "measure")]
struct Measure {
    /// the configuration to start from; the addresses in it are served
    #[argh(positional)]
    config: PathBuf,
    /// the director's program
    #[argh(option)]
    director: PathBuf,
    /// how many relays
    #[argh(option, default = "60")]
    relays: usize,
    /// platform, whole or delta; all of them without
    #[argh(option)]
    way: Option<String>,
    /// relays beside these that read nothing
    #[argh(option, default = "0")]
    stalled: usize,
}

fn read(path: &Path) -> Result<Value, String> {
    let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))
}

async fn join(join: Join) -> Result<(), String> {
    let classes: Vec<&str> = join.classes.split(',').collect();
    let relay = Relay::start(
        join.director,
        Start::new(&join.id, &join.zone, &classes, join.delta),
    )
    .await?;
    let mut seen = 0;
    for _ in 0..join.seconds * 20 {
        if relay.responses() != seen {
            seen = relay.responses();
            for class in &classes {
                println!("response {seen}: {class}: {:?}", relay.table(class));
            }
        }
        if let Some(status) = relay.ended() {
            println!("the stream has ended: {status}");
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

async fn run(toy: Toy) -> Result<(), String> {
    match toy.command {
        Command::Story(s) => {
            story::play(read(&s.config)?, &s.director, |line| {
                println!("toy-grpc: {line}")
            })
            .await
        }
        Command::Join(j) => join(j).await,
        Command::Measure(m) => {
            let ways = [
                (Way::Platform, "platform"),
                (Way::Whole, "whole"),
                (Way::Delta, "delta"),
            ];
            let asked = |name: &str| m.way.as_deref().is_none_or(|w| w == name);
            println!(
                "| way | relays | stalled | joined, ms | drain to applied, ms: median / p99 / longest | bytes a change | messages | MiB | cores |"
            );
            for (way, _) in ways.into_iter().filter(|(_, name)| asked(name)) {
                let figures =
                    measure::run(&read(&m.config)?, &m.director, way, m.relays, m.stalled).await?;
                println!("{}", measure::row(way, m.stalled, &figures));
            }
            Ok(())
        }
    }
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> ExitCode {
    match run(argh::from_env()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("toy-grpc: {text}");
            ExitCode::FAILURE
        }
    }
}
