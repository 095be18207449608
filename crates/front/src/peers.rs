//! Exchanges reports with the other routers as UDP datagrams.
//!
//! A lost report is made good by the next one. A report also holds the sender's revisions of the
//! operator configuration and the servers; a router with older ones fetches them from the sender.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use hibiscusrail_fleet::freshness::Source;
use hibiscusrail_fleet::objects::Revision;
use hibiscusrail_fleet::peers::{Report, Scope};
use hibiscusrail_fleet::{Event, Fleet};
use hibiscusrail_net::event_loop;
use hibiscusrail_net::poller::Watched;
use prost::Message;

use crate::shell::{Shell, millis};
use crate::state;

/// Size of the receive buffer in bytes: more than the largest datagram.
const RECEIVE_BUFFER_BYTES: usize = 65_536;
/// Maximum datagrams received in one step of the event loop: their handling delays streams, and the
/// rest is received in the next turns.
const MAX_BATCH: usize = 64;
/// Report periods between two reports of an idle router.
const IDLE_REPORT_PERIODS: u32 = 4;
/// Maximum routers from which newer state is fetched at the same time.
const MAX_FETCHES: usize = 2;
/// Time after which newer state is fetched from a second router while the first has not answered.
const FETCH_PATIENCE: Duration = Duration::from_millis(150);

/// Minimum interval of incremental reports, which bounds their number: a fraction of a prompt's
/// prefill time.
const INCREMENTAL_INTERVAL: Duration = Duration::from_millis(20);

/// Address and zone of a router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerLocation {
    /// Address where the router receives reports over UDP and state requests over TCP.
    pub address: SocketAddr,
    /// Availability zone of the router.
    pub zone: String,
}

/// The socket for reports and the locations of the routers.
#[derive(Debug)]
pub struct Peers {
    name: String,
    zone: String,
    socket: UdpSocket,
    locations: RefCell<BTreeMap<String, PeerLocation>>,
    /// Routers from which newer state is being fetched, and since when.
    fetching: RefCell<BTreeMap<SocketAddr, Instant>>,
    /// When the socket last held no datagram; none before the first was received.
    emptied_at: Cell<Option<Instant>>,
}

impl Peers {
    /// Opens the socket of the router `name` in `zone`.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use or not on this host.
    pub fn new(name: &str, zone: &str, listen: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(listen)?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            socket,
            locations: RefCell::default(),
            fetching: RefCell::default(),
            emptied_at: Cell::new(None),
        })
    }

    /// Replaces the locations of the routers, this one included.
    pub fn set_locations(&self, locations: BTreeMap<String, PeerLocation>) {
        *self.locations.borrow_mut() = locations;
    }

    /// Sends a datagram to the other routers in `scope`.
    fn send(&self, datagram: &[u8], scope: Scope) {
        let locations = self.locations.borrow();
        let others = locations.iter().filter(|(name, location)| {
            **name != self.name && (scope == Scope::All || location.zone == self.zone)
        });
        for (_, location) in others {
            if let Err(error) = self.socket.send_to(datagram, location.address) {
                let peer = location.address;
                log::debug!(step = "send", peer:% = peer, error:% = error; "datagram_lost");
            }
        }
    }

    /// Returns whether newer state may be fetched from the router at `address`, and records it.
    ///
    /// A router that does not answer must not keep this one from asking another.
    pub fn begin_fetch(&self, address: SocketAddr, now: Instant) -> bool {
        let mut fetching = self.fetching.borrow_mut();
        let is_slow = |since: &Instant| now.saturating_duration_since(*since) >= FETCH_PATIENCE;
        let may_fetch = fetching.len() < MAX_FETCHES
            && !fetching.contains_key(&address)
            && fetching.values().all(is_slow);
        if may_fetch {
            fetching.insert(address, now);
        }
        may_fetch
    }

    /// Records that a fetch from the router at `address` has ended.
    pub fn end_fetch(&self, address: SocketAddr) {
        self.fetching.borrow_mut().remove(&address);
    }

    /// Sends a report to the routers of this zone at once, because the store has newer revisions.
    pub fn send_zone_report(&self, shell: &Shell) {
        let now = shell.now();
        let report = shell.with_fleet_mut(|f| f.report(now, Scope::Zone));
        self.send(&report.encode_to_vec(), Scope::Zone);
    }
}

/// Sends a report in every period until the task is dropped; less often while idle.
pub async fn send_reports(shell: Rc<Shell>, peers: Rc<Peers>) {
    let mut idle = 0;
    let mut round: u32 = 0;
    loop {
        let period = shell.with_fleet(Fleet::report_period);
        compio::time::sleep(period).await;
        shell.handle(Event::Tick);
        let now = shell.now();
        shell.pool().drop_expired(now);
        let busy = shell.with_fleet(|f| f.requests() > 0 || f.reads_store(now));
        idle = if busy { 0 } else { idle + 1 };
        round = round.wrapping_add(1);
        let cross_zone_periods = shell.with_fleet(Fleet::cross_zone_periods);
        let scope = if round.is_multiple_of(cross_zone_periods) {
            Scope::All
        } else {
            Scope::Zone
        };
        let cross_zone = cross_zone_periods > 1 && scope == Scope::All;
        if busy || cross_zone || idle % IDLE_REPORT_PERIODS == 1 {
            let report = shell.with_fleet_mut(|f| f.report(now, scope));
            peers.send(&report.encode_to_vec(), scope);
        }
    }
}

/// Reports new attempts to the routers that use the same servers until the task is dropped.
pub async fn send_incremental_reports(shell: Rc<Shell>, peers: Rc<Peers>) {
    let Some(mut signal) = shell.report_signal() else {
        return;
    };
    while signal.next().await.is_some() {
        let now = shell.now();
        if let Some(report) = shell.with_fleet_mut(|f| f.incremental_report(now)) {
            let scope = shell.with_fleet(Fleet::incremental_scope);
            peers.send(&report.encode_to_vec(), scope);
        }
        compio::time::sleep(INCREMENTAL_INTERVAL).await;
    }
}

/// Receives reports until the task is dropped.
///
/// # Errors
///
/// Fails if the socket can't be used for receiving.
pub async fn receive_reports(shell: Rc<Shell>, peers: Rc<Peers>) -> io::Result<()> {
    let socket = Watched::new(peers.socket.try_clone()?)?;
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        // Waits for a turn of the event loop, also if more datagrams are there.
        socket.readable().await?;
        if !receive_pending(&shell, &peers, &mut buffer) {
            socket.keep_readable();
            event_loop::yield_now().await;
        }
    }
}

/// Receives the datagrams that have already arrived, up to a batch; returns whether these are all.
///
/// A busy event loop polls the socket seldom; with one datagram per turn, queued reports would be
/// out of date when they are read.
fn receive_pending(shell: &Rc<Shell>, peers: &Rc<Peers>, buffer: &mut [u8]) -> bool {
    for _ in 0..MAX_BATCH {
        match peers.socket.recv_from(buffer) {
            Ok((length, address)) => handle_datagram(shell, peers, &buffer[..length], address),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                peers.emptied_at.set(Some(shell.now()));
                return true;
            }
            Err(error) => {
                log::debug!(step = "receive", error:% = error; "datagram_lost");
                return false;
            }
        }
    }
    false
}

fn handle_datagram(shell: &Rc<Shell>, peers: &Rc<Peers>, datagram: &[u8], address: SocketAddr) {
    let mut report = match Report::decode(datagram) {
        Ok(report) => report,
        Err(error) => {
            log::warn!(step = "decode", peer:% = address, error:% = error; "datagram_dropped");
            return;
        }
    };
    let now = shell.now();
    // It may have arrived at any time since the socket was last empty.
    let emptied_at = peers.emptied_at.get();
    let waited = emptied_at.map(|at| millis(now.saturating_duration_since(at)));
    for age in [&mut report.list_age, &mut report.config_age] {
        *age = age
            .zip(waited)
            .map(|(age, waited)| age.saturating_add(waited));
    }
    let (config, servers) = (report.orders, report.servers);
    let sender = report.sender;
    let deployment = report.restored.as_ref().map_or(0, |r| r.deployment);
    shell.handle(Event::Report(report));
    let behind = shell.with_fleet(|f| {
        let needs_peer = f.store_is_lost() || (!f.reads_store(now) && f.is_source(sender));
        let is_newer = f.config_revision().0 < config || f.registry().revision().0 < servers;
        (needs_peer && is_newer) || f.lacks_deployment(Revision(config), deployment)
    });
    if behind && peers.begin_fetch(address, now) {
        let (shell, peers) = (Rc::clone(shell), Rc::clone(peers));
        event_loop::spawn(async move {
            state::catch_up(&shell, address, Source::Router(sender), deployment).await;
            peers.end_fetch(address);
        });
    }
}
