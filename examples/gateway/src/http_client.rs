//! One HTTP/1.1 request on a connection of its own.

use crate::error::ScenarioError;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::time::Duration;
use tokio::net::TcpStream;

/// A response that takes longer counts as none.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// What is sent, and where to.
pub struct HttpRequest<'a> {
    /// Address and port.
    pub address: &'a str,
    /// The method.
    pub method: &'a str,
    /// The path.
    pub path: &'a str,
    /// Names and values; HTTP wants a `host` among them.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body, which may be empty.
    pub body: &'a str,
}

/// What came back.
pub struct HttpResponse {
    /// The status.
    pub status: u16,
    /// `Response-Seal`, or `-` where there is none.
    pub seal: String,
}

impl HttpResponse {
    /// Whether the status is 200.
    pub fn is_ok(&self) -> bool {
        self.status == 200
    }
}

/// Sends a request and reads the whole response.
///
/// # Errors
/// No connection, no response within three seconds, or one that breaks off.
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
