//! The HTTP client that discovery and probes share: hyper-util's.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::time::Duration;

pub type Http = Client<HttpConnector, Empty<Bytes>>;

const CONNECT_WITHIN: Duration = Duration::from_millis(250);

/// A client that keeps so many idle connections to each address.
pub fn client(idle: usize) -> Http {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_WITHIN));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_secs(5))
        .pool_max_idle_per_host(idle)
        .build(connector)
}

/// Status and body of one GET, within a deadline and a size.
pub async fn get(
    client: &Http,
    url: &str,
    within: Duration,
    most: usize,
) -> Result<(u16, Bytes), String> {
    let uri = url.parse().map_err(|_| format!("{url} is no address"))?;
    let answer = async {
        let response = client
            .get(uri)
            .await
            .map_err(|e| match std::error::Error::source(&e) {
                Some(source) => format!("{e}: {source}"),
                None => e.to_string(),
            })?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), most)
            .collect()
            .await
            .map_err(|e| e.to_string())?;
        Ok((status, body.to_bytes()))
    };
    match tokio::time::timeout(within, answer).await {
        Ok(done) => done,
        Err(_) => Err(format!("no answer within {} ms", within.as_millis())),
    }
}
