//! Peers that violate the gRPC protocol: calls with arbitrary message bytes, and raw TCP connections.

use crate::error::StandinError;
use bytes::{BufMut, Bytes, BytesMut};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Length of a padding header's value in bytes.
const PADDING_HEADER_SIZE: usize = 1024;

/// How a raw call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The value of `grpc-status`, a decimal status code.
    Status(String),
    /// The response ended without `grpc-status`.
    NoStatus,
    /// The stream or connection was reset; the text is the HTTP/2 error.
    Reset(String),
}

/// A gRPC call on its own connection, whose messages are given as bytes.
pub struct RawCall {
    send: h2::SendStream<Bytes>,
    response: h2::client::ResponseFuture,
}

impl RawCall {
    /// Opens a call to the method at `path`, with about `padding` bytes of additional headers.
    ///
    /// # Errors
    /// Returns an error if the connection can't be established or the headers can't be sent.
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

    /// Sends the length prefix of a message, followed by at most its first `sent` bytes.
    ///
    /// # Errors
    /// Returns an error if the stream is closed.
    pub fn send_message(&mut self, bytes: &[u8], sent: usize) -> Result<(), StandinError> {
        let mut frame = BytesMut::new();
        frame.put_u8(0);
        frame.put_u32(bytes.len() as u32);
        frame.put_slice(&bytes[..sent.min(bytes.len())]);
        Ok(self.send.send_data(frame.freeze(), false)?)
    }

    /// Half-closes the stream: no more messages follow.
    ///
    /// # Errors
    /// Returns an error if the stream is closed.
    pub fn finish(&mut self) -> Result<(), StandinError> {
        Ok(self.send.send_data(Bytes::new(), true)?)
    }

    /// Discards all responses and returns how the call ended.
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

/// Sends bytes on a new TCP connection and returns everything received until the server closes it. Returns an empty
/// vector if the connection can't be established.
pub async fn send_bytes(to: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let Ok(mut stream) = TcpStream::connect(to).await else {
        return Vec::new();
    };
    _ = stream.write_all(bytes).await;
    let mut response = Vec::new();
    _ = stream.read_to_end(&mut response).await;
    response
}
