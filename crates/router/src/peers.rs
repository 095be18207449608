//! Datagrams between routers.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use hibiscusrail_core::{Event, Incarnation, Message, RouterId};
use hibiscusrail_wire::{Keys, Letter};

use crate::drops::Drops;
use crate::metrics::{Metrics, RECEIVED, SENT};
use crate::shell::Shell;

/// Bytes of the receive buffer: more than the largest datagram accepted.
const BUFFER: usize = 65_536;

/// The socket towards other routers and where they are.
#[derive(Debug)]
pub struct Peers {
    me: RouterId,
    incarnation: Incarnation,
    socket: UdpSocket,
    keys: RefCell<Keys>,
    addresses: RefCell<BTreeMap<RouterId, SocketAddr>>,
    pinned: RefCell<BTreeSet<RouterId>>,
    seq: Cell<u64>,
    drops: RefCell<Drops>,
    metrics: Rc<Metrics>,
}

impl Peers {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken or not on this host.
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
            pinned: RefCell::default(),
            seq: Cell::new(0),
            drops: RefCell::default(),
            metrics,
        })
    }

    /// Notes where a router takes datagrams according to the settings.
    pub fn add(&self, router: RouterId, address: SocketAddr) {
        self.addresses.borrow_mut().insert(router, address);
        self.pinned.borrow_mut().insert(router);
    }

    /// Notes where a router says that it takes datagrams.
    ///
    /// An address from the settings goes before it.
    pub fn learn(&self, router: RouterId, address: SocketAddr) {
        if !self.pinned.borrow().contains(&router) {
            self.addresses.borrow_mut().insert(router, address);
        }
    }

    /// Seals and sends a message; a message that can't be sent now is lost.
    pub fn send(&self, to: RouterId, message: Message) {
        let Some(address) = self.addresses.borrow().get(&to).copied() else {
            self.metrics.dropped("no_address");
            return;
        };
        let kind = message.kind();
        let seq = self.seq.get() + 1;
        self.seq.set(seq);
        let datagram = self.keys.borrow().seal(&Letter {
            from: self.me,
            incarnation: self.incarnation,
            seq,
            to,
            message,
        });
        self.metrics.datagram(SENT, kind, datagram.len());
        if let Err(error) = self.socket.send_to(&datagram, address) {
            self.metrics.dropped("send_failed");
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
/// Fails when the socket can't be used for receiving.
pub async fn receive(shell: Rc<Shell>) -> io::Result<()> {
    let socket = shell.peers().receive_socket()?;
    let mut buffer = Vec::with_capacity(BUFFER);
    loop {
        buffer.clear();
        let compio::BufResult(result, returned) = socket.recv_from(buffer).await;
        buffer = returned;
        match result {
            Ok((_, address)) => open(&shell, &buffer, address),
            Err(error) => log::debug!(step = "receive", error:% = error; "datagram_lost"),
        }
    }
}

fn open(shell: &Rc<Shell>, datagram: &[u8], address: SocketAddr) {
    let opened = shell.peers().keys.borrow_mut().open(datagram);
    match opened {
        Ok(letter) => {
            let kind = letter.message.kind();
            shell.metrics().datagram(RECEIVED, kind, datagram.len());
            shell.event(Event::Peer {
                from: letter.from,
                incarnation: letter.incarnation,
                message: letter.message,
            });
        }
        Err(error) => {
            shell.metrics().dropped(error.kind());
            if shell
                .peers()
                .drops
                .borrow_mut()
                .note(shell.clock().now(), address, error)
            {
                log::warn!(step = "open", peer:% = address, error:% = error; "datagram_dropped");
            }
        }
    }
}
