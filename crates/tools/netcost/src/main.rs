//! netcost: computes the network traffic between the nodes of a gateway for several cluster sizes. Exits with 1 if the
//! traffic to a single gateway grows with the number of gateways, or the traffic of controllers grows faster than its
//! limit.

mod confirmations;
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
