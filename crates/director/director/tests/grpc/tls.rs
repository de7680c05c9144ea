//! TLS of the gRPC front: server certificates, their reload, and client certificates.

use crate::common::{Harness, free_address, write_temp_file};
use crate::{config_for_eight_proxies, proxy};
use rushcourse_grpc_standin::proxy::{Proxy, ProxyOptions};
use rushcourse_grpc_standin::{StandinError, connect_tls};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tonic::transport::Channel;

/// A self-signed certificate for `director.test` and its private key, in PEM form.
struct Certificate {
    certificate: String,
    key: String,
}

impl Certificate {
    fn new() -> Certificate {
        let generated = rcgen::generate_simple_self_signed(vec!["director.test".to_string()])
            .expect("a certificate");
        Certificate {
            certificate: generated.cert.pem(),
            key: generated.signing_key.serialize_pem(),
        }
    }
}

/// Removes its files when it is dropped.
struct Files(Vec<PathBuf>);

impl Drop for Files {
    fn drop(&mut self) {
        for path in &self.0 {
            _ = std::fs::remove_file(path);
        }
    }
}

/// Starts a director with this `grpc(...)` call as its fronts file.
async fn serving(call: &str) -> Harness {
    Harness::start_with(config_for_eight_proxies(), Some(call)).await
}

async fn joined(harness: &Harness, channel: Channel, options: ProxyOptions) -> Proxy {
    let proxy = Proxy::on_channel(channel, options);
    harness
        .wait_until("its tables", || proxy.weights("look").len() == 2)
        .await;
    proxy
}

/// Retries for up to five seconds until the server presents a certificate that `certificate` verifies.
async fn connect_with_retries(
    at: SocketAddr,
    certificate: &Certificate,
) -> Result<Channel, StandinError> {
    let mut channel = connect_tls(at, &certificate.certificate, None).await;
    for _ in 0..500 {
        if channel.is_ok() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
        channel = connect_tls(at, &certificate.certificate, None).await;
    }
    channel
}

#[tokio::test]
async fn reload_replaces_certificates_and_unusable_files_are_ignored() {
    let (at, old) = (free_address(), Certificate::new());
    let files = Files(vec![
        write_temp_file("cert.pem", &old.certificate),
        write_temp_file("key.pem", &old.key),
    ]);
    let [certificate, key] = &files.0[..] else {
        panic!("two files")
    };
    let tls = format!("tls_cert = {certificate:?}, tls_key = {key:?}");
    let harness = serving(&format!("grpc(listen = \"{at}\", {tls})")).await;
    let channel = connect_tls(at, &old.certificate, None).await;
    let first = joined(&harness, channel.expect("a channel"), proxy(3, true)).await;
    // A client that trusts another certificate or doesn't use TLS can't connect.
    let other = Certificate::new().certificate;
    assert!(
        connect_tls(at, &other, None).await.is_err(),
        "the certificate is not trusted"
    );
    if let Ok(plain) = &Proxy::start(at, proxy(4, true)).await {
        harness
            .wait_until("the stream without TLS ends", || plain.status().is_some())
            .await;
    }
    // A key that doesn't match the certificate is rejected, and the old pair stays in use.
    let new = Certificate::new();
    std::fs::write(key, &new.key).expect("a file");
    harness.signal("HUP");
    harness.wait_for_log("nothing is changed").await;
    let channel = connect_tls(at, &old.certificate, None).await;
    let second = joined(
        &harness,
        channel.expect("the old certificate is in use"),
        proxy(5, true),
    )
    .await;
    // With both files replaced, new connections use the new pair, and open connections continue.
    std::fs::write(certificate, &new.certificate).expect("a file");
    harness.signal("HUP");
    let channel = connect_with_retries(at, &new).await;
    joined(
        &harness,
        channel.expect("the new certificate is in use"),
        proxy(6, false),
    )
    .await;
    assert!(first.status().is_none() && second.status().is_none());
}

#[tokio::test]
async fn clients_without_trusted_certificate_are_rejected() {
    let (at, server, client) = (free_address(), Certificate::new(), Certificate::new());
    let files = Files(vec![
        write_temp_file("cert.pem", &server.certificate),
        write_temp_file("key.pem", &server.key),
        write_temp_file("ca.pem", &client.certificate),
    ]);
    let [certificate, key, authority] = &files.0[..] else {
        panic!("three files")
    };
    let harness = serving(&format!(
        "grpc(listen = \"{at}\", tls_cert = {certificate:?}, tls_key = {key:?}, tls_client_ca = {authority:?})"
    ))
    .await;
    let own = Some((client.certificate.as_str(), client.key.as_str()));
    let channel = connect_tls(at, &server.certificate, own).await;
    joined(&harness, channel.expect("a channel"), proxy(3, true)).await;
    let other = Certificate::new();
    for own in [None, Some((other.certificate.as_str(), other.key.as_str()))] {
        // With TLS 1.3, the client's handshake can complete before the server rejects its certificate.
        if let Ok(channel) = connect_tls(at, &server.certificate, own).await {
            let proxy = Proxy::on_channel(channel, proxy(4, true));
            harness
                .wait_until("the stream ends", || proxy.status().is_some())
                .await;
            assert_eq!(proxy.response_count(), 0);
        }
    }
}
