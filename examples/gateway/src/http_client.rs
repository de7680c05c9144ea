//! HTTP/1.1 client that opens a new connection for each request.

use crate::error::ScenarioError;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::time::Duration;
use tokio::net::TcpStream;

/// Limit for connecting, sending the request and reading the whole response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// A request and the server to send it to.
pub struct HttpRequest<'a> {
    /// Server address as `host:port`.
    pub address: &'a str,
    /// HTTP method in capital letters, such as `GET`.
    pub method: &'a str,
    /// Absolute path, with a query if needed.
    pub path: &'a str,
    /// Header names and values. Must include `host`.
    pub headers: &'a [(&'a str, &'a str)],
    /// Request body; may be empty.
    pub body: &'a str,
}

/// The parts of a response that the scenario checks.
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Response-Seal` header, or `-` if it is missing.
    pub seal: String,
}

impl HttpResponse {
    /// Returns true for status 200 only.
    pub fn is_ok(&self) -> bool {
        self.status == 200
    }
}

/// Sends a request and reads the whole response. The response body is discarded.
///
/// # Errors
/// Returns an error if the connection fails, the response is invalid or incomplete, or the request takes longer than
/// three seconds.
pub async fn send(request: HttpRequest<'_>) -> Result<HttpResponse, ScenarioError> {
    tokio::time::timeout(RESPONSE_TIMEOUT, exchange(request))
        .await
        .unwrap_or(Err(ScenarioError::NoResponse))
}

async fn exchange(request: HttpRequest<'_>) -> Result<HttpResponse, ScenarioError> {
    let stream = TcpStream::connect(request.address)
        .await
        .map_err(ScenarioError::Connection)?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(connection);
    let mut message = Request::builder().method(request.method).uri(request.path);
    for (name, value) in request.headers {
        message = message.header(*name, *value);
    }
    let body = Full::new(Bytes::from(request.body.to_string()));
    let response = sender.send_request(message.body(body)?).await?;
    let (status, seal) = (response.status().as_u16(), seal(&response));
    response.into_body().collect().await?;
    Ok(HttpResponse { status, seal })
}

fn seal<B>(response: &Response<B>) -> String {
    let value = response.headers().get("response-seal");
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or("-")
        .to_string()
}
