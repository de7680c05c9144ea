//! `toy`: everything around a director, for a first try.

use argh::FromArgs;
use rushcourse_standin::scenario::{self, ScenarioError};
use serde_json::Value;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::process::{Child, Command};

/// Stands in for relay, discovery, a collector and two hosts, and plays one drain around a director.
#[derive(FromArgs)]
struct Toy {
    /// the director's configuration; the addresses in it are served
    #[argh(positional)]
    config: PathBuf,
    /// the director's program: started here with the configuration; without, a running one is waited for
    #[argh(option)]
    director: Option<PathBuf>,
}

/// Why the program fails.
#[derive(Debug)]
enum ToyError {
    /// The configuration can't be read, or the director's program can't be started.
    File(PathBuf, io::Error),
    /// The configuration is no JSON text; the error names line and column.
    Json(PathBuf, serde_json::Error),
    /// The scenario has not come to its end.
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

/// Starts a director; it ends when the child is dropped.
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
    scenario::play(&config, |line| println!("toy: {line}"))
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
