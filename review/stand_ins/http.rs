//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::{
    io::{self, BufRead, BufReader, Write as _},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Start line, headers (names in lower case) and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding") == Some("chunked")
    }
}

fn cut() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    match line.strip_suffix('\n') {
        Some(text) => Ok(text.trim_end_matches('\r').to_owned()),
        None => Err(cut()),
    }
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message {
        start: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else {
            return Ok(message);
        };
        let header = (name.to_ascii_lowercase(), value.trim().to_owned());
        message.headers.push(header);
    }
}

/// Reads the body into the message, so that what came before an error is kept.
fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.is_chunked() {
        loop {
            let line = read_line(reader)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| cut())?;
            let start = message.body.len();
            message.body.resize(start + size, 0);
            if let Err(e) = reader.read_exact(&mut message.body[start..]) {
                message.body.truncate(start);
                return Err(e);
            }
            read_line(reader)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    message.body = body;
    Ok(())
}

/// Reads a request; `None` if the connection ends before it.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    if reader.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let mut message = read_head(reader)?;
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

pub fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let bytes = [text.as_bytes(), body].concat();
    stream.write_all(&bytes)
}

/// What a client saw of the answer to one request.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status code; 0 if no head came.
    pub status: u16,
    pub head: Message,
    /// Whether the answer was complete by the protocol.
    pub is_complete: bool,
    /// Why it was not.
    pub reason: String,
    pub sent_at: Instant,
    pub ended_at: Instant,
}

impl Reply {
    pub fn is_success(&self) -> bool {
        self.is_complete && (200..300).contains(&self.status)
    }
}

/// Client's connection, which it may keep for further requests.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request and reads the answer for at most `patience`.
    pub fn send(&mut self, request: &str, patience: Duration) -> Reply {
        let sent_at = Instant::now();
        let mut reply = Reply {
            status: 0,
            head: Message::default(),
            is_complete: false,
            reason: String::new(),
            sent_at,
            ended_at: sent_at,
        };
        let result = self.exchange(request, patience, &mut reply);
        reply.ended_at = Instant::now();
        match result {
            Ok(()) => reply.is_complete = true,
            Err(e) => reply.reason = e.to_string(),
        }
        reply
    }

    fn exchange(&mut self, request: &str, patience: Duration, reply: &mut Reply) -> io::Result<()> {
        self.reader.get_mut().write_all(request.as_bytes())?;
        self.reader.get_ref().set_read_timeout(Some(patience))?;
        reply.head = read_head(&mut self.reader)?;
        let status = reply.head.start.split(' ').nth(1);
        reply.status = status.and_then(|text| text.parse().ok()).unwrap_or(0);
        read_body(&mut self.reader, &mut reply.head)
    }
}
