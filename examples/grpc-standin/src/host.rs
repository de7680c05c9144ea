//! Host that reports its load over gRPC (ORCA, out of band). The messages of the ORCA service are defined here by hand.

use bytes::Bytes;
use futures_util::future::BoxFuture;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::codegen::{Service, http};
use tonic::server::{Grpc, NamedService, ServerStreamingService};
use tonic::{Request, Response, Status};

const INITIAL_UTILIZATION: f64 = 0.5;
/// Reported value of the named metric `queue`, in requests.
const QUEUE_LENGTH: f64 = 2.0;
/// Interval between reports. The interval in the request is ignored.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Message `xds.data.orca.v3.OrcaLoadReport`, with the fields that the director reads.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OrcaLoadReport {
    /// CPU utilization, where 1.0 means fully used. Always 0.
    #[prost(double, tag = "1")]
    pub cpu_utilization: f64,
    /// Application metrics by name. Contains `queue`.
    #[prost(btree_map = "string, double", tag = "8")]
    pub named_metrics: BTreeMap<String, f64>,
    /// Utilization computed by the application, where 1.0 means fully used.
    #[prost(double, tag = "9")]
    pub application_utilization: f64,
}

/// Message `xds.service.orca.v3.OrcaLoadReportRequest`. Its fields are not decoded.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OrcaLoadReportRequest {}

#[derive(Debug)]
struct Shared {
    /// Reported utilization, as the bits of an `f64`.
    utilization: AtomicU64,
    stream_count: AtomicUsize,
    /// False while the host is stalled.
    is_reporting: watch::Sender<bool>,
}

impl Shared {
    fn report(&self) -> OrcaLoadReport {
        OrcaLoadReport {
            application_utilization: f64::from_bits(self.utilization.load(Ordering::Relaxed)),
            named_metrics: [("queue".to_string(), QUEUE_LENGTH)].into(),
            ..OrcaLoadReport::default()
        }
    }
}

/// A host that serves ORCA report streams. Clones share the same state.
#[derive(Clone)]
pub struct ReportingHost {
    /// Bound listen address.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl ReportingHost {
    /// Starts a host. Port 0 selects a free port.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    pub async fn start(address: SocketAddr) -> io::Result<ReportingHost> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            utilization: AtomicU64::new(INITIAL_UTILIZATION.to_bits()),
            stream_count: AtomicUsize::new(0),
            is_reporting: watch::channel(true).0,
        });
        let service = OrcaService {
            shared: shared.clone(),
        };
        let server = tonic::transport::Server::builder().add_service(service);
        tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
        Ok(ReportingHost { address, shared })
    }

    /// Sets the utilization of subsequent reports.
    pub fn set_utilization(&self, utilization: f64) {
        self.shared
            .utilization
            .store(utilization.to_bits(), Ordering::Relaxed);
    }

    /// Pauses or resumes reports on all streams. HTTP/2 pings are acknowledged either way.
    pub fn set_stalled(&self, is_stalled: bool) {
        self.shared.is_reporting.send_replace(!is_stalled);
    }

    /// Number of report streams opened since the start, including closed ones.
    pub fn stream_count(&self) -> usize {
        self.shared.stream_count.load(Ordering::Relaxed)
    }
}

#[derive(Clone)]
struct OrcaService {
    shared: Arc<Shared>,
}

impl NamedService for OrcaService {
    const NAME: &'static str = "xds.service.orca.v3.OpenRcaService";
}

impl ServerStreamingService<OrcaLoadReportRequest> for OrcaService {
    type Response = OrcaLoadReport;
    type ResponseStream = ReceiverStream<Result<OrcaLoadReport, Status>>;
    type Future = BoxFuture<'static, Result<Response<Self::ResponseStream>, Status>>;

    fn call(&mut self, _: Request<OrcaLoadReportRequest>) -> Self::Future {
        let shared = self.shared.clone();
        Box::pin(async move {
            let (reports, queued_reports) = mpsc::channel(1);
            shared.stream_count.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(send_reports(shared, reports));
            Ok(Response::new(ReceiverStream::new(queued_reports)))
        })
    }
}

/// Sends reports on one stream until its receiver is dropped.
async fn send_reports(shared: Arc<Shared>, reports: mpsc::Sender<Result<OrcaLoadReport, Status>>) {
    let mut is_reporting = shared.is_reporting.subscribe();
    loop {
        if is_reporting
            .wait_for(|is_reporting| *is_reporting)
            .await
            .is_err()
        {
            return;
        }
        if reports.send(Ok(shared.report())).await.is_err() {
            return;
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

impl<B> Service<http::Request<B>> for OrcaService
where
    B: tonic::codegen::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<tonic::codegen::StdError> + Send + 'static,
{
    type Response = http::Response<tonic::body::Body>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<B>) -> Self::Future {
        let service = self.clone();
        Box::pin(async move {
            if !request.uri().path().ends_with("/StreamCoreMetrics") {
                return Ok(Status::unimplemented("no such method").into_http());
            }
            let mut grpc = Grpc::new(tonic_prost::ProstCodec::default());
            Ok(grpc.server_streaming(service, request).await)
        })
    }
}
