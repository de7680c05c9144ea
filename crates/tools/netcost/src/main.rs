//! netcost: bytes between the nodes of a gateway, by how many there are. Ends with code 1 where what one gateway
//! receives grows with their number, or where what controllers send grows faster than it should.
//!
//! `netcost hollow` measures one real node of each role at the size to design for, among hollow ones.

mod error;
mod frames;
mod growth;
mod hollow;
mod simulated_cluster;
mod simulated_gateway;

use error::NetcostError;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("netcost: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs what the arguments say. Returns whether all limits hold.
fn run(arguments: &[String]) -> Result<bool, NetcostError> {
    match arguments.split_first() {
        Some((verb, rest)) if verb == "hollow" => hollow::run(rest).map(|()| true),
        Some((verb, _)) => Err(NetcostError::UnknownVerb(verb.clone())),
        None => Ok(growth::check()),
    }
}
