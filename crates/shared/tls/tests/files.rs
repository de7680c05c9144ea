//! Errors of unusable PEM files name the file and the cause.

use rushcourse_tls::{TlsError, TlsFiles};
use std::path::{Path, PathBuf};

/// Writes a file into the temporary directory of this test target.
fn file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a file");
    path
}

fn files(certificate: &Path) -> TlsFiles {
    TlsFiles {
        certificate: certificate.into(),
        private_key: "unused.key".into(),
        authorities: None,
    }
}

#[test]
fn missing_file_is_named_in_the_error() {
    let error = files(Path::new("/nowhere/server.pem"))
        .server_config(&[])
        .expect_err("no file");
    assert!(matches!(error, TlsError::Pem { .. }), "{error:?}");
    assert!(
        error.to_string().starts_with("/nowhere/server.pem: "),
        "{error}"
    );
}

#[test]
fn file_without_certificate_is_named_in_the_error() {
    let path = file("no-certificate.pem", "nothing\n");
    let error = files(&path).server_config(&[]).expect_err("no certificate");
    assert!(matches!(error, TlsError::NoCertificate { .. }), "{error:?}");
    assert_eq!(
        error.to_string(),
        format!("{}: contains no certificate", path.display())
    );
}
