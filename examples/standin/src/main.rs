//! `toy`: everything around a director, for a first try.

use argh::FromArgs;
use std::path::PathBuf;
use std::process::ExitCode;

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

async fn run(toy: Toy) -> Result<(), String> {
    let text = std::fs::read(&toy.config).map_err(|e| format!("{}: {e}", toy.config.display()))?;
    let config =
        serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", toy.config.display()))?;
    let _director = match &toy.director {
        Some(program) => {
            let mut command = tokio::process::Command::new(program);
            command
                .arg("serve")
                .env("RELAY_CONFIG", &toy.config)
                .kill_on_drop(true);
            Some(
                command
                    .spawn()
                    .map_err(|e| format!("{}: {e}", program.display()))?,
            )
        }
        None => None,
    };
    rushcourse_standin::story::play(&config, |line| println!("toy: {line}")).await
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match run(argh::from_env()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("toy: {text}");
            ExitCode::FAILURE
        }
    }
}
