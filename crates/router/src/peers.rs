//! Sends and receives the sealed datagrams between routers.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use hibiscusrail_core::{Event, Incarnation, Message, RouterId};
use hibiscusrail_wire::{Keys, PeerMessage};

use crate::drops::DropLog;
use crate::metrics::{Metrics, RECEIVED, SENT};
use crate::shell::Shell;

/// Size of the receive buffer in bytes; larger than the largest datagram accepted.
const RECEIVE_BUFFER: usize = 65_536;

/// The UDP socket of this router and the addresses of the other routers.
#[derive(Debug)]
pub struct Peers {
    me: RouterId,
    incarnation: Incarnation,
    socket: UdpSocket,
    keys: RefCell<Keys>,
    addresses: RefCell<BTreeMap<RouterId, SocketAddr>>,
    configured: RefCell<BTreeSet<RouterId>>,
    seq: Cell<u64>,
    drop_log: RefCell<DropLog>,
    metrics: Rc<Metrics>,
}

impl Peers {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Returns an error if `listen` is in use or not an address of this host.
    pub fn new(
        me: RouterId,
        incarnation: Incarnation,
        listen: SocketAddr,
        secret: &[u8],
        metrics: Rc<Metrics>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(listen)?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            me,
            incarnation,
            socket,
            keys: RefCell::new(Keys::new(me, secret)),
            addresses: RefCell::default(),
            configured: RefCell::default(),
            seq: Cell::new(0),
            drop_log: RefCell::default(),
            metrics,
        })
    }

    /// Sets the datagram address of a router from the settings.
    pub fn add_configured(&self, router: RouterId, address: SocketAddr) {
        self.addresses.borrow_mut().insert(router, address);
        self.configured.borrow_mut().insert(router);
    }

    /// Sets the address that a router announced, unless the settings give one.
    pub fn learn(&self, router: RouterId, address: SocketAddr) {
        if !self.configured.borrow().contains(&router) {
            self.addresses.borrow_mut().insert(router, address);
        }
    }

    /// Seals and sends a message; a message that can't be sent at once is dropped.
    pub fn send(&self, to: RouterId, message: Message) {
        let Some(address) = self.addresses.borrow().get(&to).copied() else {
            self.metrics.datagram_dropped("no_address");
            return;
        };
        let kind = message.kind();
        let seq = self.seq.get() + 1;
        self.seq.set(seq);
        let datagram = self.keys.borrow().seal(&PeerMessage {
            from: self.me,
            incarnation: self.incarnation,
            seq,
            to,
            message,
        });
        self.metrics.datagram(SENT, kind, datagram.len());
        if let Err(error) = self.socket.send_to(&datagram, address) {
            self.metrics.datagram_dropped("send_failed");
            log::debug!(step = "send", peer:% = address, error:% = error; "datagram_lost");
        }
    }

    fn receive_socket(&self) -> io::Result<compio::net::UdpSocket> {
        compio::net::UdpSocket::from_std(self.socket.try_clone()?)
    }
}

/// Receives datagrams until the task is dropped.
///
/// # Errors
///
/// Returns an error if the socket can't be used for receiving.
pub async fn receive(shell: Rc<Shell>) -> io::Result<()> {
    let socket = shell.peers().receive_socket()?;
    let mut buffer = Vec::with_capacity(RECEIVE_BUFFER);
    loop {
        buffer.clear();
        let compio::BufResult(result, returned) = socket.recv_from(buffer).await;
        buffer = returned;
        match result {
            Ok((_, address)) => handle_datagram(&shell, &buffer, address),
            Err(error) => log::debug!(step = "receive", error:% = error; "datagram_lost"),
        }
    }
}

/// Opens a datagram and passes its message to the reducer; logs and counts a bad one.
fn handle_datagram(shell: &Rc<Shell>, datagram: &[u8], address: SocketAddr) {
    let opened = shell.peers().keys.borrow_mut().open(datagram);
    match opened {
        Ok(peer_message) => {
            let kind = peer_message.message.kind();
            shell.metrics().datagram(RECEIVED, kind, datagram.len());
            shell.handle(Event::Peer {
                from: peer_message.from,
                incarnation: peer_message.incarnation,
                message: peer_message.message,
            });
        }
        Err(error) => {
            shell.metrics().datagram_dropped(error.kind());
            if shell
                .peers()
                .drop_log
                .borrow_mut()
                .should_log(shell.clock().now(), address, error)
            {
                log::warn!(step = "open", peer:% = address, error:% = error; "datagram_dropped");
            }
        }
    }
}
