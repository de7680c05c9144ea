//! Resource versions. A version is a hash of the content, so that a reconnecting proxy which holds the current version
//! needs no response. The incarnation prefix keeps versions of different runs of the director distinct.

use crate::messages::ClusterLoadAssignment;
use xxhash_rust::xxh3::Xxh3;

/// Version of one assignment, as `INCARNATION.HASH` in hexadecimal.
pub(super) fn version(incarnation: u64, assignment: &ClusterLoadAssignment) -> String {
    let mut hash = FieldHash::default();
    hash.write_field(assignment.cluster_name.as_bytes());
    hash.write_field(&assignment.drop_per_million.to_le_bytes());
    hash.write_field(&[assignment.retry_policy as u8]);
    for locality in &assignment.localities {
        hash.write_field(locality.zone.as_bytes());
        for endpoint in &locality.endpoints {
            hash.write_field(endpoint.host.as_bytes());
            hash.write_field(endpoint.address.as_bytes());
            hash.write_field(&endpoint.weight.to_le_bytes());
            hash.write_field(&[u8::from(endpoint.draining)]);
        }
        hash.write_field(b"");
    }
    format_version(incarnation, &hash.0)
}

/// Version of several resources together, for the version field of a response.
pub(crate) fn combined_version<'a>(
    incarnation: u64,
    versions: impl Iterator<Item = &'a str>,
) -> String {
    let mut hash = Xxh3::new();
    for version in versions {
        hash.update(version.as_bytes());
        hash.update(b"\n");
    }
    format_version(incarnation, &hash)
}

fn format_version(incarnation: u64, hash: &Xxh3) -> String {
    format!("{incarnation:x}.{:032x}", hash.digest128())
}

/// Hasher that prefixes each field with its length, so that field boundaries affect the hash.
#[derive(Default)]
struct FieldHash(Xxh3);

impl FieldHash {
    fn write_field(&mut self, bytes: &[u8]) {
        self.0.update(&(bytes.len() as u64).to_le_bytes());
        self.0.update(bytes);
    }
}
