//! The frontend director's program. `server.rs` takes connections, `front.rs` and `requests.rs` take a request through, `keyed.rs`
//! those that bind, `hosts.rs` and `pools.rs` keep connections to hosts, `board.rs` owns all state and hears the core directors.

mod answers;
mod board;
mod front;
mod hosts;
mod keyed;
mod links;
mod pools;
mod random_source;
mod requests;
mod server;

pub use server::serve;
