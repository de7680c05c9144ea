//! A stand-in of a host: registers, sends beats, runs requests and tells what it ran.

use crate::http::{Message, call, read_message};
use crate::record;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request that a host ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub host: String,
    pub attempt: String,
    pub key: String,
    pub tenant: String,
}

pub struct Host {
    pub id: String,
    service: String,
    zone: String,
    pub address: SocketAddr,
    directors: Vec<SocketAddr>,
    beat_interval: Duration,
    work: Duration,
    sequence: AtomicU64,
    acknowledged: AtomicU64,
    last_beat_at: Mutex<Instant>,
    /// While set, the host is cut off from all other machines: nothing reaches it and nothing leaves it.
    cut_until: Mutex<Option<Instant>>,
    /// Requests that the host ran, in order.
    pub runs: Mutex<Vec<Run>>,
}

pub struct HostSetup<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub address: SocketAddr,
    pub directors: &'a [SocketAddr],
    pub work: Duration,
}

/// `heartbeat_interval_s` of the settings.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(1_500);

impl Host {
    /// Starts to listen and to send beats.
    pub fn start(setup: HostSetup<'_>) -> Arc<Host> {
        let host = Arc::new(Host {
            id: setup.id.to_string(),
            service: setup.service.to_string(),
            zone: setup.zone.to_string(),
            address: setup.address,
            directors: setup.directors.to_vec(),
            beat_interval: BEAT_INTERVAL,
            work: setup.work,
            sequence: AtomicU64::new(0),
            acknowledged: AtomicU64::new(0),
            last_beat_at: Mutex::new(Instant::now()),
            cut_until: Mutex::new(None),
            runs: Mutex::default(),
        });
        let listener = TcpListener::bind(host.address).expect("a free address");
        let serving = host.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let host = serving.clone();
                thread::spawn(move || host.serve(stream));
            }
        });
        let beating = host.clone();
        thread::spawn(move || {
            loop {
                beating.wait_for_cut();
                *beating.last_beat_at.lock().expect("no holder panics") = Instant::now();
                if beating.beat().is_some() {
                    beating.acknowledged.fetch_add(1, Ordering::SeqCst);
                }
                thread::sleep(beating.beat_interval);
            }
        });
        host
    }

    /// Waits until the last beat is at least this long ago.
    pub fn wait_for_beat_age(&self, age: Duration) {
        while self
            .last_beat_at
            .lock()
            .expect("no holder panics")
            .elapsed()
            < age
        {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Cuts the host off from all other machines, from now on for this long. It goes on afterwards as it was.
    pub fn cut_off(&self, length: Duration) {
        record::line(&format!("host {} is cut off for {length:?}", self.id));
        *self.cut_until.lock().expect("no holder panics") = Some(Instant::now() + length);
    }

    /// Beats that a director has acknowledged.
    pub fn acknowledged_beats(&self) -> u64 {
        self.acknowledged.load(Ordering::SeqCst)
    }

    /// Waits while the host is cut off.
    fn wait_for_cut(&self) {
        let until = *self.cut_until.lock().expect("no holder panics");
        if let Some(left) = until.and_then(|until| until.checked_duration_since(Instant::now())) {
            thread::sleep(left);
        }
    }

    /// Sends one beat, to the next director after each failure.
    fn beat(&self) -> Option<SocketAddr> {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            r#"{{"address":"{}","information":{{"service":"{}","version":"v1","zone":"{}","available_slots":4}},"status":{{"state":"ready","call_sequence":{sequence},"cold_remaining_s":0}}}}"#,
            self.address, self.service, self.zone
        );
        self.tell("PUT", &body, sequence as usize)
    }

    fn tell(&self, method: &str, body: &str, first: usize) -> Option<SocketAddr> {
        for attempt in 0..self.directors.len() {
            let director = self.directors[(first + attempt) % self.directors.len()];
            let head = format!(
                "{method} /-/instances/{} HTTP/1.1\r\nHost: {director}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                self.id,
                body.len()
            );
            let answer = call(director, &head, body.as_bytes(), Duration::from_secs(1));
            if answer.is_ok_and(|answer| (200..300).contains(&answer.status())) {
                return Some(director);
            }
        }
        None
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut buffer) {
            self.wait_for_cut();
            let answer = self.answer(&request);
            self.wait_for_cut();
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> String {
        let attempt = request.header("attempt-id").unwrap_or("");
        if request.path() == "/health" {
            return format!(
                "HTTP/1.1 200 OK\r\nAnswering-Instance: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
        }
        let expected = request.header("expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n"
            );
        }
        let run = Run {
            host: self.id.clone(),
            attempt: attempt.to_string(),
            key: request.header("operation-key").unwrap_or("").to_string(),
            tenant: request.header("tenant-name").unwrap_or("").to_string(),
        };
        record::line(&format!(
            "host {} runs attempt={} key={} tenant={} {}",
            run.host, run.attempt, run.key, run.tenant, request.first_line
        ));
        let body = format!("{} ran {}\n", self.id, run.attempt);
        let seal = format!("seal-{}-{attempt}", self.id);
        self.runs.lock().expect("no holder panics").push(run);
        thread::sleep(self.work);
        format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: {seal}\r\nKeep-Alive: timeout=8\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}
