//! Files that can't be used are named, with what is wrong with them.

use rushcourse_tls::{TlsError, TlsFiles};
use std::path::{Path, PathBuf};

/// A file of this test's own.
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
fn a_file_that_is_not_there_is_named() {
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
fn a_file_without_a_certificate_is_named() {
    let path = file("no-certificate.pem", "nothing\n");
    let error = files(&path).server_config(&[]).expect_err("no certificate");
    assert!(matches!(error, TlsError::NoCertificate { .. }), "{error:?}");
    assert_eq!(
        error.to_string(),
        format!("{}: no certificate in it", path.display())
    );
}
