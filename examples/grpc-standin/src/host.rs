//! A host that reports its load over gRPC (ORCA, out of band). The published service is small: its two messages are
//! written here by name and number.

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
/// Requests that the host reports as waiting.
const QUEUE: f64 = 2.0;
/// Between two reports, whatever interval is asked for.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// `xds.data.orca.v3.OrcaLoadReport`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OrcaLoadReport {
    /// Share of its processors in use.
    #[prost(double, tag = "1")]
    pub cpu_utilization: f64,
    /// Metrics of the application, by name.
    #[prost(btree_map = "string, double", tag = "8")]
    pub named_metrics: BTreeMap<String, f64>,
    /// Utilization as the application sees it.
    #[prost(double, tag = "9")]
    pub application_utilization: f64,
}

/// `xds.service.orca.v3.OrcaLoadReportRequest`; what it asks for is not looked at.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OrcaLoadReportRequest {}

#[derive(Debug)]
struct Shared {
    /// Utilization as bits of an `f64`.
    utilization: AtomicU64,
    stream_count: AtomicUsize,
    /// Reports go out while this holds.
    is_reporting: watch::Sender<bool>,
}

impl Shared {
    fn report(&self) -> OrcaLoadReport {
        OrcaLoadReport {
            application_utilization: f64::from_bits(self.utilization.load(Ordering::Relaxed)),
            named_metrics: [("queue".to_string(), QUEUE)].into(),
            ..OrcaLoadReport::default()
        }
    }
}

/// A host that listens and reports its load.
#[derive(Clone)]
pub struct ReportingHost {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl ReportingHost {
    /// Listens at an address.
    ///
    /// # Errors
    /// The address can't be bound.
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

    /// Reports this utilization from now on.
    pub fn set_utilization(&self, utilization: f64) {
        self.shared
            .utilization
            .store(utilization.to_bits(), Ordering::Relaxed);
    }

    /// From now on it answers pings and reports nothing, or reports again.
    pub fn set_stalled(&self, is_stalled: bool) {
        self.shared.is_reporting.send_replace(!is_stalled);
    }

    /// How many report streams were ever opened.
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
            let (reports, waiting_reports) = mpsc::channel(1);
            shared.stream_count.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(send_reports(shared, reports));
            Ok(Response::new(ReceiverStream::new(waiting_reports)))
        })
    }
}

/// Reports until nobody receives reports any more.
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
