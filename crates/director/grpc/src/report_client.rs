//! The client that receives a host's load reports, out of band (ORCA): one task each; whoever drops it aborts the task.

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

/// A connection has to be established within this.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// A peer that is gone without a word is noticed by HTTP/2's pings.
const PING_INTERVAL: Duration = Duration::from_secs(2);
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// No report is larger, in bytes.
const MAX_REPORT_SIZE: usize = 16 << 10;

/// A report stream to a host.
#[derive(Debug)]
pub(crate) struct ReportStream {
    pub(crate) host: HostId,
    pub(crate) dial: DialId,
    /// host:port.
    pub(crate) address: String,
    /// ms between two reports, as asked of the host.
    pub(crate) report_interval: Ms,
}

/// Why a report stream has ended.
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
            ReportStreamError::Address(address) => write!(f, "{address} is no address"),
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

/// Opens a report stream in a task of its own, which reports its end last.
pub(crate) fn open(stream: ReportStream, events: EventSender) -> AbortHandle {
    let task = tokio::spawn(async move {
        let reason = match stream.receive(&events).await {
            Ok(()) => "it ended its reports".into(),
            Err(error) => error.to_string(),
        };
        let closed = Input::ReportStreamClosed {
            host: stream.host,
            dial: stream.dial,
            reason,
        };
        // Where the transport has gone, nobody misses the report.
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
