//! Node settings files, and the gateway configuration that operators upload.
//!
//! * [`settings`]: the settings of a node; [`settings_file`]: the `key=value` file format.
//! * [`configuration`]: the gateway configuration with route lookup; [`route`], [`service`], [`limits`] and
//!   [`tenants`]: its parts.
//! * [`operation_digest`]: digests of operation keys, which depend on the tenant.
//! * [`json`]: typed access to JSON values; `table`: tables of columns and rows; [`error`]: validation errors.
//! * `seconds`: conversion of seconds to durations.

pub mod configuration;
pub mod error;
pub mod json;
pub mod limits;
pub mod operation_digest;
pub mod route;
mod seconds;
pub mod service;
pub mod settings;
pub mod settings_file;
mod table;
pub mod tenants;

pub use configuration::Configuration;
pub use error::ValidationError;
pub use limits::Limits;
pub use operation_digest::OperationScope;
pub use route::{Route, RouteKind, WeightedService};
pub use service::Service;
pub use settings::{CONTROLLER_DNS_NAME, LEGACY_CONTROLLER_DNS_NAME, NodeSettings, PeerKeyFiles};
pub use settings_file::SettingsError;
pub use tenants::{ApiKeyDigest, Tenant, Tenants};
