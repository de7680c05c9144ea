//! The public types: settings, events that a front passes to a director, and actions that it gets back.

mod actions;
mod events;
mod hosts;
mod ids;
mod settings;
mod view;

pub use actions::Action;
pub use events::Event;
pub use hosts::{HostEntry, HostListKind, HostLoad, Readiness};
pub use ids::{
    AckNumber, ByHost, Channel, ClassId, ClassMask, FIRST_DEDICATED_TABLE, HostId, Ms, ProxyId, TableId,
    ZoneId,
};
pub use settings::{
    AdmissionKind, ChannelSettings, FleetSettings, HostSettings, Idempotency, LoadSource, ProxySettings,
    RequestClass, RetryPolicy, Settings,
};
pub use view::{Certainty, ClassGroupView, DirectorView, EndpointView, ProxyView, TableView, WithdrawnHost};
