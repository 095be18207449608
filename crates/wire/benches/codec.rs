//! Time to encode, seal, open and decode messages between routers.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use hibiscusrail_core::message::{Demand, FlowDemand, FlowTotal, Totals};
use hibiscusrail_core::{Flow, Incarnation, Message, RouterId, ServiceId, WorkspaceId};
use hibiscusrail_wire::{Keys, PeerMessage, decode, encode};

/// Number of flows in a small and in a large message.
const FLOW_COUNTS: [usize; 2] = [2, 420];

fn flow(number: usize) -> Flow {
    Flow {
        service: ServiceId::new("model"),
        workspace: WorkspaceId::new(&format!("workspace-{number}")),
    }
}

fn peer_message(seq: u64, message: Message) -> PeerMessage {
    PeerMessage {
        from: RouterId::new("a"),
        incarnation: Incarnation(1_780_000_000_000),
        seq,
        to: RouterId::new("b"),
        message,
    }
}

fn demand(flows: usize) -> Message {
    let item = |number| FlowDemand {
        flow: flow(number),
        waiting: 12,
        oldest: Duration::from_millis(1_500),
        hint: Default::default(),
    };
    Message::Demand(Demand {
        seq: 1_000,
        sent: Duration::from_secs(1_000),
        wants_answer: false,
        prefer: None,
        flows: (0..flows).map(item).collect(),
    })
}

fn totals(flows: usize) -> Message {
    let item = |number| FlowTotal {
        flow: flow(number),
        cost: 123_456.0,
    };
    Message::Totals(Totals {
        seq: 1_000,
        flows: (0..flows).map(item).collect(),
    })
}

fn codec(c: &mut Criterion) {
    for flows in FLOW_COUNTS {
        for message in [demand(flows), totals(flows)] {
            let name = format!("{} of {flows}", message.kind());
            let peer_message = peer_message(1, message);
            let bytes = encode(&peer_message);
            c.bench_function(&format!("encode {name}"), |b| {
                b.iter(|| encode(black_box(&peer_message)));
            });
            c.bench_function(&format!("decode {name}"), |b| {
                b.iter(|| decode(black_box(&bytes)));
            });
        }
    }
}

fn seal(c: &mut Criterion) {
    let keys = Keys::new(RouterId::new("a"), b"secret");
    let peer_message = peer_message(1, demand(2));
    let datagram = keys.seal(&peer_message);
    c.bench_function("seal demand of 2", |b| {
        b.iter(|| keys.seal(black_box(&peer_message)));
    });
    c.bench_function("open demand of 2", |b| {
        // Each iteration needs new keys: the same keys would drop a second copy as a replay.
        b.iter_batched(
            || Keys::new(RouterId::new("b"), b"secret"),
            |mut keys| keys.open(black_box(&datagram)),
            BatchSize::SmallInput,
        );
    });
}

criterion_group!(benches, codec, seal);
criterion_main!(benches);
