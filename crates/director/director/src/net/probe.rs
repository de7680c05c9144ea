//! Probes a host; what it answers becomes an input.

use super::http::{self, Http};
use crate::events::{LoopEvent, LoopSender};
use bytes::Bytes;
use rushcourse_director_state::Input;
use rushcourse_policy::interface::HostId;
use std::time::{Duration, Instant};

/// No load report is larger.
const REPORT_MOST: usize = 16 << 10;

pub struct Client {
    http: Http,
}

impl Client {
    pub fn new() -> Client {
        Client {
            http: http::client(0),
        }
    }

    pub fn ask(
        &self,
        host: HostId,
        address: String,
        path: &'static str,
        within: Duration,
        to: LoopSender,
    ) {
        let (http, url) = (self.http.clone(), format!("http://{address}{path}"));
        tokio::spawn(async move {
            let start = Instant::now();
            let answer = http::get(&http, &url, within, REPORT_MOST).await;
            let took = start.elapsed().as_secs_f64() * 1000.0;
            let (status, body) = answer.map_or((None, Bytes::new()), |(s, b)| (Some(s), b));
            _ = to
                .send(LoopEvent::Input(Input::HealthChecked {
                    host,
                    elapsed: took,
                    status,
                    body,
                }))
                .await;
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;
    use tokio::sync::mpsc;

    /// A host that answers every connection with these bytes, or with silence.
    async fn host(answer: Option<&'static [u8]>) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        tokio::spawn(async move {
            let mut open = Vec::new();
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut head = [0; 512];
                _ = stream.read(&mut head).await;
                if let Some(bytes) = answer {
                    _ = stream.write_all(bytes).await;
                } else {
                    open.push(stream);
                }
            }
        });
        address
    }

    async fn probed(address: String) -> (Option<u16>, Bytes) {
        let (to, mut events) = mpsc::channel(4);
        Client::new().ask(
            "h".into(),
            address,
            "/status/load",
            Duration::from_millis(300),
            to,
        );
        match events.recv().await {
            Some(LoopEvent::Input(Input::HealthChecked { status, body, .. })) => (status, body),
            _ => panic!("a probe always ends with an answer"),
        }
    }

    #[tokio::test]
    async fn every_probe_ends_whatever_the_host_does() {
        let well = host(Some(
            b"HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\nTEXT util=0.5",
        ))
        .await;
        assert_eq!(
            probed(well).await,
            (Some(200), Bytes::from_static(b"TEXT util=0.5"))
        );
        let full = host(Some(
            b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n",
        ))
        .await;
        assert_eq!(probed(full).await.0, Some(503));
        assert_eq!(probed(host(None).await).await.0, None, "it hangs");
        assert_eq!(probed(host(Some(b"")).await).await.0, None, "it breaks off");
        assert_eq!(
            probed(host(Some(b"what?\r\n\r\n")).await).await.0,
            None,
            "it speaks no HTTP"
        );
        let long = host(Some(
            b"HTTP/1.1 200 OK\r\ncontent-length: 999999999\r\n\r\nTEXT",
        ))
        .await;
        assert_eq!(probed(long).await.0, None, "its report never ends");
        assert_eq!(probed("127.0.0.1:1".into()).await.0, None, "nobody listens");
        assert_eq!(probed("no address".into()).await.0, None);
    }
}
