//! Certificates of the server and its clients.

use crate::common::{Harness, file, free_address};
use crate::{config_for_eight_proxies, proxy};
use rushcourse_grpc_standin::proxy::{Proxy, ProxyOptions};
use rushcourse_grpc_standin::{StandinError, connect_tls};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tonic::transport::Channel;

/// A self-signed certificate for `director.test`, and its key, in PEM form.
struct Certificate {
    certificate: String,
    key: String,
}

impl Certificate {
    fn new() -> Certificate {
        let made = rcgen::generate_simple_self_signed(vec!["director.test".to_string()])
            .expect("a certificate");
        Certificate {
            certificate: made.cert.pem(),
            key: made.signing_key.serialize_pem(),
        }
    }
}

/// Files that are removed with it.
struct Files(Vec<PathBuf>);

impl Drop for Files {
    fn drop(&mut self) {
        for path in &self.0 {
            _ = std::fs::remove_file(path);
        }
    }
}

/// A director that serves gRPC with this call of `grpc`.
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

/// Connects as soon as the server shows a certificate.
async fn connect_until_shown(
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
async fn certificates_change_in_service_and_files_that_cannot_be_used_change_nothing() {
    let (at, old) = (free_address(), Certificate::new());
    let files = Files(vec![
        file("cert.pem", &old.certificate),
        file("key.pem", &old.key),
    ]);
    let [certificate, key] = &files.0[..] else {
        panic!("two files")
    };
    let tls = format!("tls_cert = {certificate:?}, tls_key = {key:?}");
    let harness = serving(&format!("grpc(listen = \"{at}\", {tls})")).await;
    let channel = connect_tls(at, &old.certificate, None).await;
    let first = joined(&harness, channel.expect("a channel"), proxy(3, true)).await;
    // Who trusts another certificate, or speaks no TLS, is let go.
    let other = Certificate::new().certificate;
    assert!(
        connect_tls(at, &other, None).await.is_err(),
        "signed by another one"
    );
    if let Ok(plain) = &Proxy::start(at, proxy(4, true)).await {
        harness
            .wait_until("it ends", || plain.status().is_some())
            .await;
    }
    // A key that is not the certificate's: nothing changes.
    let new = Certificate::new();
    std::fs::write(key, &new.key).expect("a file");
    harness.signal("HUP");
    harness.wait_for_log("nothing is changed").await;
    let channel = connect_tls(at, &old.certificate, None).await;
    let second = joined(
        &harness,
        channel.expect("the old keys hold"),
        proxy(5, true),
    )
    .await;
    // Both: new connections get them, and those that are open stay.
    std::fs::write(certificate, &new.certificate).expect("a file");
    harness.signal("HUP");
    let channel = connect_until_shown(at, &new).await;
    joined(&harness, channel.expect("the new keys"), proxy(6, false)).await;
    assert!(first.status().is_none() && second.status().is_none());
}

#[tokio::test]
async fn where_clients_must_show_a_certificate_others_are_not_served() {
    let (at, server, client) = (free_address(), Certificate::new(), Certificate::new());
    let files = Files(vec![
        file("cert.pem", &server.certificate),
        file("key.pem", &server.key),
        file("ca.pem", &client.certificate),
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
        // The handshake may look done to a client before it is rejected.
        if let Ok(channel) = connect_tls(at, &server.certificate, own).await {
            let proxy = Proxy::on_channel(channel, proxy(4, true));
            harness
                .wait_until("it ends", || proxy.status().is_some())
                .await;
            assert_eq!(proxy.response_count(), 0);
        }
    }
}
