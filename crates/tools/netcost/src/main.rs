//! netcost: bytes between the nodes of a gateway, by how many there are. Ends with code 1 where what one gateway
//! receives grows with their number, or where what controllers send grows faster than it should.

mod frames;
mod growth;
mod simulated_cluster;
mod simulated_gateway;

use std::process::ExitCode;

fn main() -> ExitCode {
    if growth::check() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
