//! The frontend director's program. `server.rs` takes connections, `front.rs` and `requests.rs` take a request through, `keyed.rs`
//! those that bind, `hosts.rs` and `pools.rs` keep connections to hosts, `board.rs` owns all state and hears the core directors.

mod board;
mod front;
mod headers;
mod hosts;
mod keyed;
mod links;
mod local_response;
mod pools;
mod random_source;
mod requests;
mod response_body;
mod server;

pub use server::serve;
