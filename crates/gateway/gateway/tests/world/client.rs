//! A client that writes what it is told and reads responses strictly by their length.

use super::waiting::TIMEOUT;
use std::io;
use std::net::SocketAddrV4;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A response as the client received it.
#[derive(Debug)]
pub struct ClientResponse {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// The body came whole, by its length or its last chunk.
    pub whole: bool,
}

impl ClientResponse {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.head.lines().filter_map(|line| line.split_once(": "));
        headers
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// It is the response that hosts give to this request, and all of it.
    pub fn answers(&self, id: &str) -> bool {
        self.status == 200
            && self.whole
            && self.header("attempt-id") == Some(id)
            && self.header("response-seal") == Some(&format!("seal-{id}"))
            && self.body == format!("answer to {id}").into_bytes()
    }
}

/// Whether a response has a body beside its head.
#[derive(Clone, Copy, PartialEq)]
enum ExpectedBody {
    ByItsHead,
    /// None, whatever the head says: the request was a HEAD.
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
            .expect("the gateway reads");
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

    /// The next response. `None`: the connection ended before one began.
    pub async fn next_response(&mut self) -> Option<ClientResponse> {
        timeout(2 * TIMEOUT, self.read_response(ExpectedBody::ByItsHead))
            .await
            .expect("an answer or an end in time")
    }

    /// The next response, which has to begin.
    pub async fn expect_response(&mut self) -> ClientResponse {
        self.next_response().await.expect("an answer")
    }

    /// The next response, to a HEAD.
    pub async fn expect_response_to_head(&mut self) -> ClientResponse {
        timeout(2 * TIMEOUT, self.read_response(ExpectedBody::None))
            .await
            .expect("an answer or an end in time")
            .expect("an answer")
    }

    /// Whether the gateway ends this connection without a further byte.
    pub async fn is_closed_by_gateway(&mut self) -> bool {
        let mut byte = [0];
        let read = timeout(2 * TIMEOUT, self.0.read(&mut byte))
            .await
            .expect("an end in time");
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
            .expect("a status line");
        let mut response = ClientResponse {
            status,
            head: String::new(),
            body: Vec::new(),
            whole: false,
        };
        if self.read_headers(&mut response.head).await.is_none() {
            return Some(response);
        }
        response.whole =
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
        let length: usize = response
            .header("content-length")
            .map_or(0, |length| length.parse().expect("a length"));
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
            let length = usize::from_str_radix(&line, 16).expect("a chunk's length");
            self.read_bytes(length, body).await?;
            self.read_line().await?;
            if length == 0 {
                return Some(());
            }
        }
    }
}
