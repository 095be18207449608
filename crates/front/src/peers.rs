//! Reports between routers, as datagrams.
//!
//! A report that is lost is healed by the next. A report also names the
//! revisions that its sender has; a router that is behind asks for the state.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use hibiscusrail_fleet::{Event, Fleet};
use hibiscusrail_fleet::peers::Report;
use prost::Message;

use crate::shell::Shell;
use crate::state;

/// Bytes of the receive buffer: more than the largest datagram.
const BUFFER: usize = 65_536;
/// Periods without work after which a report goes out all the same.
const IDLE_PERIODS: u32 = 4;
/// Time for which the store may bring a newer revision before a peer is asked.
const STORE_FIRST: Duration = Duration::from_millis(150);

/// The socket towards the other routers and where they are.
#[derive(Debug)]
pub struct Peers {
    me: String,
    socket: UdpSocket,
    addresses: RefCell<BTreeMap<String, SocketAddr>>,
    asking: Cell<bool>,
}

impl Peers {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken or not on this host.
    pub fn new(me: &str, listen: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(listen)?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            me: me.to_owned(),
            socket,
            addresses: RefCell::default(),
            asking: Cell::new(false),
        })
    }

    /// Replaces the addresses of the routers.
    pub fn set(&self, addresses: BTreeMap<String, SocketAddr>) {
        *self.addresses.borrow_mut() = addresses;
    }

    /// Returns where the other routers are.
    #[must_use]
    pub fn others(&self) -> Vec<SocketAddr> {
        let addresses = self.addresses.borrow();
        addresses
            .iter()
            .filter(|(name, _)| **name != self.me)
            .map(|(_, address)| *address)
            .collect()
    }

    fn send(&self, datagram: &[u8]) {
        for address in self.others() {
            if let Err(error) = self.socket.send_to(datagram, address) {
                log::debug!(step = "send", peer:% = address, error:% = error; "datagram_lost");
            }
        }
    }
}

/// Sends reports until the task is dropped.
pub async fn report(shell: Rc<Shell>, peers: Rc<Peers>) {
    let mut idle = 0;
    loop {
        let period = shell.with_fleet(Fleet::report_period);
        compio::time::sleep(period).await;
        shell.event(Event::Tick);
        let busy = shell.with_fleet(|f| f.requests() > 0);
        idle = if busy { 0 } else { idle + 1 };
        if busy || idle % IDLE_PERIODS == 1 {
            let now = shell.now();
            let report = shell.with_fleet_mut(|f| f.report(now));
            peers.send(&report.encode_to_vec());
        }
    }
}

/// Receives reports until the task is dropped.
///
/// # Errors
///
/// Fails when the socket can't be used for receiving.
pub async fn receive(shell: Rc<Shell>, peers: Rc<Peers>) -> io::Result<()> {
    let socket = compio::net::UdpSocket::from_std(peers.socket.try_clone()?)?;
    let mut buffer = Vec::with_capacity(BUFFER);
    loop {
        buffer.clear();
        let compio::BufResult(result, returned) = socket.recv_from(buffer).await;
        buffer = returned;
        match result {
            Ok((_, address)) => take(&shell, &peers, &buffer, address),
            Err(error) => log::debug!(step = "receive", error:% = error; "datagram_lost"),
        }
    }
}

fn take(shell: &Rc<Shell>, peers: &Rc<Peers>, datagram: &[u8], address: SocketAddr) {
    let report = match Report::decode(datagram) {
        Ok(report) => report,
        Err(error) => {
            log::warn!(step = "decode", peer:% = address, error:% = error; "datagram_dropped");
            return;
        }
    };
    let (orders, servers) = (report.orders, report.servers);
    shell.event(Event::Report(report));
    let behind = shell.with_fleet(|f| {
        let late = f.store_is_silent(shell.now());
        late && (f.orders_revision().0 < orders || f.roster().revision().0 < servers)
    });
    if behind && !peers.asking.replace(true) {
        let (shell, peers) = (Rc::clone(shell), Rc::clone(peers));
        compio::runtime::spawn(async move {
            compio::time::sleep(STORE_FIRST).await;
            state::catch_up(&shell, address).await;
            peers.asking.set(false);
        })
        .detach();
    }
}
