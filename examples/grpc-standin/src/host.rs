//! A host that reports its load over gRPC (ORCA, out of band). The published service is small: its two messages are
//! written here by name and number.

use bytes::Bytes;
use futures_util::future::BoxFuture;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::codegen::{Service, http};
use tonic::server::{Grpc, NamedService, ServerStreamingService};
use tonic::{Request, Response, Status};

/// `xds.data.orca.v3.OrcaLoadReport`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OrcaLoadReport {
    #[prost(double, tag = "1")]
    pub cpu_utilization: f64,
    #[prost(btree_map = "string, double", tag = "8")]
    pub named_metrics: BTreeMap<String, f64>,
    #[prost(double, tag = "9")]
    pub application_utilization: f64,
}

/// `xds.service.orca.v3.OrcaLoadReportRequest`; what it asks for is not looked at.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OrcaLoadReportRequest {}

#[derive(Debug)]
struct Shared {
    /// Utilization as bits of an `f64`.
    util: AtomicU64,
    streams: AtomicUsize,
    /// While it holds, reports go out.
    speaks: watch::Sender<bool>,
}

/// A host that listens, and what it says of itself.
#[derive(Clone)]
pub struct Host {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Host {
    pub async fn start(address: SocketAddr) -> std::io::Result<Host> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Shared {
            util: AtomicU64::new(0),
            streams: AtomicUsize::new(0),
            speaks: watch::channel(true).0,
        };
        let host = Host {
            address,
            shared: Arc::new(shared),
        };
        host.set(0.5);
        let served = tonic::transport::Server::builder().add_service(Orca {
            shared: host.shared.clone(),
        });
        tokio::spawn(served.serve_with_incoming(TcpListenerStream::new(listener)));
        Ok(host)
    }

    pub fn set(&self, util: f64) {
        self.shared.util.store(util.to_bits(), Ordering::Relaxed);
    }

    /// From now on it answers pings and says nothing, or speaks again.
    pub fn stall(&self, stalls: bool) {
        self.shared.speaks.send_replace(!stalls);
    }

    /// Streams of reports that were ever opened.
    pub fn streams(&self) -> usize {
        self.shared.streams.load(Ordering::Relaxed)
    }
}

#[derive(Clone)]
struct Orca {
    shared: Arc<Shared>,
}

impl NamedService for Orca {
    const NAME: &'static str = "xds.service.orca.v3.OpenRcaService";
}

impl ServerStreamingService<OrcaLoadReportRequest> for Orca {
    type Response = OrcaLoadReport;
    type ResponseStream = ReceiverStream<Result<OrcaLoadReport, Status>>;
    type Future = BoxFuture<'static, Result<Response<Self::ResponseStream>, Status>>;

    fn call(&mut self, _: Request<OrcaLoadReportRequest>) -> Self::Future {
        let shared = self.shared.clone();
        Box::pin(async move {
            let (say, reports) = mpsc::channel(1);
            shared.streams.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                let mut speaks = shared.speaks.subscribe();
                loop {
                    if speaks.wait_for(|speaks| *speaks).await.is_err() {
                        return;
                    }
                    let report = OrcaLoadReport {
                        application_utilization: f64::from_bits(
                            shared.util.load(Ordering::Relaxed),
                        ),
                        named_metrics: [("queue".to_string(), 2.0)].into(),
                        ..OrcaLoadReport::default()
                    };
                    if say.send(Ok(report)).await.is_err() {
                        return;
                    }
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            });
            Ok(Response::new(ReceiverStream::new(reports)))
        })
    }
}

impl<B> Service<http::Request<B>> for Orca
where
    B: tonic::codegen::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<tonic::codegen::StdError> + Send + 'static,
{
    type Response = http::Response<tonic::body::Body>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Self::Response, Infallible>>;

    fn poll_ready(
        &mut self,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Result<(), Infallible>> {
        std::task::Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<B>) -> Self::Future {
        let own = self.clone();
        Box::pin(async move {
            if !request.uri().path().ends_with("/StreamCoreMetrics") {
                return Ok(Status::unimplemented("no such method").into_http());
            }
            let mut grpc = Grpc::new(tonic_prost::ProstCodec::default());
            Ok(grpc.server_streaming(own, request).await)
        })
    }
}
