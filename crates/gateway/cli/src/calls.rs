//! Calls of core directors over HTTP.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::time::Duration;

/// A call is given up after this time; the next director is asked then.
const WAIT: Duration = Duration::from_secs(2);
/// Rounds over all directors before a call is given up, and the pause between them.
const ROUNDS: u32 = 4;
const PAUSE: Duration = Duration::from_millis(300);

async fn call(
    at: &str,
    method: &str,
    path: &str,
    body: Vec<u8>,
) -> Result<(StatusCode, String), String> {
    let with_address = |e: &dyn std::fmt::Display| format!("{at}: {e}");
    let stream = tokio::net::TcpStream::connect(at)
        .await
        .map_err(|e| with_address(&e))?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| with_address(&e))?;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", at)
        .header("content-type", "application/json");
    let request = request
        .body(Full::new(Bytes::from(body)))
        .map_err(|e| with_address(&e))?;
    let answer = async {
        let response = sender
            .send_request(request)
            .await
            .map_err(|e| with_address(&e))?;
        let status = response.status();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|e| with_address(&e))?
            .to_bytes();
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    };
    tokio::select! {
        answer = answer => answer,
        _ = connection => Err(format!("{at}: closed")),
    }
}

fn now(at: &str, method: &str, path: &str, body: Vec<u8>) -> Result<(StatusCode, String), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    runtime.block_on(async {
        let wait = tokio::time::timeout(WAIT, call(at, method, path, body));
        wait.await
            .unwrap_or_else(|_| Err(format!("{at}: no answer")))
    })
}

/// Asks one director after the other until one says yes or no. Who did, and its body.
///
/// # Errors
/// The refusal with code 1, or what each director failed by with code 2.
pub fn until_clear(
    at: &[String],
    method: &str,
    path: &str,
    body: Vec<u8>,
) -> Result<(String, String), (String, i32)> {
    let mut failed = Vec::new();
    for round in 0..ROUNDS {
        if round > 0 {
            std::thread::sleep(PAUSE);
        }
        for director in at {
            match now(director, method, path, body.clone()) {
                Ok((status, body)) if status.is_success() => return Ok((director.clone(), body)),
                Ok((status, body)) if status.is_client_error() => {
                    return Err((format!("{director} refuses ({status}): {}", body.trim()), 1));
                }
                Ok((status, body)) => failed.push(format!("{director}: {status} {}", body.trim())),
                Err(e) => failed.push(e),
            }
        }
    }
    failed.sort();
    failed.dedup();
    Err((
        format!("no director answered clearly: {}", failed.join("; ")),
        2,
    ))
}

/// Asks each director once.
pub fn each(at: &[String], path: &str) -> Vec<(String, Result<String, String>)> {
    let ask = |d: &String| match now(d, "GET", path, Vec::new()) {
        Ok((status, body)) if status.is_success() => Ok(body),
        Ok((status, body)) => Err(format!("{status} {}", body.trim())),
        Err(e) => Err(e),
    };
    at.iter().map(|d| (d.clone(), ask(d))).collect()
}
