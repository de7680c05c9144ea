//! The files that people write: a machine's settings, and the configuration of the gateway that operators upload.
//!
//! * [`settings`]: the settings of a process; [`settings_file`]: their lines.
//! * [`configuration`]: a configuration and its look-ups, made of [`route`], [`service`] and [`limits`].
//! * [`json`]: values of a JSON body; `table`: tables of columns and rows; [`error`]: what is wrong, and where.
//! * `seconds`: spans that people write as seconds.

pub mod configuration;
pub mod error;
pub mod json;
pub mod limits;
pub mod route;
mod seconds;
pub mod service;
pub mod settings;
pub mod settings_file;
mod table;

pub use configuration::Configuration;
pub use error::ValidationError;
pub use limits::Limits;
pub use route::{Route, RouteKind, WeightedService};
pub use service::Service;
pub use settings::{CONTROLLER_DNS_NAME, LEGACY_CONTROLLER_DNS_NAME, NodeSettings, PeerKeyFiles};
pub use settings_file::SettingsError;
