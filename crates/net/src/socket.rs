//! A TCP socket that hyper reads and writes without further buffers.
//!
//! An idle connection holds no memory beyond hyper's: bytes are copied between
//! the socket and hyper's buffers once the event loop reports that the socket
//! is ready. The stream of `cyper-core` keeps two buffers for each connection,
//! which takes too much memory with thousands of open streams.

use std::cell::RefCell;
use std::io::{self, Read as _};
use std::net::Shutdown;
use std::pin::Pin;
use std::task::{Context, Poll};

use compio::net::TcpStream;
use compio::runtime::fd::PollFd;
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::Socket;

/// Maximum bytes read from a socket at once.
const READ_BYTES: usize = 16 * 1024;

thread_local! {
    /// Buffer that all reads on the event loop's thread share.
    static BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// A connected TCP socket that implements hyper's I/O traits.
#[derive(Debug)]
pub struct SocketStream {
    socket: PollFd<Socket>,
    /// Bytes that were read before hyper took over.
    prefix: Vec<u8>,
}

impl SocketStream {
    /// Takes over a connected stream.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be made non-blocking or registered with the event loop.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        let socket = stream.into_poll_fd()?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            socket,
            prefix: Vec::new(),
        })
    }

    /// Sets bytes that were already read from the socket; they are read first.
    #[must_use]
    pub fn with_prefix(mut self, prefix: Vec<u8>) -> Self {
        self.prefix = prefix;
        self
    }

    /// Moves bytes that were read before into `buf`; returns whether there were any.
    fn take_prefix(&mut self, buf: &mut ReadBufCursor<'_>) -> bool {
        if self.prefix.is_empty() {
            return false;
        }
        let rest = self
            .prefix
            .split_off(self.prefix.len().min(buf.remaining()));
        buf.put_slice(&std::mem::replace(&mut self.prefix, rest));
        true
    }

    /// Calls `send` until it succeeds or fails, and waits for the socket while it would block.
    fn poll_send(
        &self,
        cx: &mut Context<'_>,
        send: impl Fn(&Socket) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            match send(&self.socket) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    std::task::ready!(self.socket.poll_write_ready(cx))?;
                }
                result => return Poll::Ready(result),
            }
        }
    }
}

/// Reads available bytes into `buf`.
fn read_available(mut socket: &Socket, buf: &mut ReadBufCursor<'_>) -> io::Result<()> {
    BUFFER.with_borrow_mut(|buffer| {
        let length = buf.remaining().min(buffer.len());
        let count = socket.read(&mut buffer[..length])?;
        buf.put_slice(&buffer[..count]);
        Ok(())
    })
}

impl Read for SocketStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.take_prefix(&mut buf) {
            return Poll::Ready(Ok(()));
        }
        loop {
            match read_available(&self.socket, &mut buf) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    std::task::ready!(self.socket.poll_read_ready(cx))?;
                }
                result => return Poll::Ready(result),
            }
        }
    }
}

impl Write for SocketStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_send(cx, |socket| socket.send(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_send(cx, |socket| socket.send_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.socket.shutdown(Shutdown::Write))
    }
}
