//! HTTP/1.1 client that sends arbitrary bytes and reads responses strictly by their framing.

use super::waiting::TIMEOUT;
use std::io;
use std::net::SocketAddrV4;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A response received by the client, possibly truncated.
#[derive(Debug)]
pub struct ClientResponse {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// The body reached its `Content-Length` or its last chunk.
    pub is_complete: bool,
}

impl ClientResponse {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.head.lines().filter_map(|line| line.split_once(": "));
        headers
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Whether this is the complete response of [`valid_response`](super::valid_response) to the request with this id.
    pub fn is_valid_for(&self, id: &str) -> bool {
        self.status == 200
            && self.is_complete
            && self.header("attempt-id") == Some(id)
            && self.header("response-seal") == Some(&format!("seal-{id}"))
            && self.body == format!("answer to {id}").into_bytes()
    }
}

/// How the client finds the body of a response.
#[derive(Clone, Copy, PartialEq)]
enum ExpectedBody {
    /// By `Content-Length` or `Transfer-Encoding`.
    FromHeaders,
    /// There is none, whatever the headers say, because the request method was HEAD.
    None,
}

pub struct Client(BufReader<TcpStream>);

impl Client {
    pub async fn connect(address: SocketAddrV4) -> io::Result<Client> {
        let stream = TcpStream::connect(address).await?;
        Ok(Client(BufReader::new(stream)))
    }

    pub async fn write(&mut self, bytes: &[u8]) {
        self.0
            .get_mut()
            .write_all(bytes)
            .await
            .expect("the gateway reads from the connection");
    }

    pub async fn send_request(
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

    /// Reads the next response, `None` if the connection ends before its status line.
    pub async fn next_response(&mut self) -> Option<ClientResponse> {
        timeout(2 * TIMEOUT, self.read_response(ExpectedBody::FromHeaders))
            .await
            .expect("a response or the end of the connection in time")
    }

    /// Reads the next response and panics if the connection ends before its status line.
    pub async fn expect_response(&mut self) -> ClientResponse {
        self.next_response()
            .await
            .expect("a response before the end of the connection")
    }

    /// Reads the response to a HEAD request, which has no body.
    pub async fn expect_response_to_head(&mut self) -> ClientResponse {
        timeout(2 * TIMEOUT, self.read_response(ExpectedBody::None))
            .await
            .expect("a response or the end of the connection in time")
            .expect("a response before the end of the connection")
    }

    /// Waits for the gateway to close the connection. Returns false if a byte arrives first.
    pub async fn is_closed_by_gateway(&mut self) -> bool {
        let mut byte = [0];
        let read = timeout(2 * TIMEOUT, self.0.read(&mut byte))
            .await
            .expect("data or the end of the connection in time");
        !matches!(read, Ok(1))
    }

    async fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.0.read_line(&mut line).await {
            Ok(bytes) if bytes > 0 && line.ends_with('\n') => Some(line.trim_end().to_string()),
            _ => None,
        }
    }

    async fn read_response(&mut self, expected_body: ExpectedBody) -> Option<ClientResponse> {
        let status_line = self.read_line().await?;
        let status = status_line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .expect("the status line has a numeric status");
        let mut response = ClientResponse {
            status,
            head: String::new(),
            body: Vec::new(),
            is_complete: false,
        };
        if self.read_headers(&mut response.head).await.is_none() {
            return Some(response);
        }
        response.is_complete =
            expected_body == ExpectedBody::None || self.read_body(&mut response).await.is_some();
        Some(response)
    }

    async fn read_headers(&mut self, head: &mut String) -> Option<()> {
        loop {
            let line = self.read_line().await?;
            if line.is_empty() {
                return Some(());
            }
            head.push_str(&line);
            head.push('\n');
        }
    }

    async fn read_body(&mut self, response: &mut ClientResponse) -> Option<()> {
        if response.header("transfer-encoding") == Some("chunked") {
            return self.read_chunks(&mut response.body).await;
        }
        let length: usize = response.header("content-length").map_or(0, |length| {
            length.parse().expect("Content-Length is a number")
        });
        self.read_bytes(length, &mut response.body).await
    }

    async fn read_bytes(&mut self, mut left: usize, body: &mut Vec<u8>) -> Option<()> {
        while left > 0 {
            let mut part = vec![0; left.min(16_384)];
            let read = self.0.read(&mut part).await.ok().filter(|read| *read > 0)?;
            body.extend_from_slice(&part[..read]);
            left -= read;
        }
        Some(())
    }

    async fn read_chunks(&mut self, body: &mut Vec<u8>) -> Option<()> {
        loop {
            let line = self.read_line().await?;
            let length = usize::from_str_radix(&line, 16).expect("the chunk size is hexadecimal");
            self.read_bytes(length, body).await?;
            self.read_line().await?;
            if length == 0 {
                return Some(());
            }
        }
    }
}
