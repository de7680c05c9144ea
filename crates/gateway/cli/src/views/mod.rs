//! Controllers' pages rendered as text tables.
//!
//! * `controllers.rs`: one row per controller: status, disk, claim on an operation key.
//! * `duty.rs`: the usage duty.
//! * `voters.rs`: the voting set of each controller.
//! * `gateways.rs`: gateways and their controller sessions.
//! * `endpoints.rs`: hosts and endpoint tables of one controller.
//! * `controller_table.rs`: shared code of the tables with one row per controller.

mod controller_table;
mod controllers;
mod duty;
mod endpoints;
mod gateways;
mod voters;

pub use controllers::{disks, operation_key, status};
pub use duty::duty;
pub use endpoints::{hosts, tables};
pub use gateways::members;
pub use voters::voters;

use crate::control_api::ControllerPage;

/// Returns the successfully fetched pages unchanged, one per line.
pub fn json(pages: &[ControllerPage]) -> String {
    let received = pages.iter().filter_map(|page| page.page.as_ref().ok());
    received.map(|page| format!("{page}\n")).collect()
}
