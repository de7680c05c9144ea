//! Tenants and API keys of scenarios.

use super::{Setup, TenantSetup};

/// Key of tenant `bakery`.
pub const BAKERY_KEY: &str = "bakery-key-7f21";
/// Another key of tenant `bakery`.
pub const BAKERY_SECOND_KEY: &str = "bakery-key-90ce";
/// Key of tenant `grocer`.
pub const GROCER_KEY: &str = "grocer-key-b3a8";
/// Key of tenant `grocers`, whose name begins with that of tenant `grocer`.
pub const GROCERS_KEY: &str = "grocers-key-e64d";
/// A key of no tenant.
pub const UNKNOWN_KEY: &str = "unknown-key-55d0";

pub const TENANTS: &[TenantSetup] = &[
    TenantSetup {
        name: "bakery",
        api_keys: &[BAKERY_KEY, BAKERY_SECOND_KEY],
    },
    TenantSetup {
        name: "grocer",
        api_keys: &[GROCER_KEY],
    },
    TenantSetup {
        name: "grocers",
        api_keys: &[GROCERS_KEY],
    },
];

/// One host and one controller, with [`TENANTS`].
pub const WITH_TENANTS: Setup = Setup {
    tenants: TENANTS,
    ..Setup::DEFAULT
};
