//! Sizes of the messages that request, grant, report and release slots.

use std::time::Duration;

use hibiscusrail_core::message::{
    Charges, Demand, FlowDemand, FlowTotal, Grant, GrantEnd, Release, Totals, Usage, UsedSlot,
    WarmUpState,
};
use hibiscusrail_core::{
    Flow, GrantId, GrantRef, Incarnation, Message, RouterId, ServerId, ServiceId, Term, WorkspaceId,
};
use hibiscusrail_wire::{PeerMessage, decode, encode};

/// A realistic incarnation, in milliseconds since the epoch.
const EPOCH_MS: u64 = 1_800_000_000_000;

fn flow() -> Flow {
    Flow {
        service: ServiceId::new("nucleo-modelo"),
        workspace: WorkspaceId::new("citaciones"),
    }
}

fn grant() -> GrantRef {
    GrantRef {
        dispatcher: RouterId::new("router-1"),
        incarnation: Incarnation(EPOCH_MS),
        grant: GrantId(1_000_000),
    }
}

/// Returns the length of the encoded envelope and checks that it decodes to the same message.
fn size(message: Message) -> usize {
    let peer_message = PeerMessage {
        from: RouterId::new("router-1"),
        incarnation: Incarnation(EPOCH_MS),
        seq: 1_000_000,
        to: RouterId::new("router-2"),
        message,
    };
    let bytes = encode(&peer_message);
    assert_eq!(decode(&bytes), Some(peer_message));
    bytes.len()
}

fn clock() -> Duration {
    Duration::from_millis(EPOCH_MS + 3_600_000)
}

#[test]
fn size_of_messages_per_request_is_bounded() {
    let demand = Message::Demand(Demand {
        seq: 1_000_000,
        sent: clock(),
        wants_answer: true,
        prefer: None,
        flows: vec![FlowDemand {
            flow: flow(),
            waiting: 1,
            oldest: Duration::ZERO,
            hint: None,
        }],
    });
    let granted = Message::Grant(Grant {
        id: GrantId(1_000_000),
        server: ServerId::new("motor-1"),
        flow: flow(),
        demand_sent: clock(),
        term: Term(1),
        warm_up: WarmUpState {
            limit: 32,
            incarnation: 7,
        },
    });
    let release = Message::Release(Release {
        grant: grant(),
        server: ServerId::new("motor-1"),
        end: GrantEnd::Done,
        cost: 100.0,
        first_byte: Some(Duration::from_millis(40)),
    });
    let sizes = [size(demand), size(granted), size(release)];
    println!("demand, grant, release: {sizes:?} bytes");
    assert!(sizes.iter().all(|s| *s <= 96), "{sizes:?}");
}

#[test]
fn size_per_slot_and_flow_is_bounded() {
    let held = UsedSlot {
        grant: grant(),
        server: ServerId::new("motor-1"),
        flow: flow(),
        cost: 100.0,
        left: Duration::from_secs(60),
    };
    let usage = |count| {
        size(Message::Usage(Usage {
            sent: clock(),
            held: vec![held; count],
        }))
    };
    let total = FlowTotal {
        flow: flow(),
        cost: 1.5e9,
    };
    let charges = |count| {
        size(Message::Charges(Charges {
            seq: 1,
            flows: vec![total; count],
        }))
    };
    let totals = size(Message::Totals(Totals {
        seq: 1,
        flows: vec![total],
    }));
    let per_slot = (usage(32) - usage(2)) / 30;
    let per_flow = (charges(32) - charges(2)) / 30;
    println!("per slot {per_slot}, per flow {per_flow}, totals of one flow {totals} bytes");
    assert!(per_slot <= 64, "{per_slot}");
    assert!(per_flow <= 32, "{per_flow}");
}
