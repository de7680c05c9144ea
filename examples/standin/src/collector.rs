//! A collector, and anybody else who speaks frames to a director.

use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A message with its length before it, least significant byte first.
pub fn frame(json: &str) -> Vec<u8> {
    let mut bytes = (json.len() as u32).to_le_bytes().to_vec();
    bytes.extend_from_slice(json.as_bytes());
    bytes
}

pub struct Collector {
    pub stream: TcpStream,
}

impl Collector {
    /// Connects and says for which zone it collects.
    pub async fn start(director: SocketAddr, zone: &str) -> io::Result<Collector> {
        let mut collector = Collector {
            stream: TcpStream::connect(director).await?,
        };
        collector
            .say(&format!(r#"{{"@type":"collector","az":"{zone}"}}"#))
            .await?;
        Ok(collector)
    }

    pub async fn say(&mut self, json: &str) -> io::Result<()> {
        self.stream.write_all(&frame(json)).await
    }

    /// What proxies of a zone met at a host within a second.
    pub async fn heard(&mut self, zone: &str, host: &str, tries: u32) -> io::Result<()> {
        let text = format!(
            r#"{{"@type":"heard","az":"{zone}","host":"{host}","n":{tries},"bad":0,"avg":40.0,"window":1000.0}}"#
        );
        self.say(&text).await
    }
}

/// Asks a director whether it is there.
pub async fn ping(director: SocketAddr) -> io::Result<String> {
    let mut stream = TcpStream::connect(director).await?;
    stream.write_all(&frame(r#"{"@type":"ping"}"#)).await?;
    read(&mut stream).await
}

/// Reads one message.
pub async fn read(stream: &mut TcpStream) -> io::Result<String> {
    let length = stream.read_u32_le().await?;
    let mut text = vec![0; length.min(1 << 20) as usize];
    stream.read_exact(&mut text).await?;
    Ok(String::from_utf8_lossy(&text).into_owned())
}
