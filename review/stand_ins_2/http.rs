//! HTTP/1.1 messages over blocking sockets, for the stand-ins.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// Largest head that is read, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Request or response whose body was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the message ended as its framing says.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Returns the decoded value of a query parameter.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = pairs.filter(|(key, _)| *key == name);
        values.next().map(|(_, value)| decode_percent(value))
    }
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let digits = tail.get(..2).and_then(|d| std::str::from_utf8(d).ok());
        match digits.and_then(|d| u8::from_str_radix(d, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 << 10];
        let length = loop {
            match self.stream.read(&mut bytes) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                result => break result?,
            }
        };
        self.buffer.extend_from_slice(&bytes[..length]);
        Ok(length)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at;
            }
            if self.buffer.len() > MAX_HEAD_BYTES || self.fill()? == 0 {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
        Ok(Some(Message {
            start,
            headers: headers.collect(),
            ..Message::default()
        }))
    }

    fn take(&mut self, length: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..length).collect()))
    }

    fn read_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(at) = find(&self.buffer, b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(Some(String::from_utf8_lossy(&line[..at]).into_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads the next piece of a chunked body; empty at its end, `None` if the connection ended before.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let Some(line) = self.read_line()? else {
            return Ok(None);
        };
        let size = line.split(';').next().unwrap_or_default().trim();
        let Ok(size) = usize::from_str_radix(size, 16) else {
            return Ok(None);
        };
        let chunk = self.take(size)?;
        Ok(self.read_line()?.and(chunk))
    }

    /// Reads the body of a message whose head was read.
    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        let encoding = message.header("transfer-encoding").unwrap_or_default();
        if encoding.eq_ignore_ascii_case("chunked") {
            while let Some(chunk) = self.read_chunk()? {
                if chunk.is_empty() {
                    message.is_whole = true;
                    break;
                }
                message.body.extend_from_slice(&chunk);
            }
            return Ok(());
        }
        let length = message.header("content-length");
        let length = length.and_then(|l| l.parse().ok()).unwrap_or(0);
        if let Some(body) = self.take(length)? {
            message.body = body;
            message.is_whole = true;
        }
        Ok(())
    }

    pub fn read_message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        self.read_body(&mut message)?;
        Ok(Some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn respond(&mut self, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
        let length = body.len();
        let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n");
        self.write(&[head.as_bytes(), body].concat())
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Serves each connection on a thread of its own until it fails or ends.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(&mut Connection, Message) -> io::Result<()> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handle = handle.clone();
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.read_message() {
                    if !request.is_whole || handle(&mut connection, request).is_err() {
                        return;
                    }
                }
            });
        }
    });
}
