//! TLS configurations from PEM files: certificates, private keys and CA certificates. Each call builds a new
//! configuration, so a failed reload leaves the existing one in use.

mod certificate;
mod error;
mod files;

pub use certificate::{matches_dns_name, matches_ip_address};
pub use error::TlsError;
pub use files::TlsFiles;
