//! Versions of resources. They follow from the content, so that a proxy which comes back with one holds just that. The
//! incarnation before the hash keeps versions of other runs of the director apart.

use crate::messages::ClusterLoadAssignment;
use xxhash_rust::xxh3::Xxh3;

/// The version of one assignment: `INCARNATION.HASH`, both in hexadecimal.
pub(super) fn version(incarnation: u64, assignment: &ClusterLoadAssignment) -> String {
    let mut hash = FieldHash::default();
    hash.field(assignment.cluster_name.as_bytes());
    hash.field(&assignment.drop_per_million.to_le_bytes());
    hash.field(&[assignment.retry_policy as u8]);
    for locality in &assignment.localities {
        hash.field(locality.zone.as_bytes());
        for endpoint in &locality.endpoints {
            hash.field(endpoint.host.as_bytes());
            hash.field(endpoint.address.as_bytes());
            hash.field(&endpoint.weight.to_le_bytes());
            hash.field(&[u8::from(endpoint.draining)]);
        }
        hash.field(b"");
    }
    format(incarnation, &hash.0)
}

/// The version of several resources together, as a response bears it.
pub(crate) fn combined_version<'a>(
    incarnation: u64,
    versions: impl Iterator<Item = &'a str>,
) -> String {
    let mut hash = Xxh3::new();
    for version in versions {
        hash.update(version.as_bytes());
        hash.update(b"\n");
    }
    format(incarnation, &hash)
}

fn format(incarnation: u64, hash: &Xxh3) -> String {
    format!("{incarnation:x}.{:032x}", hash.digest128())
}

/// A hash over fields that are told apart by their lengths.
#[derive(Default)]
struct FieldHash(Xxh3);

impl FieldHash {
    fn field(&mut self, bytes: &[u8]) {
        self.0.update(&(bytes.len() as u64).to_le_bytes());
        self.0.update(bytes);
    }
}
