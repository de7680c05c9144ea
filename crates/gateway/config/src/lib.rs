//! What is written down and looked up: a machine's settings, and the configuration of the gateway.

pub mod cells;
pub mod configuration;
pub mod invalid;
pub mod settings;

pub use configuration::{Configuration, Limits, Route, RouteKind, Service};
pub use invalid::Invalid;
pub use settings::{Boot, BootError, CORE_NAME, EARLIER_CORE_NAME, PeerKeys};
