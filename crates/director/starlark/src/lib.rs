//! Operators' files. A script calls what is offered here, each at most once, and says no more; what it says is
//! checked where it is said, so that an error names file, line, column and field.

mod fronts;
mod run;

pub use fronts::{Fronts, Grpc, TlsFiles, read, read_text};
