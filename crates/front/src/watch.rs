//! Follows the deployment's store.
//!
//! An adapter brings the [`Store`]; when to call it, how long to wait and what
//! to do while it is away is decided here. One long poll follows the orders,
//! another the servers; a call that is answered late or not at all is given
//! up, and the next one uses a new connection.

use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hibiscusrail_fleet::Event;
use hibiscusrail_fleet::objects::{Orders, Revision, Servers};
use serde::{Deserialize, Serialize};

use crate::peers::{Peers, Place};
use crate::shell::{Shell, millis};

/// How long the store holds a call that waits for changes; with the time for the
/// answer, and for others to take over, it is under the shortest bound on changes,
/// two seconds.
const LONG_POLL: Duration = Duration::from_millis(800);
/// Time for an answer beyond the wait that was asked for.
const ANSWER_TIME: Duration = Duration::from_millis(500);
/// Pause between two calls for servers, whose entries change all the time.
const SERVERS_PAUSE: Duration = Duration::from_millis(300);
/// First pause after a call that failed; it doubles up to [`LONGEST_BACKOFF`].
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause after a call that failed; bounds how late a store that is back is seen.
const LONGEST_BACKOFF: Duration = Duration::from_millis(800);
/// Time between two renewals of a router's own row.
const REGISTER_PERIOD: Duration = Duration::from_secs(30);
/// Age from which a row that was not renewed names a router that is gone.
const ROW_LIFE: Duration = Duration::from_secs(80);
/// Time between two readings of the routers' rows by those that follow the store.
const ROUTERS_PERIOD: Duration = Duration::from_secs(4);
/// The same for the others, and right after the start, when routers still register.
const ROUTERS_PERIODS: (Duration, Duration) = (Duration::from_secs(15), Duration::from_secs(2));
/// Time after the start in which routers still register.
const START_TIME: Duration = Duration::from_secs(5);
/// Pause between two looks whether this router is to follow the store.
const WATCH_PAUSE: Duration = Duration::from_millis(100);

/// What a call to the store returned.
#[derive(Debug)]
pub struct Reading<T> {
    /// Revision of the table.
    pub revision: Revision,
    /// The whole value; none when it has not changed.
    pub value: Option<T>,
}

/// A router's own row in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Name of the router.
    pub name: String,
    /// Where it takes reports, and state requests over TCP.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// When the row was renewed, in milliseconds of the time of day.
    pub renewed: u64,
}

/// An error of the store's adapter.
pub type StoreError = Box<dyn Error>;

/// The deployment's store, translated into the product's types.
#[allow(async_fn_in_trait)]
pub trait Store: 'static {
    /// Returns the operator's orders, waiting up to `wait` for a change.
    async fn orders(&self, wait: Duration) -> Result<Reading<Orders>, StoreError>;

    /// Returns the servers' entries, waiting up to `wait` for a change.
    async fn servers(&self, wait: Duration) -> Result<Reading<Servers>, StoreError>;

    /// Returns the rows of the routers.
    async fn routers(&self) -> Result<Vec<Registration>, StoreError>;

    /// Writes a router's row.
    async fn register(&self, row: &Registration) -> Result<(), StoreError>;

    /// Removes a router's row.
    async fn unregister(&self, name: &str) -> Result<(), StoreError>;
}

/// Whether the store answers one kind of call.
#[derive(Debug)]
struct Link {
    step: &'static str,
    backoff: Duration,
    lost: bool,
}

impl Link {
    fn new(step: &'static str) -> Self {
        Self {
            step,
            backoff: FIRST_BACKOFF,
            lost: false,
        }
    }

    /// Waits for a call; none when it failed, after a pause.
    async fn call<T>(
        &mut self,
        shell: &Shell,
        limit: Duration,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Option<T> {
        let error = match compio::time::timeout(limit, call).await {
            Ok(Ok(value)) => {
                self.regained(shell);
                return Some(value);
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("no answer in {limit:?}"),
        };
        shell.metrics().store_error(self.step);
        shell.event(Event::StoreLost);
        if !std::mem::replace(&mut self.lost, true) {
            log::warn!(step = self.step, error = error.as_str(); "store_lost");
        }
        let jitter = rand::random_range(0.5..1.0);
        compio::time::sleep(self.backoff.mul_f64(jitter)).await;
        self.backoff = (self.backoff * 2).min(LONGEST_BACKOFF);
        None
    }

    fn regained(&mut self, shell: &Shell) {
        self.backoff = FIRST_BACKOFF;
        if std::mem::replace(&mut self.lost, false) {
            log::info!(step = self.step; "store_regained");
        }
        shell.event(Event::StoreAnswered);
    }
}

/// Waits until this router is to follow the store itself.
async fn turn(shell: &Shell) {
    while !shell.with_fleet(|f| f.watches(shell.now())) {
        compio::time::sleep(WATCH_PAUSE).await;
    }
}

/// Follows the operator's orders until the task is dropped.
pub async fn follow_orders(shell: Rc<Shell>, store: Rc<impl Store>, peers: Rc<Peers>) {
    let mut link = Link::new("orders");
    loop {
        turn(&shell).await;
        let call = store.orders(LONG_POLL);
        let limit = LONG_POLL + ANSWER_TIME;
        if let Some(reading) = link.call(&shell, limit, call).await
            && let Some(orders) = reading.value
        {
            shell.event(Event::Orders(reading.revision, orders));
            peers.announce(&shell);
        }
    }
}

/// Follows the servers' entries until the task is dropped.
pub async fn follow_servers(shell: Rc<Shell>, store: Rc<impl Store>, peers: Rc<Peers>) {
    let mut link = Link::new("servers");
    loop {
        turn(&shell).await;
        // What changed while the store was away is there at once.
        let wait = if link.lost { Duration::ZERO } else { LONG_POLL };
        let call = store.servers(wait);
        if let Some(reading) = link.call(&shell, wait + ANSWER_TIME, call).await {
            if let Some(servers) = reading.value {
                shell.event(Event::Servers(reading.revision, servers));
                peers.announce(&shell);
            } else {
                shell.event(Event::ServersUnchanged);
            }
            compio::time::sleep(SERVERS_PAUSE).await;
        }
    }
}

/// Keeps this router's row and the list of the others until the task is dropped.
pub async fn follow_routers(shell: Rc<Shell>, store: Rc<impl Store>, peers: Rc<Peers>) {
    let mut link = Link::new("routers");
    let mut renewed = None;
    let started = shell.now();
    loop {
        let now = shell.now();
        let due = renewed.is_none_or(|at| now.saturating_duration_since(at) >= REGISTER_PERIOD);
        if due && !shell.is_stopping() {
            let row = registration(&shell);
            let call = store.register(&row);
            if link.call(&shell, ANSWER_TIME, call).await.is_none() {
                continue;
            }
            renewed = Some(now);
        }
        if let Some(rows) = link.call(&shell, ANSWER_TIME, store.routers()).await {
            take_rows(&shell, &peers, rows);
            let now = shell.now();
            let pause = if now.saturating_duration_since(started) < START_TIME {
                ROUTERS_PERIODS.1
            } else if shell.with_fleet(|f| f.watches(now)) {
                ROUTERS_PERIOD
            } else {
                ROUTERS_PERIODS.0
            };
            compio::time::sleep(pause).await;
        }
    }
}

fn registration(shell: &Shell) -> Registration {
    let settings = shell.settings();
    Registration {
        name: settings.name,
        address: settings.peer_listen,
        zone: settings.params.zone,
        renewed: shell.epoch_ms(),
    }
}

fn take_rows(shell: &Shell, peers: &Peers, rows: Vec<Registration>) {
    let now = shell.epoch_ms();
    let life = millis(ROW_LIFE);
    let live: BTreeMap<String, Place> = rows
        .into_iter()
        .filter(|r| now.saturating_sub(r.renewed) <= life)
        .map(|r| {
            let place = Place {
                address: r.address,
                zone: r.zone,
            };
            (r.name, place)
        })
        .collect();
    shell.event(Event::Members(live.keys().cloned().collect()));
    peers.set(live);
}
