//! Client side of the director's frame protocol: pings, and a collector that reports what proxies of its zone observed.

use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum message length that is read, in bytes.
const MAX_MESSAGE_BYTES: u32 = 1 << 20;

/// Encodes a message as a frame: its length as a little-endian `u32`, then the JSON text.
pub fn encode_frame(json: &str) -> Vec<u8> {
    let mut bytes = (json.len() as u32).to_le_bytes().to_vec();
    bytes.extend_from_slice(json.as_bytes());
    bytes
}

/// Reads one frame and returns its message. Invalid UTF-8 is replaced.
///
/// # Errors
/// Returns an error if the connection ends before the message is complete.
pub async fn read_message(stream: &mut TcpStream) -> io::Result<String> {
    let length = stream.read_u32_le().await?;
    let mut text = vec![0; length.min(MAX_MESSAGE_BYTES) as usize];
    stream.read_exact(&mut text).await?;
    Ok(String::from_utf8_lossy(&text).into_owned())
}

/// Sends a ping on a new connection and returns the director's reply.
///
/// # Errors
/// Returns an error if the director can't be reached or closes the connection without a reply.
pub async fn ping(director: SocketAddr) -> io::Result<String> {
    let mut stream = TcpStream::connect(director).await?;
    let request = encode_frame(r#"{"@type":"ping"}"#);
    stream.write_all(&request).await?;
    read_message(&mut stream).await
}

/// A connection that is registered as the collector of a zone.
pub struct Collector {
    /// Underlying connection, on which tests also send invalid data.
    pub stream: TcpStream,
}

impl Collector {
    /// Connects to a director and registers as the collector of a zone. Does not wait for a reply.
    ///
    /// # Errors
    /// Returns an error if the director can't be reached.
    pub async fn connect(director: SocketAddr, zone: &str) -> io::Result<Collector> {
        let mut collector = Collector {
            stream: TcpStream::connect(director).await?,
        };
        let registration = format!(r#"{{"@type":"collector","az":"{zone}"}}"#);
        collector.send(&registration).await?;
        Ok(collector)
    }

    /// Sends a JSON text as one frame.
    ///
    /// # Errors
    /// Returns an error if the connection is closed.
    pub async fn send(&mut self, json: &str) -> io::Result<()> {
        self.stream.write_all(&encode_frame(json)).await
    }

    /// Reports that proxies of a zone made `attempts` successful requests to a host within one second, with a mean
    /// latency of 40 ms.
    ///
    /// # Errors
    /// Returns an error if the connection is closed.
    pub async fn report_host(&mut self, zone: &str, host: &str, attempts: u32) -> io::Result<()> {
        let report = format!(
            r#"{{"@type":"heard","az":"{zone}","host":"{host}","n":{attempts},"bad":0,"avg":40.0,"window":1000.0}}"#
        );
        self.send(&report).await
    }
}
