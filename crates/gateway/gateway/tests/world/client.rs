//! A client that writes what it is told and reads answers strictly by their length.

use super::MOST;
use std::io;
use std::net::SocketAddrV4;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// An answer as it came.
#[derive(Debug)]
pub struct Come {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// The body came whole, by its length or its last chunk.
    pub whole: bool,
}

impl Come {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|l| l.split_once(": "));
        lines.find(|l| l.0.eq_ignore_ascii_case(name)).map(|l| l.1)
    }

    /// It is the answer that hosts give to this request, and all of it.
    pub fn answers(&self, id: &str) -> bool {
        self.status == 200
            && self.whole
            && self.header("attempt-id") == Some(id)
            && self.header("response-seal") == Some(&format!("seal-{id}"))
            && self.body == format!("answer to {id}").into_bytes()
    }
}

pub struct Client(BufReader<TcpStream>);

impl Client {
    pub async fn connect(at: SocketAddrV4) -> io::Result<Client> {
        Ok(Client(BufReader::new(TcpStream::connect(at).await?)))
    }

    pub async fn write(&mut self, bytes: &[u8]) {
        self.0
            .get_mut()
            .write_all(bytes)
            .await
            .expect("the gateway reads");
    }

    pub async fn request(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        headers: &str,
        body: &[u8],
    ) {
        let length = if method == "GET" {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\n{length}{headers}\r\n"
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes).await;
    }

    /// The next answer. None: the connection ended before one began.
    pub async fn come(&mut self) -> Option<Come> {
        timeout(2 * MOST, self.read(false))
            .await
            .expect("an answer or an end in time")
    }

    /// The next answer, to a HEAD.
    pub async fn come_without_body(&mut self) -> Option<Come> {
        timeout(2 * MOST, self.read(true))
            .await
            .expect("an answer or an end in time")
    }

    /// Whether the gateway ends this connection without a further byte.
    pub async fn ends(&mut self) -> bool {
        let mut byte = [0];
        let read = timeout(2 * MOST, self.0.read(&mut byte))
            .await
            .expect("an end in time");
        !matches!(read, Ok(1))
    }

    async fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.0.read_line(&mut line).await {
            Ok(n) if n > 0 && line.ends_with('\n') => Some(line.trim_end().to_string()),
            _ => None,
        }
    }

    async fn read(&mut self, without_body: bool) -> Option<Come> {
        let first = self.line().await?;
        let status = first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .expect("a status line");
        let mut come = Come {
            status,
            head: String::new(),
            body: Vec::new(),
            whole: false,
        };
        loop {
            let Some(line) = self.line().await else {
                return Some(come);
            };
            if line.is_empty() {
                break;
            }
            come.head.push_str(&line);
            come.head.push('\n');
        }
        if without_body {
            come.whole = true;
        } else if come.header("transfer-encoding") == Some("chunked") {
            come.whole = self.chunks(&mut come.body).await.is_some();
        } else {
            let length: usize = come
                .header("content-length")
                .map_or(0, |l| l.parse().expect("a length"));
            come.whole = self.bytes(length, &mut come.body).await.is_some();
        }
        Some(come)
    }

    async fn bytes(&mut self, mut left: usize, body: &mut Vec<u8>) -> Option<()> {
        while left > 0 {
            let mut part = vec![0; left.min(16_384)];
            let read = self.0.read(&mut part).await.ok().filter(|n| *n > 0)?;
            body.extend_from_slice(&part[..read]);
            left -= read;
        }
        Some(())
    }

    async fn chunks(&mut self, body: &mut Vec<u8>) -> Option<()> {
        loop {
            let length = usize::from_str_radix(&self.line().await?, 16).expect("a chunk's length");
            self.bytes(length, body).await?;
            self.line().await?;
            if length == 0 {
                return Some(());
            }
        }
    }
}
