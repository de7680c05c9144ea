//! Stand-in host that serves requests addressed to it and sends heartbeats to the controllers.

use crate::http_client::{HttpRequest, send};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Must equal `heartbeat_interval_s` in the settings that `rushctl make-settings` writes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// A host of a service, with counters of the requests that it executed.
pub struct Host {
    id: String,
    service: &'static str,
    address: String,
    /// Sequence number of the last heartbeat.
    call_sequence: Cell<u64>,
    is_draining: Cell<bool>,
    /// Number of executions by operation key, or by attempt ID for requests without a key.
    runs: RefCell<BTreeMap<String, u32>>,
}

impl Host {
    /// Creates a host in state `ready`. It neither listens nor sends heartbeats before [`Host::start`].
    pub fn new(id: String, service: &'static str, address: String) -> Host {
        Host {
            id,
            service,
            address,
            call_sequence: Cell::new(0),
            is_draining: Cell::new(false),
            runs: RefCell::default(),
        }
    }

    /// Instance ID under which the host registers.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Sets the state reported by subsequent heartbeats to `draining`.
    pub fn drain(&self) {
        self.is_draining.set(true);
    }

    /// Number of executions of an operation key.
    pub fn run_count(&self, key: &str) -> u32 {
        self.runs.borrow().get(key).copied().unwrap_or(0)
    }

    /// Number of requests executed so far.
    pub fn total_runs(&self) -> u32 {
        self.runs.borrow().values().sum()
    }

    /// Spawns local tasks that serve requests and send heartbeats to the controllers.
    pub fn start(self: Rc<Self>, controllers: &'static [&'static str]) {
        tokio::task::spawn_local(serve(self.clone()));
        tokio::task::spawn_local(async move {
            loop {
                self.send_heartbeat(controllers).await;
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            }
        });
    }

    /// Sends one heartbeat, trying each controller until one acknowledges it. Returns `false` if none did.
    pub async fn send_heartbeat(&self, controllers: &[&str]) -> bool {
        let sequence = self.call_sequence.get() + 1;
        self.call_sequence.set(sequence);
        let (path, body) = (
            format!("/-/instances/{}", self.id),
            self.heartbeat_body(sequence),
        );
        for attempt in 0..controllers.len() {
            let address = controllers[(sequence as usize + attempt) % controllers.len()];
            let request = HttpRequest {
                address,
                method: "PUT",
                path: &path,
                headers: &[("host", address)],
                body: &body,
            };
            if send(request).await.is_ok_and(|response| response.is_ok()) {
                return true;
            }
        }
        false
    }

    fn heartbeat_body(&self, sequence: u64) -> String {
        let state = if self.is_draining.get() {
            "draining"
        } else {
            "ready"
        };
        format!(
            r#"{{"address":"{}","information":{{"service":"{}","version":"v1","zone":"north","available_slots":4}},"status":{{"state":"{state}","call_sequence":{sequence},"cold_remaining_s":0}}}}"#,
            self.address, self.service,
        )
    }

    fn count_run(&self, operation: String) {
        *self.runs.borrow_mut().entry(operation).or_default() += 1;
    }
}

async fn serve(host: Rc<Host>) {
    let listener = TcpListener::bind(&host.address)
        .await
        .expect("a free address on loopback");
    while let Ok((stream, _)) = listener.accept().await {
        let host = host.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| respond(host.clone(), request));
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn respond(
    host: Rc<Host>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, hyper::Error> {
    if header(&request, "expected-instance").is_some_and(|expected| expected != host.id) {
        return Ok(misdirected_response(&host));
    }
    let attempt = header(&request, "attempt-id").unwrap_or_default();
    let key = header(&request, "operation-key");
    let body = request.into_body().collect().await?.to_bytes();
    host.count_run(key.unwrap_or_else(|| attempt.clone()));
    let text = format!("{} took {} bytes\n", host.id, body.len());
    let response = Response::builder()
        .header("attempt-id", &attempt)
        .header("response-seal", format!("seal-{}-{attempt}", host.id))
        .body(Full::new(Bytes::from(text)));
    Ok(response.expect("a valid head"))
}

/// Returns the 421 response to a request that names another instance. The request is not executed.
fn misdirected_response(host: &Host) -> Response<Full<Bytes>> {
    Response::builder()
        .status(StatusCode::MISDIRECTED_REQUEST)
        .header("answering-instance", &host.id)
        .body(Full::default())
        .expect("a valid head")
}

fn header(request: &Request<Incoming>, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(String::from)
}
