//! A collector, and anybody else who sends frames to a director.

use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// No message is longer.
const MAX_MESSAGE_BYTES: u32 = 1 << 20;

/// A message with its length before it, least significant byte first.
pub fn encode_frame(json: &str) -> Vec<u8> {
    let mut bytes = (json.len() as u32).to_le_bytes().to_vec();
    bytes.extend_from_slice(json.as_bytes());
    bytes
}

/// Reads one message.
///
/// # Errors
/// The connection ends before the message does.
pub async fn read_message(stream: &mut TcpStream) -> io::Result<String> {
    let length = stream.read_u32_le().await?;
    let mut text = vec![0; length.min(MAX_MESSAGE_BYTES) as usize];
    stream.read_exact(&mut text).await?;
    Ok(String::from_utf8_lossy(&text).into_owned())
}

/// Pings a director; returns its answer.
///
/// # Errors
/// The director can't be reached, or ends the connection without an answer.
pub async fn ping(director: SocketAddr) -> io::Result<String> {
    let mut stream = TcpStream::connect(director).await?;
    let request = encode_frame(r#"{"@type":"ping"}"#);
    stream.write_all(&request).await?;
    read_message(&mut stream).await
}

/// A connection that has registered as the collector of a zone.
pub struct Collector {
    /// The connection itself, to misbehave on.
    pub stream: TcpStream,
}

impl Collector {
    /// Connects and registers for a zone.
    ///
    /// # Errors
    /// The director can't be reached.
    pub async fn connect(director: SocketAddr, zone: &str) -> io::Result<Collector> {
        let mut collector = Collector {
            stream: TcpStream::connect(director).await?,
        };
        let registration = format!(r#"{{"@type":"collector","az":"{zone}"}}"#);
        collector.send(&registration).await?;
        Ok(collector)
    }

    /// Sends a message.
    ///
    /// # Errors
    /// The connection is broken.
    pub async fn send(&mut self, json: &str) -> io::Result<()> {
        self.stream.write_all(&encode_frame(json)).await
    }

    /// Reports what proxies of a zone met at a host within a second: so many attempts, all successful.
    ///
    /// # Errors
    /// The connection is broken.
    pub async fn report_host(&mut self, zone: &str, host: &str, attempts: u32) -> io::Result<()> {
        let report = format!(
            r#"{{"@type":"heard","az":"{zone}","host":"{host}","n":{attempts},"bad":0,"avg":40.0,"window":1000.0}}"#
        );
        self.send(&report).await
    }
}
