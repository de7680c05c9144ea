//! The frontend director's program. `server.rs` takes connections, `requests.rs` takes a request through, `keyed.rs`
//! those that bind, `hosts.rs` keeps connections to hosts, `board.rs` owns all state and hears the core directors.

mod answers;
mod board;
mod hosts;
mod keyed;
mod links;
mod requests;
mod server;

pub use server::serve;
