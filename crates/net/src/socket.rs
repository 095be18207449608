//! A TCP socket that hyper reads and writes without further buffers.
//!
//! An idle connection holds no memory beyond hyper's: bytes are copied between
//! the socket and hyper's buffers once the event loop reports that the socket
//! is ready. The stream of `cyper-core` keeps two buffers for each connection,
//! which takes too much memory with thousands of open streams.

use std::cell::{Cell, RefCell};
use std::io::{self, Read as _};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{AsFd, OwnedFd};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};
use rustix::io::Errno;
use rustix::net::RecvFlags;
use socket2::{Domain, Protocol, Socket, Type};

use crate::poller::Watched;

/// Maximum bytes read from a socket at once.
const READ_BYTES: usize = 16 * 1024;
/// Bytes read from a socket after which its task leaves a turn to the others. A parser reads for as
/// long as there are bytes, and a peer may send them without end.
const TURN_BYTES: usize = 2 * READ_BYTES;

thread_local! {
    /// Buffer that all reads on the event loop's thread share.
    static BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// A connected TCP socket that implements hyper's I/O traits.
#[derive(Debug)]
pub struct SocketStream {
    socket: Watched<Socket>,
    /// Whether the socket may hold bytes that were not read yet.
    readable: bool,
    /// Whether a read of fewer bytes than asked shows that the socket is empty.
    short_reads: bool,
    /// Bytes that were read before hyper took over.
    prefix: Vec<u8>,
    /// Set once the end of the peer's bytes was read.
    ended: Option<Rc<Cell<bool>>>,
    /// Set when the next read must not rely on what the event loop has reported.
    look: Option<Arc<AtomicBool>>,
    /// Bytes read since a read last had to wait.
    turn_bytes: usize,
    /// Whether a write failed as the peer has reset the connection. The system hands that error out once;
    /// a read after it would end like that of a connection which the peer has closed.
    reset: Cell<bool>,
}

impl SocketStream {
    /// Takes over a connected socket that does not block.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be registered with the event loop.
    pub fn new(socket: OwnedFd) -> io::Result<Self> {
        let socket = Socket::from(socket);
        // Otherwise events of a stream wait for the peer's delayed acknowledgement.
        socket.set_tcp_nodelay(true)?;
        Ok(Self {
            socket: Watched::new(socket)?,
            readable: true,
            short_reads: false,
            prefix: Vec::new(),
            ended: None,
            look: None,
            turn_bytes: 0,
            reset: Cell::new(false),
        })
    }

    /// Opens a connection to `peer`, in the event loop's own thread.
    ///
    /// # Errors
    ///
    /// Fails if the connection is refused or the system gives no socket.
    pub async fn connect(peer: SocketAddr) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(peer), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        // Otherwise small requests wait for the peer's delayed acknowledgement.
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&peer.into()) {
            Err(error) if error.raw_os_error() != Some(Errno::INPROGRESS.raw_os_error()) => {
                return Err(error);
            }
            _ => {}
        }
        let socket = Watched::new(socket)?;
        socket.writable().await?;
        if let Some(error) = socket.take_error()? {
            return Err(error);
        }
        Ok(Self {
            socket,
            readable: true,
            short_reads: false,
            prefix: Vec::new(),
            ended: None,
            look: None,
            turn_bytes: 0,
            reset: Cell::new(false),
        })
    }

    /// Takes a read of fewer bytes than asked as a sign that the socket is empty, which saves a system
    /// call for each.
    ///
    /// The end of the stream is then seen one turn of the event loop later than the last bytes.
    #[must_use]
    pub fn with_short_reads(mut self) -> Self {
        self.short_reads = true;
        self
    }

    /// Sets bytes that were already read from the socket; they are read first.
    #[must_use]
    pub fn with_prefix(mut self, prefix: Vec<u8>) -> Self {
        self.prefix = prefix;
        self
    }

    /// Sets the flag that records the end of the peer's bytes.
    #[must_use]
    pub fn with_end_flag(mut self, ended: Rc<Cell<bool>>) -> Self {
        self.ended = Some(ended);
        self
    }

    /// Sets a flag that makes the next read ask the system, even if the event loop has not reported
    /// any bytes; the read clears it.
    #[must_use]
    pub fn with_look_flag(mut self, look: Arc<AtomicBool>) -> Self {
        self.look = Some(look);
        self
    }

    /// Returns another handle to the socket, which keeps the connection open when this one is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the system gives no file descriptor.
    pub fn try_clone(&self) -> io::Result<OwnedFd> {
        self.socket.as_fd().try_clone_to_owned()
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
                    std::task::ready!(self.socket.poll_writable(cx))?;
                }
                Err(error) => {
                    if error.kind() == io::ErrorKind::ConnectionReset {
                        self.reset.set(true);
                    }
                    return Poll::Ready(Err(error));
                }
                result => return Poll::Ready(result),
            }
        }
    }
}

/// Reads what has arrived, up to a limit, and returns its size; zero at the end.
pub(crate) fn receive(stream: impl AsFd, mut take: impl FnMut(&[u8])) -> io::Result<usize> {
    BUFFER.with_borrow_mut(|buffer| {
        loop {
            match rustix::net::recv(stream.as_fd(), &mut buffer[..], RecvFlags::empty()) {
                Ok((count, _)) => {
                    take(&buffer[..count]);
                    return Ok(count);
                }
                Err(Errno::INTR) => {}
                Err(error) => return Err(error.into()),
            }
        }
    })
}

/// Reads available bytes into `buf`; returns their number and whether it read as many as asked.
fn read_available(mut socket: &Socket, buf: &mut ReadBufCursor<'_>) -> io::Result<(usize, bool)> {
    BUFFER.with_borrow_mut(|buffer| {
        let length = buf.remaining().min(buffer.len());
        let count = socket.read(&mut buffer[..length])?;
        buf.put_slice(&buffer[..count]);
        Ok((count, count == length))
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
        if let Some(look) = &self.look
            && look.swap(false, Ordering::Relaxed)
        {
            self.readable = true;
        }
        if self.turn_bytes >= TURN_BYTES {
            self.turn_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        loop {
            if !self.readable {
                if self.socket.poll_readable(cx)?.is_pending() {
                    self.turn_bytes = 0;
                    return Poll::Pending;
                }
                self.readable = true;
            }
            match read_available(&self.socket, &mut buf) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.readable = false,
                Err(error) => return Poll::Ready(Err(error)),
                Ok((0, _)) if self.reset.get() => {
                    return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
                }
                Ok((count, full)) => {
                    self.readable = full || !self.short_reads;
                    self.turn_bytes += count;
                    if count == 0
                        && let Some(ended) = &self.ended
                    {
                        ended.set(true);
                    }
                    return Poll::Ready(Ok(()));
                }
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
