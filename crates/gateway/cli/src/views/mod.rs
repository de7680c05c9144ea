//! Pages of controllers as tables.
//!
//! * `controllers.rs`: a line for each controller: status, disk, who holds an operation key.
//! * `voters.rs`: the voting set as each controller sees it.
//! * `gateways.rs`: the gateways by the sessions that controllers have with them.
//! * `endpoints.rs`: hosts and endpoint tables as one controller sees them.

mod controllers;
mod each;
mod endpoints;
mod gateways;
mod voters;

pub use controllers::{disks, operation_key, status};
pub use endpoints::{hosts, tables};
pub use gateways::members;
pub use voters::voters;

use crate::control_api::ControllerPage;

/// The pages that came, as they came, a line each.
pub fn json(pages: &[ControllerPage]) -> String {
    let received = pages.iter().filter_map(|page| page.page.as_ref().ok());
    received.map(|page| format!("{page}\n")).collect()
}
