//! Time per grant at several fleet sizes.
//!
//! Each iteration releases a slot, which is granted to the next workspace in the
//! order of service. Besides criterion's report, a table shows nanoseconds for each
//! size and their growth from the lowest to the highest number of workspaces.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion};
use hibiscusrail_core::configuration::{
    Admission, Configuration, Object, Server, Service, ServiceKind, Version, Workspace,
};
use hibiscusrail_core::dispatch::{Dispatcher, Env};
use hibiscusrail_core::membership::Membership;
use hibiscusrail_core::message::{Demand, FlowDemand, Grant, GrantEnd, Release, TermAck};
use hibiscusrail_core::outbox::Outbox;
use hibiscusrail_core::{
    Flow, GrantRef, Incarnation, Message, Params, Peer, RouterId, ServiceId, WorkspaceId, ZoneId,
};

const WORKSPACES: [usize; 3] = [16, 420, 4_200];
const SERVERS: [usize; 3] = [2, 20, 640];
/// Number of slots of each server.
const SLOTS: u32 = 4;
/// Number of waiting requests of each workspace.
const WAITING: u32 = 1_000_000;
/// Number of decisions timed for each cell of the table.
const DECISIONS: u32 = 20_000;

/// A dispatcher whose slots are all in use while requests of every workspace wait.
struct Bench {
    now: Instant,
    config: Configuration,
    members: Membership,
    params: Params,
    dispatcher: Dispatcher,
    peer: Peer,
    out: Outbox,
    grants: Vec<Grant>,
    next: usize,
}

fn workspace(index: usize) -> Object {
    Object::Workspace(Workspace {
        name: format!("workspace-{index}"),
        share: 1.0,
        key_hash: [0; 32],
        queue_limit: WAITING,
        retry_fraction: 0.0,
    })
}

fn server(index: usize) -> Object {
    Object::Server(Server {
        name: format!("server-{index}"),
        service: ServiceId::new("model"),
        zone: ZoneId::new("zone"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        cold_limit: SLOTS,
        max_limit: SLOTS,
        admission: Admission::Open,
    })
}

impl Bench {
    fn new(workspaces: usize, servers: usize) -> Self {
        let now = Instant::now();
        let me = RouterId::new("router");
        let peer = Peer {
            router: me,
            incarnation: Incarnation(1),
        };
        let mut config = Configuration::new();
        let service = Object::Service(Service {
            name: "model".to_owned(),
            kind: ServiceKind::Model,
            prompt_weight: 1.0,
            output_weight: 1.0,
        });
        let objects = (0..workspaces).map(workspace);
        for object in objects.chain((0..servers).map(server)).chain([service]) {
            config.apply(Version(1), object);
        }
        let mut bench = Self {
            now,
            config,
            members: Membership::new(me, ZoneId::new("zone")),
            params: Params::new(),
            dispatcher: Dispatcher::new(peer, now),
            peer,
            out: Outbox::new(me),
            grants: Vec::new(),
            next: 0,
        };
        bench.with(|d, env, _, out| d.reassign(env, out));
        bench.with(|d, env, peer, out| d.handle_demand(env, peer, &demand(workspaces), out));
        bench
    }

    /// Calls `action`, collects the grants and answers take-over requests.
    fn with(&mut self, action: impl FnOnce(&mut Dispatcher, Env<'_>, Peer, &mut Outbox)) {
        let env = Env {
            now: self.now,
            config: &self.config,
            members: &self.members,
            params: &self.params,
        };
        action(&mut self.dispatcher, env, self.peer, &mut self.out);
        while let Some(message) = self.out.next_local() {
            match message {
                Message::Grant(grant) => self.grants.push(grant),
                Message::TermRequest(recover) => {
                    let answer = TermAck {
                        server: recover.server,
                        term: recover.term,
                        sent: Duration::ZERO,
                        dispatcher: Some(self.peer.router),
                        previous: None,
                        warm_up: None,
                        held: Vec::new(),
                    };
                    let (dispatcher, out) = (&mut self.dispatcher, &mut self.out);
                    dispatcher.handle_recovered(env, self.peer, &answer, out);
                }
                _ => {}
            }
        }
        self.out.take();
    }

    /// Releases one slot, which the dispatcher grants again.
    fn decide(&mut self) {
        self.next = (self.next + 1) % self.grants.len();
        let grant = self.grants.swap_remove(self.next);
        let release = Release {
            grant: GrantRef {
                dispatcher: self.peer.router,
                incarnation: self.peer.incarnation,
                grant: grant.id,
            },
            server: grant.server,
            end: GrantEnd::Done,
            cost: 100.0,
            first_byte: None,
        };
        self.with(|d, env, peer, out| d.handle_release(env, peer, black_box(&release), out));
    }
}

fn demand(workspaces: usize) -> Demand {
    let flows = (0..workspaces).map(|index| FlowDemand {
        flow: Flow {
            service: ServiceId::new("model"),
            workspace: WorkspaceId::new(&format!("workspace-{index}")),
        },
        waiting: WAITING,
        oldest: Duration::from_millis(1),
        hint: None,
    });
    Demand {
        seq: 1,
        sent: Duration::from_secs(1),
        wants_answer: false,
        prefer: None,
        flows: flows.collect(),
    }
}

/// Returns the mean time of one decision, in nanoseconds.
fn mean_time(workspaces: usize, servers: usize) -> f64 {
    let mut bench = Bench::new(workspaces, servers);
    for _ in 0..DECISIONS / 10 {
        bench.decide();
    }
    let start = Instant::now();
    for _ in 0..DECISIONS {
        bench.decide();
    }
    start.elapsed().as_secs_f64() * 1e9 / f64::from(DECISIONS)
}

fn print_table() {
    println!("servers | {WORKSPACES:?} workspaces, ns per grant | growth");
    for servers in SERVERS {
        let cells = WORKSPACES.map(|workspaces| mean_time(workspaces, servers));
        println!("{servers} | {cells:.0?} | {:.2}", cells[2] / cells[0]);
    }
    let logarithmic = 4_200_f64.ln() / 16_f64.ln();
    println!("logarithmic growth would be {logarithmic:.2}");
}

fn main() {
    let mut criterion = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(500))
        .configure_from_args();
    let mut group = criterion.benchmark_group("grant");
    for servers in SERVERS {
        for workspaces in WORKSPACES {
            let id = BenchmarkId::new(servers.to_string(), workspaces);
            let mut bench = Bench::new(workspaces, servers);
            group.bench_function(id, |b| b.iter(|| bench.decide()));
        }
    }
    group.finish();
    criterion.final_summary();
    print_table();
}
