//! TLS from PEM files: certificates, private keys and authorities, read and checked together. Files that can't be used
//! change nothing: a configuration is made anew, and replaces the old one only when it is complete.

mod certificate;
mod error;
mod files;

pub use certificate::{matches_dns_name, matches_ip_address};
pub use error::TlsError;
pub use files::TlsFiles;
