//! Calls of controllers over HTTP, at their control addresses.

use crate::error::CliError;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::fmt;
use std::time::Duration;
use tokio::net::TcpStream;

/// A call is given up after this time; the next controller is asked then.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Rounds over all controllers before a call is given up, and the pause between them.
const MAX_ROUNDS: u32 = 4;
const ROUND_DELAY: Duration = Duration::from_millis(300);

/// Why a controller did not answer with success.
#[derive(Debug)]
pub enum CallError {
    /// The asynchronous runtime can't be made.
    Runtime(std::io::Error),
    /// No connection could be made.
    Connect(std::io::Error),
    /// The address or the path can't stand in a request.
    InvalidRequest(hyper::http::Error),
    /// What came is no HTTP.
    Http(hyper::Error),
    /// The connection was closed without a response.
    Closed,
    /// No response came in time.
    TimedOut,
    /// It answered with another status than success.
    Status {
        /// The status.
        status: StatusCode,
        /// Why, in its words.
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

/// The page of one controller, or why there is none.
#[derive(Debug)]
pub struct ControllerPage {
    /// The controller's control address.
    pub controller: String,
    /// The page's text.
    pub page: Result<String, CallError>,
}

/// A clear answer: the first controller that answered with success.
#[derive(Debug)]
pub struct SuccessResponse {
    /// The controller's control address.
    pub controller: String,
    /// The body of its response.
    pub body: String,
}

/// The controllers of a gateway.
pub struct ControlApi {
    addresses: Vec<String>,
}

impl ControlApi {
    /// Controllers by their control addresses, with commas between them.
    pub fn new(addresses: &str) -> ControlApi {
        let addresses = addresses.split(',').map(str::trim);
        ControlApi {
            addresses: addresses
                .filter(|address| !address.is_empty())
                .map(String::from)
                .collect(),
        }
    }

    /// Asks one controller after the other until one answers clearly.
    ///
    /// # Errors
    /// [`CliError::Rejected`] if one rejects the call, [`CliError::AllControllersFailed`] if all fail in all rounds.
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

    /// The page of each controller, asked once.
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
        let exchange = exchange(controller, method, path, body);
        let response = tokio::time::timeout(CALL_TIMEOUT, exchange).await;
        response.unwrap_or(Err(CallError::TimedOut))
    })
}

async fn exchange(
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
        response = receive(sender, request) => response,
        _ = connection => Err(CallError::Closed),
    }
}

async fn receive(
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
