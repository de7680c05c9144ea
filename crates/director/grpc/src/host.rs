//! Asks a host for its load, out of band: one task each; whoever drops it aborts the task.

use crate::convert;
use crate::events::{EventSender, FrontEvent};
use crate::proto::xds::service::orca::v3 as orca;
use orca::open_rca_service_client::OpenRcaServiceClient;
use rushcourse_policy::interface::{HostId, Ms};
use rushcourse_xds::{DialId, Input};
use std::time::Duration;
use tokio::task::AbortHandle;
use tonic::transport::Endpoint;

/// ms for a connection to come up.
const CONNECT_WITHIN: Duration = Duration::from_millis(1500);
/// A peer that is gone without a word is noticed by HTTP/2's pings.
const PING_EVERY: Duration = Duration::from_secs(2);
const PING_WITHIN: Duration = Duration::from_secs(2);
/// No report is larger.
const REPORT_MOST: usize = 16 << 10;

pub fn open(
    host: HostId,
    dial: DialId,
    address: String,
    every: Ms,
    to: EventSender,
) -> AbortHandle {
    let task = tokio::spawn(async move {
        let why = match ask(&host, dial, &address, every, &to).await {
            Ok(()) => "it ended its reports".into(),
            Err(why) => why,
        };
        _ = to
            .bounded
            .send(FrontEvent::Input(Input::ReportStreamClosed {
                host,
                dial,
                reason: why,
            }))
            .await;
    });
    task.abort_handle()
}

async fn ask(
    host: &HostId,
    dial: DialId,
    address: &str,
    every: Ms,
    to: &EventSender,
) -> Result<(), String> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"));
    let endpoint = endpoint.map_err(|_| format!("{address} is no address"))?;
    let endpoint = endpoint
        .connect_timeout(CONNECT_WITHIN)
        .http2_keep_alive_interval(PING_EVERY)
        .keep_alive_timeout(PING_WITHIN)
        .tcp_nodelay(true);
    let channel = endpoint
        .connect()
        .await
        .map_err(|e| match std::error::Error::source(&e) {
            Some(source) => format!("{e}: {source}"),
            None => e.to_string(),
        })?;
    let mut client = OpenRcaServiceClient::new(channel).max_decoding_message_size(REPORT_MOST);
    let request = orca::OrcaLoadReportRequest {
        report_interval: Some(convert::duration(every)),
        request_cost_names: Vec::new(),
    };
    let reports = client
        .stream_core_metrics(request)
        .await
        .map_err(|e| e.to_string())?;
    let mut reports = reports.into_inner();
    _ = to
        .bounded
        .send(FrontEvent::Input(Input::ReportStreamOpened {
            host: host.clone(),
            dial,
        }))
        .await;
    while let Some(report) = reports
        .message()
        .await
        .map_err(|e| e.message().to_string())?
    {
        let report = convert::of_report(&report);
        let said = Input::ReportReceived {
            host: host.clone(),
            dial,
            report,
        };
        if to.bounded.send(FrontEvent::Input(said)).await.is_err() {
            return Ok(());
        }
    }
    Ok(())
}
