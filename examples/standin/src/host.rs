//! Host that responds to health checks and load requests over HTTP.

use axum::Router;
use axum::http::StatusCode;
use axum::routing::get;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Starts a healthy host with fixed load values and returns its bound address.
///
/// # Errors
/// Returns an error if the address can't be bound.
pub async fn start(address: SocketAddr) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let load = || async { "TEXT inflight=7, queue=2, util=0.61" };
    let router = Router::new()
        .route("/health", get(|| async { StatusCode::OK }))
        .route("/status/load", get(load));
    tokio::spawn(async move { axum::serve(listener, router).await });
    Ok(address)
}
