//! HTTP client for discovery and health checks.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::error::Error;
use std::fmt;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long an idle connection stays in the pool.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

pub(super) struct HttpResponse {
    pub(super) status: u16,
    pub(super) body: Bytes,
}

/// Why a request failed.
#[derive(Debug)]
pub(super) enum HttpError {
    /// The URL can't be parsed.
    Url(String),
    /// The request could not be sent, or the response's head could not be read.
    Request(legacy::Error),
    /// The body is incomplete or too large.
    Body(Box<dyn Error + Send + Sync>),
    /// The response was not complete within this time.
    Timeout(Duration),
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HttpError::Url(url) => write!(f, "invalid URL: {url}"),
            HttpError::Request(error) => match error.source() {
                Some(source) => write!(f, "{error}: {source}"),
                None => write!(f, "{error}"),
            },
            HttpError::Body(error) => write!(f, "{error}"),
            HttpError::Timeout(timeout) => {
                write!(f, "no complete response within {} ms", timeout.as_millis())
            }
        }
    }
}

impl Error for HttpError {}

/// An HTTP client. Clones share its connection pool.
#[derive(Clone)]
pub(super) struct HttpClient {
    inner: legacy::Client<HttpConnector, Empty<Bytes>>,
}

impl HttpClient {
    /// Keeps at most `max_idle` idle connections to each address.
    pub(super) fn new(max_idle: usize) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(max_idle)
            .build(connector);
        HttpClient { inner }
    }

    /// Sends a GET request. Fails if the response isn't complete within `timeout` or its body exceeds `max_size` bytes.
    pub(super) async fn get(
        &self,
        url: &str,
        timeout: Duration,
        max_size: usize,
    ) -> Result<HttpResponse, HttpError> {
        tokio::time::timeout(timeout, self.get_untimed(url, max_size))
            .await
            .unwrap_or(Err(HttpError::Timeout(timeout)))
    }

    async fn get_untimed(&self, url: &str, max_size: usize) -> Result<HttpResponse, HttpError> {
        let uri = url.parse().map_err(|_| HttpError::Url(url.into()))?;
        let response = self.inner.get(uri).await.map_err(HttpError::Request)?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), max_size)
            .collect()
            .await
            .map_err(HttpError::Body)?;
        Ok(HttpResponse {
            status,
            body: body.to_bytes(),
        })
    }
}
