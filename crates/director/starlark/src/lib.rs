//! Operators' files in Starlark. A script calls what is offered here, each function at most once, and does no more;
//! its arguments are checked where it calls, so that an error names file, line, column and field.
//!
//! * `fronts.rs`: the file of fronts and the functions that it may call.
//! * `grpc.rs`: the arguments of `grpc(...)`.
//! * `evaluation.rs`: evaluation of a script within bounds.
//! * `error.rs`: what can be wrong with a file.

mod error;
mod evaluation;
mod fronts;
mod grpc;

pub use error::{FieldError, FrontsError, Position};
pub use fronts::{FrontsConfig, parse_fronts, read_fronts};
pub use grpc::{GrpcConfig, TlsPaths};
