//! Operators' configuration files in Starlark. A script configures the director by calling the functions provided here,
//! each at most once. Arguments are validated during the call, so that errors name file, line, column and argument.
//!
//! * `fronts.rs`: the fronts file and the functions that it may call.
//! * `grpc.rs`: validation of the arguments of `grpc(...)`.
//! * `evaluation.rs`: evaluation of scripts with resource limits.
//! * `error.rs`: errors of configuration files.

mod error;
mod evaluation;
mod fronts;
mod grpc;

pub use error::{FieldError, FrontsError, Position};
pub use fronts::{FrontsConfig, parse_fronts, read_fronts};
pub use grpc::{GrpcConfig, TlsPaths};
