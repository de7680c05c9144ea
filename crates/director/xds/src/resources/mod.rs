//! The tables as they stand for proxies that have joined by a stream: a mirror of what the policy ordered, and each
//! proxy's resources made of it. Actions in, assignments out; nothing is decided here.
//!
//! * `cache.rs`: tables, bindings, and the resources made of them.
//! * `locations.rs`: where hosts are.
//! * `versions.rs`: versions of resources.

mod cache;
mod locations;
mod versions;

pub(crate) use cache::ResourceCache;
pub(crate) use locations::HostLocation;
pub(crate) use versions::combined_version;
