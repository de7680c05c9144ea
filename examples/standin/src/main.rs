//! `toy`: runs the example scenario with stand-ins around a director.

use argh::FromArgs;
use rushcourse_standin::scenario::{self, ScenarioError};
use serde_json::Value;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::process::{Child, Command};

/// Runs a relay, discovery, a collector and two hosts around a director, and drains one of the hosts.
#[derive(FromArgs)]
struct Toy {
    /// the director's configuration; the stand-ins listen on the addresses in it
    #[argh(positional)]
    config: PathBuf,
    /// the director's program, started with the configuration; by default, waits for a running director
    #[argh(option)]
    director: Option<PathBuf>,
}

/// Error that ends the program with exit code 1.
#[derive(Debug)]
enum ToyError {
    /// The configuration can't be read, or the director's program can't be started.
    File(PathBuf, io::Error),
    /// The configuration is not valid JSON.
    Json(PathBuf, serde_json::Error),
    Scenario(ScenarioError),
}

impl fmt::Display for ToyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ToyError::File(path, error) => write!(f, "{}: {error}", path.display()),
            ToyError::Json(path, error) => write!(f, "{}: {error}", path.display()),
            ToyError::Scenario(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for ToyError {}

fn read_config(path: &Path) -> Result<Value, ToyError> {
    let text = std::fs::read(path).map_err(|error| ToyError::File(path.into(), error))?;
    serde_json::from_slice(&text).map_err(|error| ToyError::Json(path.into(), error))
}

/// Starts a director, which is killed when the child is dropped.
fn start_director(program: &Path, config: &Path) -> Result<Child, ToyError> {
    Command::new(program)
        .arg("serve")
        .env("RELAY_CONFIG", config)
        .kill_on_drop(true)
        .spawn()
        .map_err(|error| ToyError::File(program.into(), error))
}

async fn run(toy: &Toy) -> Result<(), ToyError> {
    let config = read_config(&toy.config)?;
    let _director = match &toy.director {
        Some(program) => Some(start_director(program, &toy.config)?),
        None => None,
    };
    scenario::run(&config, |line| println!("toy: {line}"))
        .await
        .map_err(ToyError::Scenario)
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match run(&argh::from_env()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("toy: {error}");
            ExitCode::FAILURE
        }
    }
}
