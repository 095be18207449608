//! A small HTTP/1.1 server and client on blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Head and body of a request or response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter();
        let found = found.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn word(&self, at: usize) -> &str {
        self.start.split(' ').nth(at).unwrap_or_default()
    }

    /// Returns whether the channel is closed after this response.
    pub fn closes(&self) -> bool {
        let connection = self.header("connection");
        connection.is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

/// Reads a head; none at the end of the channel before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return if message.start.is_empty() {
                Ok(None)
            } else {
                Err(invalid("the head broke off"))
            };
        }
        let text = line.trim_end();
        if message.start.is_empty() {
            message.start = text.to_owned();
        } else if text.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = text.split_once(':') {
            let header = (name.to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
}

/// Reads a body by its framing; `to_end` says that one without framing ends with the channel.
pub fn read_body(
    reader: &mut impl BufRead,
    message: &Message,
    to_end: bool,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if message
        .header("transfer-encoding")
        .is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    {
        let mut line = String::new();
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(invalid("the chunks broke off"));
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| invalid("chunk"))?;
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..])?;
            line.clear();
            reader.read_line(&mut line)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| invalid("length"))?;
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    } else if to_end {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// Answers a request on its channel; returns whether the channel may be used again.
pub type Handler = Arc<dyn Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync>;

/// Serves requests with a thread for each channel until the process ends.
pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_channel(stream, &handler));
        }
    });
}

fn serve_channel(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(mut request) = read_head(&mut reader)? {
        request.body = read_body(&mut reader, &request, false)?;
        if !handler(&request, &mut writer)? {
            break;
        }
    }
    let _ = writer.shutdown(std::net::Shutdown::Both);
    Ok(())
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// How a request ended for its client.
#[derive(Debug, Clone)]
pub enum Ending {
    /// A complete answer.
    Answer(Message),
    /// The channel ended before a complete answer; the text says how.
    Lost(String),
    /// There was no complete answer in time.
    Silent,
}

/// A client's channel, which is kept for further requests.
pub struct Channel {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let writer = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        writer.set_nodelay(true)?;
        let reader = BufReader::new(writer.try_clone()?);
        Ok(Self { writer, reader })
    }

    /// Sends a request and waits for its answer until `limit` has passed.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        limit: Duration,
    ) -> Ending {
        let mut text = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() || method == "POST" {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        let until = Instant::now() + limit;
        let _ = self.writer.set_read_timeout(Some(limit));
        if let Err(error) = self.writer.write_all(&bytes) {
            return Ending::Lost(format!("write: {error}"));
        }
        match self.read() {
            Ok(answer) => Ending::Answer(answer),
            Err(error)
                if Instant::now() >= until
                    || matches!(
                        error.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) =>
            {
                Ending::Silent
            }
            Err(error) => Ending::Lost(error.to_string()),
        }
    }

    fn read(&mut self) -> io::Result<Message> {
        let head = read_head(&mut self.reader)?;
        let mut head = head.ok_or_else(|| invalid("closed without an answer"))?;
        head.body = read_body(&mut self.reader, &head, true)?;
        Ok(head)
    }
}

/// Sends a request on a new channel.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Ending {
    match Channel::open(address) {
        Ok(mut channel) => channel.call(method, path, headers, body, limit),
        Err(error) => Ending::Lost(format!("connect: {error}")),
    }
}
