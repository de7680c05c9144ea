//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(other, _)| other == name);
        found.next().map(|(_, value)| value.as_str())
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message; `None` if the connection ends before its first byte.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let head_end = loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            break end;
        }
        if read_more(stream, buffer)? == 0 {
            return if buffer.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    buffer.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let mut message = Message {
        first_line: lines.next().unwrap_or("").to_string(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }
    if message.header("transfer-encoding").is_some() {
        message.body = read_chunks(stream, buffer)?;
    } else {
        let length = message
            .header("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        message.body = take(stream, buffer, length)?;
    }
    Ok(Some(message))
}

fn read_chunks(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(stream, buffer)?;
        let size = line.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        if size == 0 {
            while !read_line(stream, buffer)?.is_empty() {}
            return Ok(body);
        }
        body.extend(take(stream, buffer, size)?);
        read_line(stream, buffer)?;
    }
}

fn read_line(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<String> {
    loop {
        if let Some(end) = find(buffer, b"\r\n") {
            let line = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 2);
            return Ok(line);
        }
        if read_more(stream, buffer)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn take(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> io::Result<Vec<u8>> {
    while buffer.len() < length {
        if read_more(stream, buffer)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(buffer.drain(..length).collect())
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut part = [0; 65_536];
    let read = stream.read(&mut part)?;
    buffer.extend_from_slice(&part[..read]);
    Ok(read)
}

fn find(buffer: &[u8], pattern: &[u8]) -> Option<usize> {
    buffer
        .windows(pattern.len())
        .position(|part| part == pattern)
}

/// Sends a request on a connection of its own and waits for the response, `limit` altogether.
pub fn call(address: SocketAddr, head: &str, body: &[u8], limit: Duration) -> io::Result<Message> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(limit))?;
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let left = until.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    read_message(&mut stream, &mut Vec::new())?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
