//! The settings object of a deployment as the platform writes it, and what follows from it. Both fronts, the adapter to
//! the bench's wire and the director on sockets, read their settings through this package.
//!
//! * [`DeploymentSettings`]: the object, by the names of its page; [`DeploymentSettings::to_policy`] translates it for
//!   the policy.
//! * [`Names`]: the names of zones and request classes, which the policy knows by their positions.
//! * [`InvalidSetting`]: a value that makes no sense, and where it stands.
//! * [`report_limits`]: ranges that follow from the settings for the numbers of load reports.

mod deployment;
mod names;
mod policy;
pub mod report_limits;
mod validation;

pub use deployment::DeploymentSettings;
pub use names::Names;
pub use validation::{InvalidSetting, Problem};
