//! An authority that signs certificates of nodes, and the files that they are used by.

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use rushcourse_config::PeerKeyFiles;
use std::path::Path;

pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    certificate_pem: String,
}

impl Authority {
    pub fn new() -> Authority {
        let mut params = CertificateParams::new(Vec::new()).expect("parameters");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().expect("a key");
        let certificate_pem = params.self_signed(&key).expect("a certificate").pem();
        Authority {
            issuer: Issuer::new(params, key),
            certificate_pem,
        }
    }

    /// A certificate for these names, in files of this name; whoever shows it trusts `trusted`.
    pub fn issue(
        &self,
        folder: &Path,
        file: &str,
        names: &[&str],
        trusted: &[&Authority],
    ) -> PeerKeyFiles {
        let names: Vec<String> = names.iter().map(|name| name.to_string()).collect();
        let key = KeyPair::generate().expect("a key");
        let params = CertificateParams::new(names).expect("parameters");
        let certificate = params
            .signed_by(&key, &self.issuer)
            .expect("a certificate")
            .pem();
        let write = |kind: &str, text: String| {
            let path = folder.join(format!("{file}.{kind}"));
            std::fs::write(&path, text).expect("a file");
            path.to_string_lossy().into_owned()
        };
        let trusted = trusted.iter().map(|authority| &*authority.certificate_pem);
        PeerKeyFiles {
            certificate: write("cert", certificate),
            key: write("key", key.serialize_pem()),
            authority: write("ca", trusted.collect()),
        }
    }
}
