//! `toy-grpc`: runs gRPC stand-ins around a director, joins a running director as a proxy, and measures latency and
//! resource usage of a director's process.

use argh::FromArgs;
use rushcourse_grpc_standin::measure::{self, Protocol};
use rushcourse_grpc_standin::proxy::{Proxy, ProxyOptions};
use rushcourse_grpc_standin::{StandinError, story};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Interval at which `join` checks for new responses.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Must match [`POLL_INTERVAL`].
const POLLS_PER_SECOND: u64 = 20;

/// Runs gRPC stand-ins around a director, or measures a director.
#[derive(FromArgs)]
struct Arguments {
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

/// Starts a director and drains a host, with a relay on each kind of stream and a host that reports its load.
#[derive(FromArgs)]
#[argh(subcommand, name = "story")]
struct Story {
    /// the director's configuration; the stand-ins listen on the addresses in it
    #[argh(positional)]
    config: PathBuf,
    /// the director's program
    #[argh(option)]
    director: PathBuf,
}

/// Joins a running director as a relay and prints its tables after each response.
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
    /// classes to subscribe to, separated by commas
    #[argh(option, default = "\"look,pay\".into()")]
    classes: String,
    /// use a delta stream instead of a state-of-the-world stream
    #[argh(switch)]
    delta: bool,
    /// seconds after which the relay leaves
    #[argh(option, default = "10")]
    seconds: u64,
}

/// Measures a director's process and prints a Markdown table. Each row takes about a minute.
#[derive(FromArgs)]
#[argh(subcommand, name = "measure")]
struct Measure {
    /// base configuration of the director; the stand-ins listen on the addresses in it
    #[argh(positional)]
    config: PathBuf,
    /// the director's program
    #[argh(option)]
    director: PathBuf,
    /// number of relays
    #[argh(option, default = "60")]
    relays: usize,
    /// protocol to measure: platform, whole or delta (default: all)
    #[argh(option)]
    way: Option<String>,
    /// number of additional relays that read nothing
    #[argh(option, default = "0")]
    stalled: usize,
}

fn read_config(path: &Path) -> Result<Value, StandinError> {
    let text = std::fs::read(path).map_err(|source| StandinError::File {
        path: path.into(),
        source,
    })?;
    serde_json::from_slice(&text).map_err(|source| StandinError::Json {
        path: path.into(),
        source,
    })
}

impl Join {
    async fn run(self) -> Result<(), StandinError> {
        let classes: Vec<&str> = self.classes.split(',').collect();
        let options = ProxyOptions::new(&self.id, &self.zone, &classes, self.delta);
        let proxy = Proxy::start(self.director, options).await?;
        let mut printed = 0;
        for _ in 0..self.seconds * POLLS_PER_SECOND {
            if proxy.response_count() != printed {
                printed = proxy.response_count();
                for class in &classes {
                    println!("response {printed}: {class}: {:?}", proxy.table(class));
                }
            }
            if let Some(status) = proxy.status() {
                println!("the stream has ended: {status}");
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }
}

impl Measure {
    async fn run(self) -> Result<(), StandinError> {
        println!("{}", measure::TABLE_HEAD);
        for protocol in Protocol::ALL {
            let is_wanted = self
                .way
                .as_deref()
                .is_none_or(|way| way == protocol.argument());
            if !is_wanted {
                continue;
            }
            let config = read_config(&self.config)?;
            let measurement =
                measure::measure(&config, &self.director, protocol, self.relays, self.stalled);
            println!("{}", measurement.await?);
        }
        Ok(())
    }
}

async fn run(arguments: Arguments) -> Result<(), StandinError> {
    match arguments.command {
        Command::Story(story) => {
            let config = read_config(&story.config)?;
            story::run(config, &story.director, |line| println!("toy-grpc: {line}")).await
        }
        Command::Join(join) => join.run().await,
        Command::Measure(measure) => measure.run().await,
    }
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> ExitCode {
    match run(argh::from_env()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("toy-grpc: {error}");
            ExitCode::FAILURE
        }
    }
}
