//! Receives signals on the event loop.
//!
//! The signal handler writes a byte into a socket pair, and the event loop
//! reads the other end like any socket, so no helper thread is needed.

use std::io;
use std::os::unix::net::UnixStream as StdStream;

use compio::io::AsyncRead;
use compio::net::UnixStream;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Signals that request a graceful stop.
pub const STOP_SIGNALS: [i32; 2] = [SIGINT, SIGTERM];
/// Signals that request a reload of the settings.
pub const RELOAD_SIGNALS: [i32; 1] = [SIGHUP];

/// Receiver of a set of signals, which it does not tell apart.
#[derive(Debug)]
pub struct Signals {
    stream: UnixStream,
}

impl Signals {
    /// Registers a handler for each of `signals`.
    ///
    /// # Errors
    ///
    /// Fails if the socket pair can't be created or a handler can't be registered.
    pub fn new(signals: &[i32]) -> io::Result<Self> {
        let (read, write) = StdStream::pair()?;
        for signal in signals {
            signal_hook::low_level::pipe::register(*signal, write.try_clone()?)?;
        }
        read.set_nonblocking(true)?;
        Ok(Self {
            stream: UnixStream::from_std(read)?,
        })
    }

    /// Waits for the next signal.
    ///
    /// # Errors
    ///
    /// Fails if the socket pair is closed or can't be read.
    pub async fn next(&mut self) -> io::Result<()> {
        let compio::BufResult(result, _) = self.stream.read(vec![0; 1]).await;
        match result? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}
