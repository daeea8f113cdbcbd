//! HTTP/1.1 messages with a content length, byte by byte.
//!
//! The stand-ins do not use the daemon's HTTP library, so that a fault in it
//! cannot hide from the tests.

use std::io;

use compio::BufResult;
use compio::io::AsyncRead;
use compio::io::AsyncWriteExt;
use compio::net::TcpStream;

const CHUNK: usize = 16 * 1024;

/// A connection with the bytes that were read ahead.
pub(crate) struct Wire {
    stream: TcpStream,
    ahead: Vec<u8>,
}

/// An HTTP message.
#[derive(Clone, Debug, Default)]
pub(crate) struct Message {
    /// Request line or status line.
    pub(crate) start: String,
    /// Names in lower case, and values.
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    /// Bytes of the whole message.
    pub(crate) bytes: usize,
}

impl Message {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(own, _)| own == name)
            .map(|(_, value)| value.as_str())
    }

    pub(crate) fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }
}

impl Wire {
    pub(crate) fn new(stream: TcpStream) -> Self {
        let ahead = Vec::new();
        Self { stream, ahead }
    }

    /// Returns whether bytes were read that no message has taken.
    pub(crate) fn surplus(&self) -> bool {
        !self.ahead.is_empty()
    }

    /// Reads until `count` bytes are there; returns how many are.
    pub(crate) async fn fill(&mut self, count: usize) -> io::Result<usize> {
        while self.ahead.len() < count {
            if self.more().await? == 0 {
                break;
            }
        }
        Ok(self.ahead.len())
    }

    /// Reads a message; `None` if the connection ended between messages.
    pub(crate) async fn read(&mut self, bodiless: bool) -> io::Result<Option<Message>> {
        let head = loop {
            if let Some(end) = end(&self.ahead) {
                break end;
            }
            let before = self.ahead.len();
            if self.more().await? == 0 {
                return match before {
                    0 => Ok(None),
                    _ => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let mut message = parse(&self.ahead[..head])?;
        let length = match message.header("content-length") {
            Some(text) if !bodiless => text.parse().map_err(io::Error::other)?,
            _ => 0,
        };
        if self.fill(head + length).await? < head + length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        message.bytes = head + length;
        message.body = self.ahead[head..head + length].to_vec();
        self.ahead.drain(..head + length);
        Ok(Some(message))
    }

    pub(crate) async fn write(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        let BufResult(result, _) = self.stream.write_all(bytes).await;
        result
    }

    async fn more(&mut self) -> io::Result<usize> {
        let BufResult(result, chunk) = self.stream.read(Vec::with_capacity(CHUNK)).await;
        let count = result?;
        self.ahead.extend_from_slice(&chunk[..count]);
        Ok(count)
    }
}

fn end(bytes: &[u8]) -> Option<usize> {
    let found = bytes.windows(4).position(|four| four == b"\r\n\r\n");
    found.map(|start| start + 4)
}

fn parse(head: &[u8]) -> io::Result<Message> {
    let text = std::str::from_utf8(head).map_err(io::Error::other)?;
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    Ok(Message {
        start,
        headers,
        ..Message::default()
    })
}
