//! Certificates and keys in PEM files, read and checked together. Files that can't be used change nothing: what is
//! made of them is made anew, and replaces the old only when it is whole.

use std::fmt::Display;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio_rustls::rustls::client::WebPkiServerVerifier;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use tokio_rustls::rustls::server::WebPkiClientVerifier;
use tokio_rustls::rustls::{ClientConfig, RootCertStore, ServerConfig, crypto::ring};

/// Files in PEM form.
#[derive(Clone, Debug, PartialEq)]
pub struct Files {
    pub cert: PathBuf,
    pub key: PathBuf,
    /// The other side must show a certificate of these.
    pub ca: Option<PathBuf>,
}

fn told(path: &Path) -> impl Fn(&dyn Display) -> String + '_ {
    move |e| format!("{}: {e}", path.display())
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, String> {
    let told = told(path);
    let read = CertificateDer::pem_file_iter(path).map_err(|e| told(&e))?;
    let all: Vec<_> = read.collect::<Result<_, _>>().map_err(|e| told(&e))?;
    if all.is_empty() {
        Err(told(&"no certificate in it"))
    } else {
        Ok(all)
    }
}

fn roots(path: &Path) -> Result<Arc<RootCertStore>, String> {
    let mut roots = RootCertStore::empty();
    for cert in certificates(path)? {
        roots.add(cert).map_err(|e| told(path)(&e))?;
    }
    Ok(Arc::new(roots))
}

fn key(path: &Path) -> Result<PrivateKeyDer<'static>, String> {
    PrivateKeyDer::from_pem_file(path).map_err(|e| told(path)(&e))
}

impl Files {
    /// For those who listen. `alpn`: protocols that are offered.
    ///
    /// # Errors
    /// The file that can't be used, and why; a key that is not the certificate's.
    pub fn server(&self, alpn: &[&[u8]]) -> Result<Arc<ServerConfig>, String> {
        let (certs, provider) = (
            certificates(&self.cert)?,
            Arc::new(ring::default_provider()),
        );
        let builder = ServerConfig::builder_with_provider(provider.clone());
        let builder = builder
            .with_safe_default_protocol_versions()
            .map_err(|e| e.to_string())?;
        let builder = match &self.ca {
            None => builder.with_no_client_auth(),
            Some(path) => {
                let verifier =
                    WebPkiClientVerifier::builder_with_provider(roots(path)?, provider).build();
                builder.with_client_cert_verifier(verifier.map_err(|e| told(path)(&e))?)
            }
        };
        let config = builder.with_single_cert(certs, key(&self.key)?);
        let mut config = config.map_err(|e| told(&self.key)(&e))?;
        config.alpn_protocols = alpn.iter().map(|p| p.to_vec()).collect();
        Ok(Arc::new(config))
    }

    /// For those who dial, and show their own certificate.
    ///
    /// # Errors
    /// As `server`; besides, files without those whose certificates the other side must show.
    pub fn client(&self) -> Result<Arc<ClientConfig>, String> {
        let (certs, provider) = (
            certificates(&self.cert)?,
            Arc::new(ring::default_provider()),
        );
        let path = self.ca.as_deref().ok_or("no file of authorities")?;
        let verifier =
            WebPkiServerVerifier::builder_with_provider(roots(path)?, provider.clone()).build();
        let builder = ClientConfig::builder_with_provider(provider);
        let builder = builder
            .with_safe_default_protocol_versions()
            .map_err(|e| e.to_string())?;
        let builder = builder.with_webpki_verifier(verifier.map_err(|e| told(path)(&e))?);
        let config = builder.with_client_auth_cert(certs, key(&self.key)?);
        Ok(Arc::new(config.map_err(|e| told(&self.key)(&e))?))
    }
}

/// Whether a certificate is of a machine, and whether it bears a name besides. That it is of the right authority was
/// looked at when it was shown.
pub fn names(cert: &CertificateDer<'_>, machine: Ipv4Addr, name: &str) -> (bool, bool) {
    let Ok(cert) = webpki::EndEntityCert::try_from(cert) else {
        return (false, false);
    };
    let of = |name: &ServerName<'_>| cert.verify_is_valid_for_subject_name(name).is_ok();
    let machine = ServerName::from(std::net::IpAddr::from(machine));
    (
        of(&machine),
        ServerName::try_from(name).is_ok_and(|name| of(&name)),
    )
}
