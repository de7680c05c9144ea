//! A toy relay and a toy host over gRPC around a director, for a first look.

use argh::FromArgs;
use rushcourse_grpc_standin::relay::{Relay, Start};
use std::net::SocketAddr;
use std::time::Duration;

/// Joins a director as a relay over gRPC and prints each change of its tables.
#[derive(FromArgs)]
struct Toy {
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

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let toy: Toy = argh::from_env();
    let classes: Vec<&str> = toy.classes.split(',').collect();
    let relay = match Relay::start(toy.director, Start::new(&toy.id, &toy.zone, &classes, toy.delta)).await {
        Ok(relay) => relay,
        Err(e) => {
            eprintln!("toy-grpc: {e}");
            std::process::exit(1);
        }
    };
    let mut seen = 0;
    for _ in 0..toy.seconds * 20 {
        if relay.responses() != seen {
            seen = relay.responses();
            for class in &classes {
                println!("response {seen}: {class}: {:?}", relay.table(class));
            }
        }
        if let Some(status) = relay.ended() {
            println!("the stream has ended: {status}");
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
