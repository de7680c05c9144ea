//! Peers that keep to no protocol, or to half of one.

use bytes::{BufMut, Bytes, BytesMut};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A call on a connection of its own whose messages are given as bytes.
pub struct Call {
    send: h2::SendStream<Bytes>,
    response: h2::client::ResponseFuture,
}

impl Call {
    /// Opens a call of a method; `pad` is so many bytes of metadata.
    pub async fn open(to: SocketAddr, path: &str, pad: usize) -> Result<Call, String> {
        let stream = TcpStream::connect(to).await.map_err(|e| e.to_string())?;
        let (mut client, connection) = h2::client::handshake(stream)
            .await
            .map_err(|e| e.to_string())?;
        tokio::spawn(connection);
        let mut request = http::Request::post(format!("http://{to}{path}"))
            .header("content-type", "application/grpc")
            .header("te", "trailers");
        for k in 0..pad / 1024 {
            request = request.header(format!("x-pad-{k}"), "x".repeat(1024));
        }
        let request = request.body(()).map_err(|e| e.to_string())?;
        let (response, send) = client
            .send_request(request, false)
            .map_err(|e| e.to_string())?;
        Ok(Call { send, response })
    }

    /// Sends a message of which only `part` bytes follow its head.
    pub fn message(&mut self, bytes: &[u8], part: usize) -> Result<(), String> {
        let mut out = BytesMut::new();
        out.put_u8(0);
        out.put_u32(bytes.len() as u32);
        out.put_slice(&bytes[..part.min(bytes.len())]);
        self.send
            .send_data(out.freeze(), false)
            .map_err(|e| e.to_string())
    }

    /// Nothing more is said.
    pub fn finish(&mut self) -> Result<(), String> {
        self.send
            .send_data(Bytes::new(), true)
            .map_err(|e| e.to_string())
    }

    /// The status that the call ends with: of the trailers, or `reset` where it has none.
    pub async fn ended(self) -> String {
        let status = |headers: &http::HeaderMap| {
            headers
                .get("grpc-status")
                .and_then(|v| v.to_str().ok())
                .map(String::from)
        };
        let response = match self.response.await {
            Ok(response) => response,
            Err(e) => return format!("reset: {e}"),
        };
        if let Some(status) = status(response.headers()) {
            return status;
        }
        let mut body = response.into_body();
        while let Some(Ok(data)) = body.data().await {
            _ = body.flow_control().release_capacity(data.len());
        }
        match body.trailers().await {
            Ok(Some(trailers)) => status(&trailers).unwrap_or_default(),
            Ok(None) => "none".into(),
            Err(e) => format!("reset: {e}"),
        }
    }
}

/// Connects, says these bytes, and reads until the other side ends. Answers what came.
pub async fn say(to: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let Ok(mut stream) = TcpStream::connect(to).await else {
        return Vec::new();
    };
    _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    _ = stream.read_to_end(&mut answer).await;
    answer
}

/// A way to another address that can be frozen: bytes are kept on either side, and nothing is closed.
pub struct Way {
    pub address: SocketAddr,
    open: Arc<watch::Sender<bool>>,
}

impl Way {
    pub async fn start(at: SocketAddr, to: SocketAddr) -> std::io::Result<Way> {
        let listener = TcpListener::bind(at).await?;
        let (address, open) = (listener.local_addr()?, Arc::new(watch::channel(true).0));
        let own = open.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let Ok(far) = TcpStream::connect(to).await else {
                    continue;
                };
                let ((near_in, near_out), (far_in, far_out)) =
                    (near.into_split(), far.into_split());
                tokio::spawn(carry(near_in, far_out, own.subscribe()));
                tokio::spawn(carry(far_in, near_out, own.subscribe()));
            }
        });
        Ok(Way { address, open })
    }

    pub fn freeze(&self, frozen: bool) {
        self.open.send_replace(!frozen);
    }
}

async fn carry(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut open: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        if open.wait_for(|open| *open).await.is_err() {
            return;
        }
        let n = match from.read(&mut buffer).await {
            Ok(n) if n > 0 => n,
            _ => return,
        };
        if open.wait_for(|open| *open).await.is_err() || to.write_all(&buffer[..n]).await.is_err() {
            return;
        }
    }
}
