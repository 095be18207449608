//! A small HTTP/1.1 reader and writer over blocking sockets.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// First line and headers of a message; the names are in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub headers: BTreeMap<String, String>,
}

impl Head {
    pub fn word(&self, at: usize) -> &str {
        self.line.split(' ').nth(at).unwrap_or_default()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    reader.take(64 << 10).read_until(b'\n', &mut line)?;
    if line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(String::from_utf8_lossy(&line).trim_end().to_owned())
}

pub fn read_head(reader: &mut impl BufRead) -> io::Result<Head> {
    let mut head = Head {
        line: read_line(reader)?,
        ..Head::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(head);
        }
        if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            head.headers.insert(name, value.trim().to_owned());
        }
    }
}

/// Passes the parts of a body to `take` as they arrive, until its end; fails if it breaks off.
fn read_parts(
    head: &Head,
    to_end: bool,
    reader: &mut impl BufRead,
    mut take: impl FnMut(&[u8]),
) -> io::Result<()> {
    let chunked = head
        .header("transfer-encoding")
        .is_some_and(|c| c.eq_ignore_ascii_case("chunked"));
    if chunked {
        loop {
            let size = usize::from_str_radix(read_line(reader)?.trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            read_line(reader)?;
            if size == 0 {
                return Ok(());
            }
            take(&chunk);
        }
    }
    if let Some(length) = head.header("content-length").and_then(|l| l.parse().ok()) {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        take(&body);
    } else if to_end {
        let mut body = Vec::new();
        reader.read_to_end(&mut body)?;
        take(&body);
    }
    Ok(())
}

pub fn read_request(reader: &mut impl BufRead) -> io::Result<(Head, Vec<u8>)> {
    let head = read_head(reader)?;
    let mut body = Vec::new();
    read_parts(&head, false, reader, |part| body.extend_from_slice(part))?;
    Ok((head, body))
}

/// What a client got for a request.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 if no head arrived.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub whole: bool,
    /// Ids of the events of a stream.
    pub events: Vec<u64>,
}

/// A request of a client, on a new connection.
#[derive(Debug, Clone)]
pub struct Call {
    pub to: SocketAddr,
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Time for the whole answer.
    pub budget: Duration,
}

impl Call {
    pub fn run(&self) -> Answer {
        let mut answer = Answer::default();
        // The client sees every failure as a channel that ended.
        let _ = self.exchange(&mut answer);
        answer
    }

    fn exchange(&self, answer: &mut Answer) -> io::Result<()> {
        let until = Instant::now() + self.budget;
        let mut stream = TcpStream::connect_timeout(&self.to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(self.budget))?;
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            text += &format!("{name}: {value}\r\n");
        }
        if self.method == "POST" {
            text += &format!("Content-Length: {}\r\n", self.body.len());
        }
        text += "\r\n";
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        stream.write_all(&bytes)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let head = read_head(&mut reader)?;
        answer.status = head.word(1).parse().unwrap_or(0);
        answer.head = head.clone();
        let mut pending = Vec::new();
        let read = read_parts(&head, true, &mut reader, |part| {
            answer.body.extend_from_slice(part);
            pending.extend_from_slice(part);
            while let Some(end) = pending.windows(2).position(|w| w == b"\n\n") {
                let event: Vec<u8> = pending.drain(..end + 2).collect();
                let text = String::from_utf8_lossy(&event);
                let id = text.lines().find_map(|l| l.strip_prefix("id:"));
                answer
                    .events
                    .extend(id.and_then(|i| i.trim().parse::<u64>().ok()));
            }
        });
        answer.whole = read.is_ok() && Instant::now() < until + Duration::from_secs(1);
        let _ = stream.shutdown(Shutdown::Both);
        read
    }
}
