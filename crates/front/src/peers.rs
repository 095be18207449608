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

use futures_util::StreamExt;
use hibiscusrail_fleet::peers::{Report, Scope};
use hibiscusrail_fleet::{Event, Fleet};
use prost::Message;

use crate::shell::Shell;
use crate::state;

/// Bytes of the receive buffer: more than the largest datagram.
const BUFFER: usize = 65_536;
/// Datagrams taken in at once at most; several times those of a period at any size.
const BATCH: usize = 512;
/// Periods without work after which a report goes out all the same.
const IDLE_PERIODS: u32 = 4;

/// Pause between two reports of news: a fraction of the time that an engine takes
/// to read a prompt, and it bounds what a busy router sends.
const NEWS_PAUSE: Duration = Duration::from_millis(20);

/// Where another router is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Where it takes reports, and state requests over TCP.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
}

/// The socket towards the other routers and where they are.
#[derive(Debug)]
pub struct Peers {
    me: String,
    zone: String,
    socket: UdpSocket,
    places: RefCell<BTreeMap<String, Place>>,
    asking: Cell<bool>,
}

impl Peers {
    /// Opens the socket of the router `me` in `zone`.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken or not on this host.
    pub fn new(me: &str, zone: &str, listen: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(listen)?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            me: me.to_owned(),
            zone: zone.to_owned(),
            socket,
            places: RefCell::default(),
            asking: Cell::new(false),
        })
    }

    /// Replaces the places of the routers.
    pub fn set(&self, places: BTreeMap<String, Place>) {
        *self.places.borrow_mut() = places;
    }

    /// Sends a datagram to the other routers, or to those of the own zone alone.
    fn send(&self, datagram: &[u8], scope: Scope) {
        let places = self.places.borrow();
        let others = places.iter().filter(|(name, place)| {
            **name != self.me && (scope == Scope::All || place.zone == self.zone)
        });
        for (_, place) in others {
            if let Err(error) = self.socket.send_to(datagram, place.address) {
                let peer = place.address;
                log::debug!(step = "send", peer:% = peer, error:% = error; "datagram_lost");
            }
        }
    }

    /// Returns whether a router is in the own zone.
    fn is_near(&self, address: SocketAddr) -> bool {
        let places = self.places.borrow();
        places
            .values()
            .any(|p| p.address == address && p.zone == self.zone)
    }

    /// Tells the routers of the zone at once that there is news from the store.
    pub fn announce(&self, shell: &Shell) {
        let now = shell.now();
        let report = shell.with_fleet_mut(|f| f.report(now, Scope::Zone));
        self.send(&report.encode_to_vec(), Scope::Zone);
    }
}

/// Sends reports until the task is dropped.
pub async fn report(shell: Rc<Shell>, peers: Rc<Peers>) {
    let mut idle = 0;
    let mut round: u32 = 0;
    loop {
        let period = shell.with_fleet(Fleet::report_period);
        compio::time::sleep(period).await;
        shell.event(Event::Tick);
        let now = shell.now();
        let busy = shell.with_fleet(|f| f.requests() > 0 || f.watches(now));
        idle = if busy { 0 } else { idle + 1 };
        round = round.wrapping_add(1);
        let far = shell.with_fleet(Fleet::far_periods);
        let scope = if round.is_multiple_of(far) {
            Scope::All
        } else {
            Scope::Zone
        };
        let seldom = far > 1 && scope == Scope::All;
        if busy || seldom || idle % IDLE_PERIODS == 1 {
            let report = shell.with_fleet_mut(|f| f.report(now, scope));
            peers.send(&report.encode_to_vec(), scope);
        }
    }
}

/// Tells the routers that use the same servers at once what was sent there,
/// until the task is dropped.
pub async fn tell_news(shell: Rc<Shell>, peers: Rc<Peers>) {
    let Some(mut announced) = shell.news() else {
        return;
    };
    while announced.next().await.is_some() {
        if let Some(report) = shell.with_fleet_mut(Fleet::news) {
            let scope = shell.with_fleet(Fleet::news_scope);
            peers.send(&report.encode_to_vec(), scope);
        }
        compio::time::sleep(NEWS_PAUSE).await;
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
    let mut rest = vec![0; BUFFER];
    loop {
        buffer.clear();
        let compio::BufResult(result, returned) = socket.recv_from(buffer).await;
        buffer = returned;
        match result {
            Ok((_, address)) => {
                take(&shell, &peers, &buffer, address);
                drain(&shell, &peers, &mut rest);
            }
            Err(error) => log::debug!(step = "receive", error:% = error; "datagram_lost"),
        }
    }
}

/// Takes in what else has arrived.
///
/// A busy loop comes round seldom; reports that pile up meanwhile would only be
/// read when they say nothing any more.
fn drain(shell: &Rc<Shell>, peers: &Rc<Peers>, buffer: &mut [u8]) {
    for _ in 0..BATCH {
        match peers.socket.recv_from(buffer) {
            Ok((length, address)) => take(shell, peers, &buffer[..length], address),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(error) => {
                log::debug!(step = "receive", error:% = error; "datagram_lost");
                return;
            }
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
    let now = shell.now();
    let behind = shell.with_fleet(|f| {
        let relies = f.store_is_lost() || (!f.watches(now) && peers.is_near(address));
        relies && (f.orders_revision().0 < orders || f.roster().revision().0 < servers)
    });
    if behind && !peers.asking.replace(true) {
        let (shell, peers) = (Rc::clone(shell), Rc::clone(peers));
        compio::runtime::spawn(async move {
            state::catch_up(&shell, address).await;
            peers.asking.set(false);
        })
        .detach();
    }
}
