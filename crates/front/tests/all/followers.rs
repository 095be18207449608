//! Routers that leave reading the configuration to others, and get nothing from them.

use std::cell::Cell;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hibiscusrail_fleet::Event;
use hibiscusrail_fleet::freshness::{Confirmation, Source};
use hibiscusrail_fleet::objects::Revision;
use hibiscusrail_fleet::peers::Report;
use hibiscusrail_fleet::placement::{name_hash, weight};
use hibiscusrail_front::peers::{self, Peers};
use hibiscusrail_front::shell::Shell;
use hibiscusrail_front::state;
use hibiscusrail_front::watch;
use hibiscusrail_net::{Limits, bind, serve};
use prost::Message;

use super::support::{Front, run, wait_until};
use super::tables::Tables;

/// Interval of the readers' reports.
const REPORT_PERIOD: Duration = Duration::from_millis(50);

/// Returns the names of two routers that read for router `r`, whose zone is `a`.
fn reader_names() -> Vec<String> {
    let rank = |name: &str| weight(u64::from(name_hash("a")), name_hash(name));
    let names = (0..100).map(|n| format!("reader{n}"));
    let names = names.filter(|name| rank(name) > rank("r"));
    names.take(2).collect()
}

/// Sends the reports of a router that has read the store from `address`, where nobody listens for
/// requests unless the test serves them.
fn spawn_reader(
    name: &str,
    address: SocketAddr,
    to: SocketAddr,
    config_age: Option<u64>,
    revision: impl Fn() -> u64 + 'static,
) {
    let socket = UdpSocket::bind(address).expect("the address is free");
    let sender = name_hash(name);
    compio::runtime::spawn(async move {
        for sequence in 1.. {
            let report = Report {
                sender,
                incarnation: 1,
                sequence,
                orders: revision(),
                zone: name_hash("a"),
                config_age,
                read_age: Some(0),
                ..Report::default()
            };
            // The router's socket may be closed at the end of the test.
            let _ = socket.send_to(&report.encode_to_vec(), to);
            compio::time::sleep(REPORT_PERIOD).await;
        }
    })
    .detach();
}

/// Returns a loopback address whose port the system chooses.
fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn free_address() -> SocketAddr {
    let socket = UdpSocket::bind(any_address()).expect("loopback is up");
    socket.local_addr().expect("the socket is bound")
}

/// Makes a router receive reports at `address`.
fn receive_reports(shell: &Rc<Shell>, address: SocketAddr) -> Rc<Peers> {
    let peers = Peers::new("r", "a", address).expect("the address is free");
    let peers = Rc::new(peers);
    let receiving = peers::receive_reports(Rc::clone(shell), Rc::clone(&peers));
    compio::runtime::spawn(async move {
        receiving.await.expect("the socket works");
    })
    .detach();
    peers
}

/// Guards against a configuration that a router acts by long after its change (CONFIG, review case
/// 2), as it counted on readers that its table does not list or that can't be asked.
#[test]
fn follow_orders_without_state_of_readers() {
    for listed in [false, true] {
        run(async move {
            let front = Front::start(&[]);
            let config = front.shell.with_fleet(|f| f.config().clone());
            let tables = Rc::new(Tables {
                config: Some(config),
                revision: Cell::new(1),
                read: Cell::new(1),
                ..Tables::default()
            });
            let names = reader_names();
            if listed {
                let all = names.iter().cloned().chain(["r".to_owned()]);
                front.shell.handle(Event::Members(all.collect()));
            }
            let address = free_address();
            let shell = Rc::clone(&front.shell);
            let peers = receive_reports(&shell, address);
            for name in &names {
                let tables = Rc::clone(&tables);
                spawn_reader(name, any_address(), address, Some(0), move || {
                    tables.revision.get()
                });
            }
            let count = if listed { 2 } else { 0 };
            let known = || shell.with_fleet(|f| f.known_routers() == 3);
            wait_until(known).await;
            wait_until(|| shell.with_fleet(|f| f.readers(Instant::now())) == count).await;
            let following = watch::follow_orders(Rc::clone(&shell), Rc::clone(&tables), peers);
            compio::runtime::spawn(following).detach();
            compio::time::sleep(REPORT_PERIOD * 4).await;
            tables.revision.set(2);
            wait_until(|| shell.with_fleet(|f| f.config_revision() == Revision(2))).await;
        });
    }
}

/// A reader may have started at another address than its row in the store tells: state is fetched from
/// where its reports come from, and is as old as the reader says.
#[test]
fn receive_reports_fetches_state_from_their_sender() {
    run(async {
        let (front, reader) = (Front::start(&[]), Front::start(&[]));
        reader.configure(|_| {});
        let confirmation = Confirmation {
            revision: Revision(2),
            complete: Revision(2),
            at: Instant::now(),
            source: Source::Store,
        };
        reader.shell.handle(Event::ConfigConfirmed(confirmation));
        let listener = bind(any_address()).expect("loopback is up");
        let address = listener.local_addr().expect("the listener is bound");
        let serving = serve(listener, Limits::new(), state::handler(&reader.shell));
        compio::runtime::spawn(serving).detach();
        let names = reader_names();
        let all = names.iter().cloned().chain(["r".to_owned()]);
        front.shell.handle(Event::Members(all.collect()));
        let own = free_address();
        receive_reports(&front.shell, own);
        spawn_reader(&names[0], address, own, Some(0), || 2);
        // Its report would confirm the newer revision too.
        spawn_reader(&names[1], any_address(), own, None, || 1);
        let shell = &front.shell;
        wait_until(|| shell.with_fleet(|f| f.config_revision() == Revision(2))).await;
        let own = shell.with_fleet(|f| f.config_freshness().own());
        let own = own.expect("the reader tells when the store confirmed it");
        assert_eq!(own.source, Source::Router(name_hash(&names[0])));
    });
}

/// Guards against a reader that does not answer, for which the state of another was not fetched.
#[test]
fn begin_fetch_from_second_router_while_first_is_slow() {
    let peers = Peers::new("r", "a", free_address()).expect("the address is free");
    let [first, second, third] = [1, 2, 3].map(|n| SocketAddr::from(([127, 0, 0, n], 1)));
    let now = Instant::now();
    assert!(peers.begin_fetch(first, now));
    assert!(!peers.begin_fetch(second, now), "the first one may answer");
    let later = now + Duration::from_millis(200);
    assert!(!peers.begin_fetch(first, later), "it was asked already");
    assert!(peers.begin_fetch(second, later));
    let latest = later + Duration::from_millis(200);
    assert!(!peers.begin_fetch(third, latest), "two are enough");
    peers.end_fetch(first);
    assert!(peers.begin_fetch(first, latest));
}
