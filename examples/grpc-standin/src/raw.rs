//! Peers that keep to no protocol, or to half of one.

use crate::error::StandinError;
use bytes::{BufMut, Bytes, BytesMut};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Bytes of one padding header.
const PADDING_HEADER_SIZE: usize = 1024;

/// How a raw call has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// With this gRPC status: a number.
    Status(String),
    /// Without a status.
    NoStatus,
    /// By a reset of its stream or connection.
    Reset(String),
}

/// A call on a connection of its own whose messages are given as bytes.
pub struct RawCall {
    send: h2::SendStream<Bytes>,
    response: h2::client::ResponseFuture,
}

impl RawCall {
    /// Opens a call of a method, with about so many bytes of metadata beside what it needs.
    ///
    /// # Errors
    /// The connection can't be made, or the call can't be sent.
    pub async fn open(to: SocketAddr, path: &str, padding: usize) -> Result<RawCall, StandinError> {
        let stream = TcpStream::connect(to).await.map_err(StandinError::Tcp)?;
        let (mut client, connection) = h2::client::handshake(stream).await?;
        tokio::spawn(connection);
        let mut request = http::Request::post(format!("http://{to}{path}"))
            .header("content-type", "application/grpc")
            .header("te", "trailers");
        for index in 0..padding / PADDING_HEADER_SIZE {
            let padding = "x".repeat(PADDING_HEADER_SIZE);
            request = request.header(format!("x-pad-{index}"), padding);
        }
        let request = request.body(()).map_err(StandinError::Request)?;
        let (response, send) = client.send_request(request, false)?;
        Ok(RawCall { send, response })
    }

    /// Sends a message of which only the first `sent` bytes follow its head.
    ///
    /// # Errors
    /// The stream has ended.
    pub fn send_message(&mut self, bytes: &[u8], sent: usize) -> Result<(), StandinError> {
        let mut frame = BytesMut::new();
        frame.put_u8(0);
        frame.put_u32(bytes.len() as u32);
        frame.put_slice(&bytes[..sent.min(bytes.len())]);
        Ok(self.send.send_data(frame.freeze(), false)?)
    }

    /// Ends the requests.
    ///
    /// # Errors
    /// The stream has ended.
    pub fn finish(&mut self) -> Result<(), StandinError> {
        Ok(self.send.send_data(Bytes::new(), true)?)
    }

    /// Waits for the end of the call.
    pub async fn wait_for_end(self) -> CallEnd {
        let response = match self.response.await {
            Ok(response) => response,
            Err(error) => return CallEnd::Reset(error.to_string()),
        };
        if let Some(status) = grpc_status(response.headers()) {
            return CallEnd::Status(status);
        }
        let mut body = response.into_body();
        while let Some(Ok(data)) = body.data().await {
            _ = body.flow_control().release_capacity(data.len());
        }
        match body.trailers().await {
            Ok(Some(trailers)) => match grpc_status(&trailers) {
                Some(status) => CallEnd::Status(status),
                None => CallEnd::NoStatus,
            },
            Ok(None) => CallEnd::NoStatus,
            Err(error) => CallEnd::Reset(error.to_string()),
        }
    }
}

fn grpc_status(headers: &http::HeaderMap) -> Option<String> {
    let status = headers.get("grpc-status")?;
    status.to_str().ok().map(String::from)
}

/// Connects, sends these bytes, and reads until the other side ends. Returns what came.
pub async fn send_bytes(to: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let Ok(mut stream) = TcpStream::connect(to).await else {
        return Vec::new();
    };
    _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    _ = stream.read_to_end(&mut answer).await;
    answer
}
