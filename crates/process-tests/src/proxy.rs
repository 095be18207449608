//! A loopback proxy that disturbs the connections through it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

/// Bytes passed on at once.
const PIECE_BYTES: usize = 16 << 10;
/// Time between two looks at the disturbance while bytes are held back.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// What happens to the bytes that pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disturbance {
    /// They are passed on.
    Calm,
    /// They are passed on later.
    Delayed(Duration),
    /// Those towards the target are held back.
    CutThere,
    /// Those from the target are held back.
    CutBack,
    /// All are held back; connections are accepted.
    Silent,
}

impl Disturbance {
    fn holds(self, way: Way) -> bool {
        match self {
            Self::Calm | Self::Delayed(_) => false,
            Self::CutThere => way == Way::There,
            Self::CutBack => way == Way::Back,
            Self::Silent => true,
        }
    }
}

/// Direction of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    There,
    Back,
}

#[derive(Debug)]
struct State {
    disturbance: Disturbance,
    /// Both ends of the open connections.
    open: Vec<(TcpStream, TcpStream)>,
    /// Connections that were opened before this number of calls of [`Proxy::silence_open`] pass nothing.
    silenced: u64,
}

/// A proxy in front of one address; it runs until the test process ends.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// Address that it listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    ///
    /// # Panics
    ///
    /// If loopback is not available.
    #[must_use]
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("loopback is available");
        let address = listener.local_addr().expect("the listener is bound");
        let state = State {
            disturbance: Disturbance::Calm,
            open: Vec::new(),
            silenced: 0,
        };
        let proxy = Self {
            address,
            state: Arc::new(Mutex::new(state)),
        };
        let own = proxy.clone();
        thread::spawn(move || {
            while let Ok((near, _)) = listener.accept() {
                // A target that is gone refuses; so does the proxy by closing the connection.
                if let Ok(far) = TcpStream::connect(target) {
                    own.relay(&near, &far);
                }
            }
        });
        proxy
    }

    /// Changes what happens to the bytes that pass from now on, also of open connections.
    pub fn disturb(&self, disturbance: Disturbance) {
        self.with(|s| s.disturbance = disturbance);
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        for (near, far) in self.with(|s| std::mem::take(&mut s.open)) {
            for end in [near, far] {
                // Both fail only if the connection has ended.
                let _ = SockRef::from(&end).set_linger(Some(Duration::ZERO));
                let _ = end.shutdown(Shutdown::Both);
            }
        }
    }

    /// Silences all open connections for good, while new ones work.
    pub fn silence_open(&self) {
        self.with(|s| s.silenced += 1);
    }

    fn with<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn relay(&self, near: &TcpStream, far: &TcpStream) {
        for end in [near, far] {
            // It fails only if the connection has ended.
            let _ = end.set_nodelay(true);
        }
        let clone = |s: &TcpStream| s.try_clone().expect("descriptors are left");
        let opened = self.with(|s| {
            s.open
                .retain(|(near, far)| near.peer_addr().is_ok() && far.peer_addr().is_ok());
            s.open.push((clone(near), clone(far)));
            s.silenced
        });
        for (from, to, way) in [(near, far, Way::There), (far, near, Way::Back)] {
            let (own, from, to) = (self.clone(), clone(from), clone(to));
            thread::spawn(move || own.copy(from, to, way, opened));
        }
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, way: Way, opened: u64) {
        let mut piece = vec![0; PIECE_BYTES];
        loop {
            let read = from.read(&mut piece);
            if let Disturbance::Delayed(time) = self.with(|s| s.disturbance) {
                thread::sleep(time);
            }
            while self.with(|s| s.disturbance.holds(way) && s.silenced == opened) {
                thread::sleep(LOOK_INTERVAL);
            }
            if self.with(|s| s.silenced > opened) {
                if matches!(read, Ok(1..)) {
                    continue;
                }
                return;
            }
            match read {
                Ok(count) if count > 0 => {
                    if to.write_all(&piece[..count]).is_err() {
                        let _ = from.shutdown(Shutdown::Both);
                        return;
                    }
                }
                // The end of one direction is passed on alone.
                Ok(_) => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                Err(_) => {
                    let _ = to.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    }
}
