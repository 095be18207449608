//! Simulated fleet: routers, network and table under one virtual clock.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use hibiscusrail_core::configuration::{ObjectId, Version};
use hibiscusrail_core::membership::{Member, MemberState};
use hibiscusrail_core::ticket::Decision;
use hibiscusrail_core::{
    Clock, Effect, Event, Incarnation, ManualClock, Params, Router, RouterId, ZoneId,
};

use hibiscusrail_macros::record;
use hibiscusrail_wire::seal::HEADER_LEN;
use hibiscusrail_wire::{PeerMessage, encode};

use super::network::{Network, Packet};
use super::table::{Table, Ticket, object};
use super::{Action, ROUTERS};

const ZONES: usize = 2;

/// Number and size of the sent messages of one kind.
#[record]
#[derive(Default)]
pub struct Traffic {
    /// Number of messages.
    pub messages: u64,
    /// Total size of the sealed datagrams in bytes.
    pub bytes: u64,
}

/// The fleet under test.
#[derive(Debug)]
pub struct Fleet {
    clock: ManualClock,
    network: Network,
    table: Table,
    routers: Vec<Router>,
    incarnations: Vec<u64>,
    /// Last seen version of each object, by router.
    versions: Vec<BTreeMap<ObjectId, Version>>,
    sent: BTreeMap<&'static str, Traffic>,
}

fn name(index: usize) -> String {
    format!("router-{index}")
}

fn zone(index: usize) -> ZoneId {
    ZoneId::new(&format!("zone-{}", index % ZONES))
}

fn address(index: usize) -> SocketAddr {
    let port = u16::try_from(index).unwrap_or(0) + 1_000;
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

impl Fleet {
    /// Creates a fleet of [`ROUTERS`] routers that know each other but have no configuration yet.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self::with_size(seed, ROUTERS)
    }

    /// Creates a fleet like [`Self::new`], with `size` routers.
    #[must_use]
    pub fn with_size(seed: u64, size: usize) -> Self {
        let mut fleet = Self {
            clock: ManualClock::new(),
            network: Network::new(seed),
            table: Table::new(),
            routers: Vec::new(),
            incarnations: vec![1; size],
            versions: vec![BTreeMap::new(); size],
            sent: BTreeMap::new(),
        };
        fleet.routers = (0..size).map(|i| fleet.create_router(i)).collect();
        for index in 0..size {
            fleet.handle(index, Event::Join(address(index)));
        }
        fleet
    }

    /// Creates a router that sees all other routers alive.
    fn create_router(&self, index: usize) -> Router {
        let me = RouterId::new(&name(index));
        let run = Incarnation(self.incarnations[index]);
        let mut router = Router::new(me, zone(index), run, Params::new(), self.clock.now());
        for peer in (0..self.incarnations.len()).filter(|p| *p != index) {
            let member = Member {
                zone: zone(peer),
                state: MemberState::Alive,
            };
            let id = RouterId::new(&name(peer));
            router.add_member(id, member);
            router.add_address(id, address(peer));
        }
        router
    }

    /// Returns a router.
    #[must_use]
    pub fn router(&self, index: usize) -> &Router {
        &self.routers[index]
    }

    /// Returns the table.
    pub fn table(&mut self) -> &mut Table {
        &mut self.table
    }

    /// Returns the network.
    pub fn network(&mut self) -> &mut Network {
        &mut self.network
    }

    /// Returns the messages sent since the start, by kind.
    #[must_use]
    pub fn sent(&self) -> &BTreeMap<&'static str, Traffic> {
        &self.sent
    }

    /// Applies one action.
    pub fn apply(&mut self, action: &Action) {
        match action {
            Action::Submit {
                number,
                author,
                objects,
                answer_lost,
            } => self.submit(&Ticket::new(*number, *author, objects), *answer_lost),
            Action::Poll { router, lag, full } => self.poll(*router, *lag, *full),
            Action::Outage(down) => self.table.set_down(*down),
            Action::Advance(step) => self.advance(*step),
            Action::Restart(router) => self.restart(*router),
            Action::Partition(mask) => self.network.set_partition(*mask),
            Action::Faults {
                loss,
                duplicate,
                delay_ms,
            } => {
                let delay = Duration::from_millis(*delay_ms);
                self.network.set_faults(*loss, *duplicate, delay);
            }
        }
    }

    /// Submits a ticket unless the table is unavailable, and again if the answer is lost.
    fn submit(&mut self, ticket: &Ticket, answer_lost: bool) {
        if !self.table.is_up() {
            return;
        }
        let first = self.table.submit(ticket);
        if answer_lost && first == Decision::Write {
            assert_eq!(self.table.submit(ticket), Decision::AlreadyAccepted);
        }
    }

    /// Reads the table without the last `lag` accepted tickets for a router, except in an outage.
    pub fn poll(&mut self, router: usize, lag: usize, full: bool) {
        if !self.table.is_up() {
            return;
        }
        let objects = self.table.read(lag);
        let event = if full {
            Event::ConfigRead(objects)
        } else {
            Event::ConfigChanged(objects)
        };
        self.handle(router, event);
    }

    /// Restarts a router; it loses its state.
    pub fn restart(&mut self, index: usize) {
        self.incarnations[index] += 1;
        self.routers[index] = self.create_router(index);
        self.versions[index].clear();
        self.handle(index, Event::Join(address(index)));
    }

    /// Advances the clock by `time`, delivering messages and firing timers as they become due.
    pub fn advance(&mut self, time: Duration) {
        let end = self.clock.now() + time;
        while let Some(next) = self.next_due().filter(|at| *at <= end) {
            let now = self.clock.now();
            self.clock.advance(next.saturating_duration_since(now));
            let now = self.clock.now();
            while let Some(packet) = self.network.receive(now) {
                self.deliver(packet);
            }
            for index in 0..self.routers.len() {
                if self.routers[index].next_timer().is_some_and(|at| at <= now) {
                    self.handle(index, Event::Tick);
                }
            }
        }
        let now = self.clock.now();
        self.clock.advance(end.saturating_duration_since(now));
    }

    fn next_due(&self) -> Option<Instant> {
        let timers = self.routers.iter().filter_map(Router::next_timer);
        timers.chain(self.network.next_arrival()).min()
    }

    fn deliver(&mut self, packet: Packet) {
        let event = Event::Peer {
            from: RouterId::new(&name(packet.from)),
            incarnation: packet.incarnation,
            message: packet.message,
        };
        self.handle(packet.to, event);
    }

    /// Passes an event to a router, sends its messages, and checks its configuration.
    pub fn handle(&mut self, index: usize, event: Event) {
        let now = self.clock.now();
        let effects = self.routers[index].handle(now, event);
        for effect in effects {
            if let Effect::Send(to, message) = effect {
                self.send(now, index, to, message);
            }
        }
        self.check_versions(index);
    }

    fn count_message(&mut self, from: usize, to: RouterId, message: &hibiscusrail_core::Message) {
        let peer_message = PeerMessage {
            from: RouterId::new(&name(from)),
            incarnation: Incarnation(self.incarnations[from]),
            seq: u64::from(u32::MAX),
            to,
            message: message.clone(),
        };
        let sent = self.sent.entry(message.kind()).or_default();
        sent.messages += 1;
        sent.bytes += (HEADER_LEN + encode(&peer_message).len()) as u64;
    }

    fn send(
        &mut self,
        now: Instant,
        from: usize,
        to: RouterId,
        message: hibiscusrail_core::Message,
    ) {
        self.count_message(from, to, &message);
        let found = (0..self.routers.len()).find(|i| RouterId::new(&name(*i)) == to);
        if let Some(to) = found {
            let packet = Packet {
                from,
                incarnation: Incarnation(self.incarnations[from]),
                to,
                message,
            };
            self.network.send(now, &packet);
        }
    }

    /// Checks that no version decreased and that each was accepted.
    fn check_versions(&mut self, index: usize) {
        let config = self.routers[index].config();
        for (id, version) in config.versions() {
            let before = self.versions[index].insert(id, version);
            assert!(
                before.is_none_or(|b| b <= version),
                "router {index}: {id} went back from {before:?} to {version:?}"
            );
            if before != Some(version) {
                assert!(
                    self.table.was_accepted(id, version),
                    "{id} at {version:?} was never accepted"
                );
            }
        }
    }

    /// Ends all faults, lets one router read the table, and advances the clock by `time`.
    pub fn settle(&mut self, reader: usize, time: Duration) {
        self.network.set_partition(0);
        self.network.set_faults(0, 0, Duration::ZERO);
        self.table.set_down(false);
        self.poll(reader, 0, true);
        self.advance(time);
    }

    /// Checks that every router is ready, has the oracle's configuration, and sees all others
    /// alive or on probation.
    pub fn check_converged(&self) {
        let highest = self.table.highest_versions();
        for (index, router) in self.routers.iter().enumerate() {
            assert!(
                router.readiness().is_ok(),
                "router {index}: {:?}",
                router.not_ready()
            );
            for (object_index, version) in &highest {
                let wanted = object(*object_index, *version);
                let found = router.config().object(wanted.id());
                assert_eq!(found, Some((Version(*version), wanted)), "router {index}");
            }
            for (id, member) in router.members().members() {
                assert!(
                    matches!(member.state, MemberState::Alive | MemberState::Probation),
                    "router {index} sees {id} as {:?}",
                    member.state
                );
            }
        }
    }
}
