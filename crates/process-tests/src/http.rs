//! Blocking HTTP/1.1 messages on plain sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout of every read and write.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes read at once.
const READ_BYTES: usize = 64 << 10;

/// The head of a message and what has arrived after it.
#[derive(Debug)]
pub struct Head {
    /// The first line and the headers.
    pub text: String,
    /// Bytes of the body that arrived with the head.
    pub rest: Vec<u8>,
}

impl Head {
    /// Returns the value of a header; names are compared without regard to case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.text.lines().find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }

    /// Returns the second word of the first line: a request's target or a response's status.
    #[must_use]
    pub fn second_word(&self) -> &str {
        self.text.split_whitespace().nth(1).unwrap_or_default()
    }

    /// Reads the rest of a body; returns it and whether it is complete.
    pub fn read_bytes(&self, stream: &mut TcpStream) -> (Vec<u8>, bool) {
        let is_chunked = self
            .header("transfer-encoding")
            .is_some_and(|t| t.eq_ignore_ascii_case("chunked"));
        let length = self.header("content-length").and_then(|l| l.parse().ok());
        let mut received = self.rest.clone();
        let mut buffer = vec![0; READ_BYTES];
        loop {
            let (body, complete) = if is_chunked {
                join_chunks(&received)
            } else {
                let end = length.unwrap_or(0usize).min(received.len());
                (received[..end].to_vec(), end == length.unwrap_or(0))
            };
            if complete {
                return (body, true);
            }
            match stream.read(&mut buffer) {
                Ok(count) if count > 0 => received.extend_from_slice(&buffer[..count]),
                _ => return (body, false),
            }
        }
    }

    /// Reads the rest of a body of text; returns it and whether it is complete.
    pub fn read_text(&self, stream: &mut TcpStream) -> (String, bool) {
        let (bytes, complete) = self.read_bytes(stream);
        (String::from_utf8_lossy(&bytes).into_owned(), complete)
    }

    /// Reads and drops the rest of a body with a length.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends first.
    pub fn skip_body(&self, stream: &mut TcpStream) -> io::Result<()> {
        let length = self.header("content-length").and_then(|l| l.parse().ok());
        let mut left = length.unwrap_or(0usize).saturating_sub(self.rest.len());
        let mut buffer = vec![0; READ_BYTES];
        while left > 0 {
            let end = left.min(READ_BYTES);
            let count = stream.read(&mut buffer[..end])?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            left -= count;
        }
        Ok(())
    }
}

/// Returns the content of the chunks in `bytes`, and whether the last one is there.
fn join_chunks(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = bytes.windows(2).position(|w| w == b"\r\n") else {
            return (body, false);
        };
        let size = std::str::from_utf8(&bytes[..end]).unwrap_or_default();
        let Ok(size) = usize::from_str_radix(size, 16) else {
            return (body, false);
        };
        let rest = &bytes[end + 2..];
        body.extend_from_slice(&rest[..size.min(rest.len())]);
        if rest.len() < size + 2 {
            return (body, false);
        }
        if size == 0 {
            return (body, true);
        }
        bytes = &rest[size + 2..];
    }
}

/// Opens a connection whose reads and writes time out.
///
/// # Errors
///
/// Fails if the peer does not accept it.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    Ok(stream)
}

/// Reads a head.
///
/// # Errors
///
/// Fails if the connection ends first.
pub fn read_head(stream: &mut TcpStream) -> io::Result<Head> {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&buffer[..count]);
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let rest = bytes.split_off(end + 4);
            let text = String::from_utf8_lossy(&bytes).into_owned();
            return Ok(Head { text, rest });
        }
    }
}

/// Sends a request with a body and returns the status of the response.
///
/// # Errors
///
/// Fails if the connection breaks before the response.
pub fn call(address: SocketAddr, target: &str, headers: &str, body: &[u8]) -> io::Result<u16> {
    let mut stream = connect(address)?;
    let length = body.len();
    let head =
        format!("POST {target} HTTP/1.1\r\nhost: h\r\n{headers}content-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let head = read_head(&mut stream)?;
    Ok(head.second_word().parse().unwrap_or(0))
}
