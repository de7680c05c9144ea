//! Builds the resources for discovery streams: mirrors the policy's tables and bindings and converts them to endpoint
//! assignments.
//!
//! * `cache.rs`: tables, bindings, and the resources built from them.
//! * `locations.rs`: zones and addresses of hosts.
//! * `versions.rs`: resource versions.

mod cache;
mod locations;
mod versions;

pub(crate) use cache::ResourceCache;
pub(crate) use locations::HostLocation;
pub(crate) use versions::combined_version;
