//! Routers, network and table together, under one virtual clock.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use hibiscusrail_core::configuration::{ObjectId, Version};
use hibiscusrail_core::membership::{Member, MemberState};
use hibiscusrail_core::ticket::Decision;
use hibiscusrail_core::{
    Clock, Effect, Event, Incarnation, ManualClock, Params, Router, RouterId, ZoneId,
};

use super::network::{Network, Parcel};
use super::table::{Table, Ticket, object};
use super::{Action, ROUTERS};

/// Zones that the routers are spread over.
const ZONES: usize = 2;

/// The fleet under test.
#[derive(Debug)]
pub struct Fleet {
    clock: ManualClock,
    network: Network,
    table: Table,
    routers: Vec<Router>,
    runs: Vec<u64>,
    versions: Vec<BTreeMap<ObjectId, Version>>,
    sent: BTreeMap<&'static str, u64>,
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
    /// Creates a fleet of routers that know each other and have read nothing.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self::with_size(seed, ROUTERS)
    }

    /// Creates a fleet of some size.
    #[must_use]
    pub fn with_size(seed: u64, size: usize) -> Self {
        let mut fleet = Self {
            clock: ManualClock::new(),
            network: Network::new(seed),
            table: Table::new(),
            routers: Vec::new(),
            runs: vec![1; size],
            versions: vec![BTreeMap::new(); size],
            sent: BTreeMap::new(),
        };
        fleet.routers = (0..size).map(|i| fleet.make(i)).collect();
        for index in 0..size {
            fleet.event(index, Event::Join(address(index)));
        }
        fleet
    }

    fn make(&self, index: usize) -> Router {
        let me = RouterId::new(&name(index));
        let run = Incarnation(self.runs[index]);
        let mut router = Router::new(me, zone(index), run, Params::new(), self.clock.now());
        for peer in (0..self.runs.len()).filter(|p| *p != index) {
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

    /// Returns how many messages of each kind were sent.
    #[must_use]
    pub fn sent(&self) -> &BTreeMap<&'static str, u64> {
        &self.sent
    }

    /// Does one action.
    pub fn act(&mut self, action: &Action) {
        match action {
            Action::Submit {
                number,
                author,
                objects,
                lost,
            } => self.submit(&Ticket::new(*number, *author, objects), *lost),
            Action::Poll { router, lag, whole } => self.poll(*router, *lag, *whole),
            Action::Outage(down) => self.table.set_down(*down),
            Action::Advance(step) => self.advance(*step),
            Action::Restart(router) => self.restart(*router),
            Action::Cut(mask) => self.network.cut(*mask),
            Action::Weather {
                loss,
                repeat,
                delay_ms,
            } => {
                let delay = Duration::from_millis(*delay_ms);
                self.network.set_weather(*loss, *repeat, delay);
            }
        }
    }

    /// Submits a ticket; when the answer is lost the ticket is decided once more.
    fn submit(&mut self, ticket: &Ticket, lost: bool) {
        if !self.table.is_up() {
            return;
        }
        let first = self.table.submit(ticket);
        if lost && first == Decision::Write {
            assert_eq!(self.table.submit(ticket), Decision::Already);
        }
    }

    /// Lets a router read the table.
    pub fn poll(&mut self, router: usize, lag: usize, whole: bool) {
        if !self.table.is_up() {
            return;
        }
        let objects = self.table.read(lag);
        let event = if whole {
            Event::Objects(objects)
        } else {
            Event::Changes(objects)
        };
        self.event(router, event);
    }

    /// Restarts a router with nothing in memory.
    pub fn restart(&mut self, index: usize) {
        self.runs[index] += 1;
        self.routers[index] = self.make(index);
        self.versions[index].clear();
        self.event(index, Event::Join(address(index)));
    }

    /// Lets time pass: messages arrive and timers fall due.
    pub fn advance(&mut self, step: Duration) {
        let end = self.clock.now() + step;
        while let Some(next) = self.next_due().filter(|at| *at <= end) {
            let now = self.clock.now();
            self.clock.advance(next.saturating_duration_since(now));
            let now = self.clock.now();
            while let Some(parcel) = self.network.take(now) {
                self.arrive(parcel);
            }
            for index in 0..self.routers.len() {
                if self.routers[index].next_timer().is_some_and(|at| at <= now) {
                    self.event(index, Event::Tick);
                }
            }
        }
        let now = self.clock.now();
        self.clock.advance(end.saturating_duration_since(now));
    }

    fn next_due(&self) -> Option<Instant> {
        let timers = self.routers.iter().filter_map(Router::next_timer);
        timers.chain(self.network.next()).min()
    }

    fn arrive(&mut self, parcel: Parcel) {
        let event = Event::Peer {
            from: RouterId::new(&name(parcel.from)),
            incarnation: parcel.incarnation,
            message: parcel.message,
        };
        self.event(parcel.to, event);
    }

    /// Gives an event to a router, sends what it wants sent, and checks it.
    pub fn event(&mut self, index: usize, event: Event) {
        let now = self.clock.now();
        let effects = self.routers[index].handle(now, event);
        for effect in effects {
            if let Effect::Send(to, message) = effect {
                self.send(now, index, to, message);
            }
        }
        self.check(index);
    }

    fn send(
        &mut self,
        now: Instant,
        from: usize,
        to: RouterId,
        message: hibiscusrail_core::Message,
    ) {
        *self.sent.entry(message.kind()).or_default() += 1;
        let found = (0..self.routers.len()).find(|i| RouterId::new(&name(*i)) == to);
        if let Some(to) = found {
            let parcel = Parcel {
                from,
                incarnation: Incarnation(self.runs[from]),
                to,
                message,
            };
            self.network.send(now, &parcel);
        }
    }

    /// Checks that no version went back and that each was accepted.
    fn check(&mut self, index: usize) {
        let config = self.routers[index].config();
        for (id, version) in config.versions() {
            let before = self.versions[index].insert(id, version);
            assert!(
                before.is_none_or(|b| b <= version),
                "router {index} went back from {before:?} to {version:?}"
            );
            if before != Some(version) {
                assert!(
                    self.table.knows(id, version),
                    "{id} at {version:?} was never accepted"
                );
            }
        }
    }

    /// Ends all faults, lets one router read the table, and gives the others time.
    pub fn settle(&mut self, reader: usize, time: Duration) {
        self.network.cut(0);
        self.network.set_weather(0, 0, Duration::ZERO);
        self.table.set_down(false);
        self.poll(reader, 0, true);
        self.advance(time);
    }

    /// Checks that every router has exactly what the oracle says, and sees all others alive.
    pub fn check_converged(&self) {
        let highest = self.table.highest();
        for (index, router) in self.routers.iter().enumerate() {
            assert!(
                router.readiness().is_ok(),
                "router {index}: {:?}",
                router.waiting()
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
