//! Tenants of the gateway configuration and the lookup of a tenant by API key.
//!
//! Keys are secrets. Only their SHA-256 digests are kept, so neither `Debug` output nor the duration of a lookup, which
//! compares digests, tells anything about a key; errors name the cell and never quote the key.

use crate::error::ValidationError;
use crate::json;
use crate::route::read_priority;
use crate::table::{Row, Table};
use facet_value::VObject;
use indexmap::IndexMap;
use ring::digest::{SHA256, SHA256_OUTPUT_LEN, digest};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

/// Bytes of a digest that its text shows: enough to tell the keys of a configuration apart.
const SHOWN_DIGEST_BYTES: usize = 4;

/// SHA-256 digest of an API key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ApiKeyDigest([u8; SHA256_OUTPUT_LEN]);

impl ApiKeyDigest {
    /// Computes the digest of a key.
    pub fn of(api_key: &[u8]) -> ApiKeyDigest {
        let mut bytes = [0; SHA256_OUTPUT_LEN];
        bytes.copy_from_slice(digest(&SHA256, api_key).as_ref());
        ApiKeyDigest(bytes)
    }
}

/// Writes the first bytes of the digest as hexadecimal digits, to identify a key in messages.
impl fmt::Display for ApiKeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in &self.0[..SHOWN_DIGEST_BYTES] {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for ApiKeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ApiKeyDigest({self})")
    }
}

/// A client organization that sends requests under its own API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Unique name within the configuration: never empty, without control characters.
    pub name: Arc<str>,
    /// Priority of the tenant's requests, from 0 (highest) to 1000 (lowest). `None` if the route's priority applies.
    pub priority: Option<u32>,
    /// Digests of the tenant's API keys. A tenant without keys can send requests on public routes only.
    pub api_keys: BTreeSet<ApiKeyDigest>,
}

/// The tenants of a configuration. Every API key belongs to exactly one of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tenants {
    /// Tenants by name, in the order of the configuration text.
    by_name: IndexMap<Arc<str>, Tenant>,
    /// Indices into `by_name`.
    by_api_key: BTreeMap<ApiKeyDigest, usize>,
}

impl Tenants {
    /// Finds the tenant that holds the API key.
    pub fn find(&self, api_key: &[u8]) -> Option<&Tenant> {
        let index = self.by_api_key.get(&ApiKeyDigest::of(api_key))?;
        self.by_name.get_index(*index).map(|(_, tenant)| tenant)
    }

    /// Returns the tenant of this name.
    pub fn named(&self, name: &str) -> Option<&Tenant> {
        self.by_name.get(name)
    }

    /// Returns the number of tenants.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there is no tenant, so that only public routes can be used.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Iterates over the tenants in the order of the configuration text.
    pub fn iter(&self) -> impl Iterator<Item = &Tenant> {
        self.by_name.values()
    }

    /// Adds the tenant of a row.
    fn add(&mut self, tenant: Tenant, row: &Row<'_>) -> Result<(), ValidationError> {
        let index = self.by_name.len();
        for key in &tenant.api_keys {
            if let Some(other) = self.by_api_key.insert(*key, index) {
                let other = &self.by_name[other].name;
                let reason = format!("holds a key that tenant {other:?} holds too");
                return Err(row.error("api_keys", reason));
            }
        }
        let name = tenant.name.clone();
        if self.by_name.insert(name.clone(), tenant).is_some() {
            return Err(row.error("name", format!("{name} stands twice")));
        }
        Ok(())
    }
}

/// Parses the table of tenants.
pub(crate) fn read_tenants(table: &VObject) -> Result<Tenants, ValidationError> {
    let table = Table::read(table, "tenants")?;
    let mut tenants = Tenants::default();
    for row in table.rows() {
        tenants.add(read_tenant(&row)?, &row)?;
    }
    Ok(tenants)
}

fn read_tenant(row: &Row<'_>) -> Result<Tenant, ValidationError> {
    Ok(Tenant {
        name: read_name(row)?.into(),
        priority: read_priority(row)?,
        api_keys: read_api_keys(row)?,
    })
}

/// Reads the name, which hosts receive as a header value.
fn read_name(row: &Row<'_>) -> Result<String, ValidationError> {
    let name = row.text("name")?;
    if name.trim().is_empty() {
        return Err(row.error("name", "is empty"));
    }
    if name.chars().any(char::is_control) {
        return Err(row.error("name", "has a control character"));
    }
    Ok(name)
}

/// Reads the digests of the API keys; none if the cell is missing. One key may be listed repeatedly.
fn read_api_keys(row: &Row<'_>) -> Result<BTreeSet<ApiKeyDigest>, ValidationError> {
    let Some(cell) = row.cell("api_keys") else {
        return Ok(BTreeSet::new());
    };
    let field = row.field("api_keys");
    let mut api_keys = BTreeSet::new();
    for (index, value) in json::list(cell, &field)?.iter().enumerate() {
        let field = format!("{field}[{index}]");
        let api_key = json::text(value, &field)?;
        if api_key.is_empty() {
            return Err(ValidationError::at(&field, "is empty"));
        }
        api_keys.insert(ApiKeyDigest::of(api_key.as_bytes()));
    }
    Ok(api_keys)
}
