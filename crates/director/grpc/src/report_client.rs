//! Client that receives out-of-band load reports (ORCA) from a host, one task per host.

use crate::convert;
use crate::events::{EventSender, TransportEvent};
use crate::proto::xds::service::orca::v3 as orca;
use orca::open_rca_service_client::OpenRcaServiceClient;
use rushcourse_policy::interface::{HostId, Ms};
use rushcourse_xds::{DialId, Input};
use std::error::Error;
use std::fmt;
use std::time::Duration;
use tokio::task::AbortHandle;
use tonic::Status;
use tonic::transport::Endpoint;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval of HTTP/2 keepalive pings, which detect hosts that failed without closing the connection.
const PING_INTERVAL: Duration = Duration::from_secs(2);
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a report in bytes.
const MAX_REPORT_SIZE: usize = 16 << 10;

/// Target and parameters of a report stream.
#[derive(Debug)]
pub(crate) struct ReportStream {
    pub(crate) host: HostId,
    pub(crate) dial: DialId,
    /// The host's gRPC endpoint as `host:port`.
    pub(crate) address: String,
    /// Interval between reports requested from the host, in ms.
    pub(crate) report_interval: Ms,
}

/// Reason why a report stream failed.
#[derive(Debug)]
enum ReportStreamError {
    Address(String),
    Connect(tonic::transport::Error),
    Call(Status),
    Stream(Status),
}

impl fmt::Display for ReportStreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReportStreamError::Address(address) => write!(f, "invalid address {address}"),
            ReportStreamError::Connect(error) => match error.source() {
                Some(source) => write!(f, "{error}: {source}"),
                None => write!(f, "{error}"),
            },
            ReportStreamError::Call(status) => write!(f, "{status}"),
            ReportStreamError::Stream(status) => write!(f, "{}", status.message()),
        }
    }
}

impl Error for ReportStreamError {}

/// Spawns a task that receives reports. It sends [`Input::ReportStreamClosed`] when the stream ends, but not when it is
/// aborted.
pub(crate) fn open(stream: ReportStream, events: EventSender) -> AbortHandle {
    let task = tokio::spawn(async move {
        let reason = match stream.receive(&events).await {
            Ok(()) => "host ended the stream".into(),
            Err(error) => error.to_string(),
        };
        let closed = Input::ReportStreamClosed {
            host: stream.host,
            dial: stream.dial,
            reason,
        };
        // Sending fails only if the transport was dropped.
        _ = events.send(TransportEvent::Input(closed)).await;
    });
    task.abort_handle()
}

impl ReportStream {
    async fn receive(&self, events: &EventSender) -> Result<(), ReportStreamError> {
        let endpoint = Endpoint::from_shared(format!("http://{}", self.address))
            .map_err(|_| ReportStreamError::Address(self.address.clone()))?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .tcp_nodelay(true);
        let channel = endpoint
            .connect()
            .await
            .map_err(ReportStreamError::Connect)?;
        let mut client =
            OpenRcaServiceClient::new(channel).max_decoding_message_size(MAX_REPORT_SIZE);
        let request = orca::OrcaLoadReportRequest {
            report_interval: Some(convert::encode_duration(self.report_interval)),
            request_cost_names: Vec::new(),
        };
        let mut reports = client
            .stream_core_metrics(request)
            .await
            .map_err(ReportStreamError::Call)?
            .into_inner();
        let opened = Input::ReportStreamOpened {
            host: self.host.clone(),
            dial: self.dial,
        };
        _ = events.send(TransportEvent::Input(opened)).await;
        while let Some(report) = reports.message().await.map_err(ReportStreamError::Stream)? {
            let received = Input::ReportReceived {
                host: self.host.clone(),
                dial: self.dial,
                report: convert::decode_orca_report(&report),
            };
            if events.send(TransportEvent::Input(received)).await.is_err() {
                return Ok(());
            }
        }
        Ok(())
    }
}
