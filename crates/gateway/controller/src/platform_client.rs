//! Calls to the platform's API. Each call uses a connection of its own.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST, HeaderName};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use rushcourse_transport::Clock;
use rushcourse_types::{Fence, WindowNumber};
use rushcourse_usage::{DeliveryOutcome, PostCall};
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Upper bound of the time to connect to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Upper bound of the wait for the platform's response, which may be slow.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Names the director that holds the duty.
const DUTY_HOLDER: HeaderName = HeaderName::from_static("duty-holder");
/// Carries the holder's fence.
const FENCE_NUMBER: HeaderName = HeaderName::from_static("fence-number");

/// The outcome of a call, with what identifies it.
pub(crate) struct FinishedDelivery {
    pub(crate) fence: Fence,
    pub(crate) window: WindowNumber,
    pub(crate) outcome: DeliveryOutcome,
}

/// Posts a usage report. Nothing is sent once `call.send_before` has passed.
pub(crate) async fn post_usage(
    platform: SocketAddrV4,
    call: PostCall,
    clock: Clock,
) -> FinishedDelivery {
    FinishedDelivery {
        fence: call.fence,
        window: call.report.window,
        outcome: send(platform, &call, clock).await,
    }
}

async fn send(platform: SocketAddrV4, call: &PostCall, clock: Clock) -> DeliveryOutcome {
    let Ok(Some(mut sender)) = timeout(CONNECT_TIMEOUT, connect(platform)).await else {
        return DeliveryOutcome::Failed;
    };
    let Some(request) = build_request(platform, call) else {
        return DeliveryOutcome::Failed;
    };
    // Checked after all waits: a process that was suspended may have been replaced as the holder.
    if clock.now() >= call.send_before {
        return DeliveryOutcome::Failed;
    }
    match timeout(RESPONSE_TIMEOUT, sender.send_request(request)).await {
        Ok(Ok(response)) => outcome_of(response.status()),
        _ => DeliveryOutcome::Failed,
    }
}

async fn connect(platform: SocketAddrV4) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(platform).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(connection);
    Some(sender)
}

fn build_request(platform: SocketAddrV4, call: &PostCall) -> Option<Request<Full<Bytes>>> {
    let body = Bytes::copy_from_slice(&call.report.body);
    Request::post("/usage")
        .header(HOST, platform.to_string())
        .header(DUTY_HOLDER, &call.holder)
        .header(FENCE_NUMBER, call.fence.0)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .ok()
}

fn outcome_of(status: StatusCode) -> DeliveryOutcome {
    if status.is_success() {
        DeliveryOutcome::Accepted
    } else if status == StatusCode::CONFLICT {
        DeliveryOutcome::FenceRefused
    } else {
        DeliveryOutcome::Failed
    }
}
