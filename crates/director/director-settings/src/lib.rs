//! The settings of a deployment as the platform writes them, shared by the director on sockets and the bench adapter.
//!
//! * [`DeploymentSettings`]: the settings object; [`DeploymentSettings::to_policy`] converts it for the policy.
//! * [`Names`]: the names of zones and request classes, which the policy identifies by index.
//! * [`InvalidSetting`]: a setting that validation rejects, and why.
//! * [`report_limits`]: range checks for the numbers in load reports.

mod deployment;
mod names;
mod policy;
pub mod report_limits;
mod validation;

pub use deployment::DeploymentSettings;
pub use names::Names;
pub use validation::{InvalidSetting, Problem};
