//! HTTP client of the controllers' control API.

use crate::error::CliError;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::fmt;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time after which a call to a controller fails with [`CallError::TimedOut`].
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of times that a call tries all controllers before it fails.
const MAX_ROUNDS: u32 = 4;
/// Delay between two rounds over all controllers.
const ROUND_DELAY: Duration = Duration::from_millis(300);

/// Error of a call to one controller.
#[derive(Debug)]
pub enum CallError {
    /// The Tokio runtime could not be created.
    Runtime(std::io::Error),
    /// The TCP connection could not be established.
    Connect(std::io::Error),
    /// The address or the path is not valid in an HTTP request.
    InvalidRequest(hyper::http::Error),
    /// The HTTP exchange failed.
    Http(hyper::Error),
    /// The controller closed the connection without a response.
    Closed,
    /// The controller did not respond within the timeout.
    TimedOut,
    /// The controller responded with a status other than 2xx.
    Status {
        /// Status code of the response.
        status: StatusCode,
        /// Trimmed body of the response, which explains the status.
        reason: String,
    },
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Runtime(error) | CallError::Connect(error) => error.fmt(f),
            CallError::InvalidRequest(error) => error.fmt(f),
            CallError::Http(error) => error.fmt(f),
            CallError::Closed => f.write_str("closed"),
            CallError::TimedOut => f.write_str("no answer"),
            CallError::Status { status, reason } => write!(f, "{status} {reason}"),
        }
    }
}

impl std::error::Error for CallError {}

/// Result of fetching a page from one controller.
#[derive(Debug)]
pub struct ControllerPage {
    /// Control address of the controller.
    pub controller: String,
    /// JSON text of the page, or the error of the call.
    pub page: Result<String, CallError>,
}

/// A successful response, with the controller that sent it.
#[derive(Debug)]
pub struct SuccessResponse {
    /// Control address of the controller that responded.
    pub controller: String,
    /// Body of the response.
    pub body: String,
}

/// Client of the control API of a gateway's controllers.
pub struct ControlApi {
    addresses: Vec<String>,
}

impl ControlApi {
    /// Creates a client from comma-separated control addresses.
    pub fn new(addresses: &str) -> ControlApi {
        let addresses = addresses.split(',').map(str::trim);
        ControlApi {
            addresses: addresses
                .filter(|address| !address.is_empty())
                .map(String::from)
                .collect(),
        }
    }

    /// Tries the controllers in order, for several rounds, until one responds with success.
    ///
    /// # Errors
    /// [`CliError::Rejected`] if a controller responds with a 4xx status, [`CliError::AllControllersFailed`] if all
    /// controllers fail in all rounds.
    pub fn first_success(
        &self,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Result<SuccessResponse, CliError> {
        let mut failures = Vec::new();
        for round in 0..MAX_ROUNDS {
            if round > 0 {
                std::thread::sleep(ROUND_DELAY);
            }
            for controller in &self.addresses {
                match call(controller, method, path, body.clone()) {
                    Ok(body) => {
                        return Ok(SuccessResponse {
                            controller: controller.clone(),
                            body,
                        });
                    }
                    Err(CallError::Status { status, reason }) if status.is_client_error() => {
                        return Err(CliError::Rejected {
                            controller: controller.clone(),
                            status,
                            reason,
                        });
                    }
                    Err(error) => failures.push(format!("{controller}: {error}")),
                }
            }
        }
        failures.sort();
        failures.dedup();
        Err(CliError::AllControllersFailed(failures))
    }

    /// Fetches a page once from each controller.
    pub fn fetch_all(&self, path: &str) -> Vec<ControllerPage> {
        let page = |controller: &String| ControllerPage {
            controller: controller.clone(),
            page: call(controller, &Method::GET, path, Bytes::new()),
        };
        self.addresses.iter().map(page).collect()
    }
}

fn call(controller: &str, method: &Method, path: &str, body: Bytes) -> Result<String, CallError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CallError::Runtime)?;
    runtime.block_on(async {
        let request = send_request_to(controller, method, path, body);
        let response = tokio::time::timeout(CALL_TIMEOUT, request).await;
        response.unwrap_or(Err(CallError::TimedOut))
    })
}

async fn send_request_to(
    controller: &str,
    method: &Method,
    path: &str,
    body: Bytes,
) -> Result<String, CallError> {
    let stream = TcpStream::connect(controller)
        .await
        .map_err(CallError::Connect)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(CallError::Http)?;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", controller)
        .header("content-type", "application/json")
        .body(Full::new(body))
        .map_err(CallError::InvalidRequest)?;
    tokio::select! {
        response = send_and_read_response(sender, request) => response,
        _ = connection => Err(CallError::Closed),
    }
}

async fn send_and_read_response(
    mut sender: http1::SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<String, CallError> {
    let response = sender
        .send_request(request)
        .await
        .map_err(CallError::Http)?;
    let status = response.status();
    let body = response.into_body().collect().await;
    let body = body.map_err(CallError::Http)?.to_bytes();
    let text = String::from_utf8_lossy(&body).into_owned();
    if status.is_success() {
        Ok(text)
    } else {
        Err(CallError::Status {
            status,
            reason: text.trim().to_string(),
        })
    }
}
