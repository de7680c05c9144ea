//! Probes a host; what it answers becomes an input.

use super::http::{self, Http};
use crate::effects::{ToLoop, Told};
use bytes::Bytes;
use rushcourse_core::interface::HostId;
use rushcourse_reducer::Input;
use std::time::{Duration, Instant};

/// No load report is larger.
const REPORT_MOST: usize = 16 << 10;

pub struct Client {
    http: Http,
}

impl Client {
    pub fn new() -> Client {
        Client { http: http::client(0) }
    }

    pub fn ask(&self, host: HostId, address: String, path: &'static str, within: Duration, to: ToLoop) {
        let (http, url) = (self.http.clone(), format!("http://{address}{path}"));
        tokio::spawn(async move {
            let start = Instant::now();
            let answer = http::get(&http, &url, within, REPORT_MOST).await;
            let took = start.elapsed().as_secs_f64() * 1000.0;
            let (status, body) = answer.map_or((None, Bytes::new()), |(s, b)| (Some(s), b));
            _ = to.send(Told::Input(Input::Probed { host, took, status, body })).await;
        });
    }
}
