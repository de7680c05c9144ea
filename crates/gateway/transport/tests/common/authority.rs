//! A certificate authority that issues node certificates and writes them to files.

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use rushcourse_config::PeerKeyFiles;
use std::path::Path;

pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    certificate_pem: String,
}

impl Authority {
    pub fn new() -> Authority {
        let mut params = CertificateParams::new(Vec::new()).expect("valid names");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().expect("generate a key");
        let certificate_pem = params
            .self_signed(&key)
            .expect("sign the certificate")
            .pem();
        Authority {
            issuer: Issuer::new(params, key),
            certificate_pem,
        }
    }

    /// Issues a certificate for `names`. Writes `FILE.cert`, `FILE.key` and `FILE.ca` to `directory`; the last one
    /// holds the certificates of the `trusted` authorities.
    pub fn issue(
        &self,
        directory: &Path,
        file: &str,
        names: &[&str],
        trusted: &[&Authority],
    ) -> PeerKeyFiles {
        let names: Vec<String> = names.iter().map(|name| name.to_string()).collect();
        let key = KeyPair::generate().expect("generate a key");
        let params = CertificateParams::new(names).expect("valid names");
        let certificate = params
            .signed_by(&key, &self.issuer)
            .expect("sign the certificate")
            .pem();
        let write = |kind: &str, text: String| {
            let path = directory.join(format!("{file}.{kind}"));
            std::fs::write(&path, text).expect("write the file");
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
