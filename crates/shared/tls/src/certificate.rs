//! Checks of the names in a peer certificate. The TLS handshake has already verified its chain of trust.

use std::net::{IpAddr, Ipv4Addr};
use tokio_rustls::rustls::pki_types::{CertificateDer, ServerName};

/// Whether the certificate is valid for an IP address. Returns false if the certificate cannot be parsed.
pub fn matches_ip_address(certificate: &CertificateDer<'_>, address: Ipv4Addr) -> bool {
    is_valid_for(certificate, &ServerName::from(IpAddr::from(address)))
}

/// Whether the certificate is valid for a DNS name. Returns false if the name or certificate cannot be parsed.
pub fn matches_dns_name(certificate: &CertificateDer<'_>, name: &str) -> bool {
    ServerName::try_from(name).is_ok_and(|name| is_valid_for(certificate, &name))
}

fn is_valid_for(certificate: &CertificateDer<'_>, name: &ServerName<'_>) -> bool {
    webpki::EndEntityCert::try_from(certificate)
        .is_ok_and(|certificate| certificate.verify_is_valid_for_subject_name(name).is_ok())
}
