//! Usage reports: how many requests of each tenant hosts began to execute in each report window.
//!
//! Gateways count ([`counter`]) and send cumulative counts to the controllers, which keep them in a [`ledger`]. One
//! controller at a time holds the duty of sending reports to the platform ([`reporter`]). A report is first agreed on
//! by a majority of disks as part of `rushcourse_messages::DutyState` and only then sent, so whoever holds the duty
//! later sends the same bytes.
//!
//! * [`windows`]: conversion between wall-clock time and window numbers.
//! * [`counter`]: the counts of one gateway.
//! * [`ledger`]: the counts that a controller has received from gateways.
//! * [`report`]: the body of a report.
//! * [`tenure`]: which controller should hold the duty.
//! * [`delivery`]: when to send a report, and what follows from the platform's response.
//! * [`reporter`]: the state machine that combines these.

pub mod counter;
pub mod delivery;
pub mod ledger;
pub mod report;
pub mod reporter;
pub mod tenure;
pub mod windows;

pub use counter::{StartedRequest, UsageCounter};
pub use delivery::DeliveryOutcome;
pub use ledger::UsageLedger;
pub use reporter::{Effect, PostCall, ReporterSetup, Surroundings, UsageReporter};
pub use tenure::ConnectedController;
pub use windows::ReportWindows;
