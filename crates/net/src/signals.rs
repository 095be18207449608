//! Signals as a stream on the loop.
//!
//! The signal handler writes a byte into a socket pair, and the loop reads the
//! other end like any socket, so no helper thread is needed.

use std::io;
use std::os::unix::net::UnixStream as StdStream;

use compio::io::AsyncRead;
use compio::net::UnixStream;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Signals that ask for a stop.
pub const STOP_SIGNALS: [i32; 2] = [SIGINT, SIGTERM];
/// Signals that tell of changed settings.
pub const RELOAD_SIGNALS: [i32; 1] = [SIGHUP];

/// Signals of one purpose that this process receives.
#[derive(Debug)]
pub struct Signals {
    stream: UnixStream,
}

impl Signals {
    /// Registers for `signals`.
    ///
    /// # Errors
    ///
    /// Fails when the system gives no socket pair or takes no handler.
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
    /// Fails when the socket pair breaks.
    pub async fn next(&mut self) -> io::Result<()> {
        let compio::BufResult(result, _) = self.stream.read(vec![0; 1]).await;
        match result? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}
