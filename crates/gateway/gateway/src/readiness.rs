//! Serves `GET /-/ready`, which the platform polls to decide whether to send new clients to this gateway (PROTOCOL.md).

use axum::Router;
use axum::http::StatusCode;
use axum::routing::get;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use rushcourse_transport::accept;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Lifetime of a connection to the readiness endpoint, whether active or idle.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(60);

/// Shared flag that the readiness endpoint reports, initially false. Clones share the same flag.
#[derive(Clone, Default)]
pub(crate) struct Readiness(Arc<AtomicBool>);

impl Readiness {
    pub(crate) fn set(&self, is_ready: bool) {
        self.0.store(is_ready, Ordering::Relaxed);
    }

    fn status(&self) -> StatusCode {
        if self.0.load(Ordering::Relaxed) {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }
}

/// Accepts connections and responds to `GET /-/ready` with 200 while the gateway is ready, otherwise with 503.
pub(crate) async fn serve_readiness(listener: TcpListener, readiness: Readiness) {
    let page = move || {
        let status = readiness.status();
        async move { status }
    };
    let router = Router::new().route("/-/ready", get(page));
    loop {
        let (stream, _) = accept(&listener).await;
        let service = TowerToHyperService::new(router.clone());
        tokio::task::spawn_local(async move {
            let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            let _ = timeout(CONNECTION_TIMEOUT, serving).await;
        });
    }
}
