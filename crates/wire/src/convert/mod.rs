//! Conversion between the reducer's messages and the generated types.
//!
//! `*_out` functions build the generated types for sending. `*_in` functions convert received ones;
//! those that can fail return `None` if a required part is missing or invalid.

mod configuration;
mod membership;

use std::time::Duration;

use hibiscusrail_core::configuration::exchange::Exchange;
use hibiscusrail_core::message::{
    Charges, Demand, FlowDemand, FlowTotal, Grant, GrantEnd, HandedSlot, Handover, Release,
    Standby, TermAck, TermRequest, Totals, Usage, UsedSlot, WarmUpState,
};
use hibiscusrail_core::{
    Flow, GrantId, GrantRef, Incarnation, Message, Peer, RouterId, ServerId, ServiceId, Term,
    WorkspaceId,
};
use hibiscusrail_macros::record;
use prost::Message as _;

use crate::generated as pb;
use crate::generated::envelope::Body;

/// A message with its sender, receiver and sequence number.
#[record]
pub struct PeerMessage {
    /// Router that sends the message.
    pub from: RouterId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Sequence number, which grows with every datagram of the incarnation.
    pub seq: u64,
    /// Router that is to receive the message.
    pub to: RouterId,
    /// The message.
    pub message: Message,
}

/// Encodes a peer message as an envelope.
#[must_use]
pub fn encode(peer_message: &PeerMessage) -> Vec<u8> {
    pb::Envelope {
        from: peer_message.from.0,
        incarnation: peer_message.incarnation.0,
        seq: peer_message.seq,
        to: peer_message.to.0,
        body: Some(body_out(&peer_message.message)),
    }
    .encode_to_vec()
}

/// Decodes an envelope; `None` if any part is missing or invalid.
#[must_use]
pub fn decode(bytes: &[u8]) -> Option<PeerMessage> {
    let envelope = pb::Envelope::decode(bytes).ok()?;
    Some(PeerMessage {
        from: RouterId(envelope.from),
        incarnation: Incarnation(envelope.incarnation),
        seq: envelope.seq,
        to: RouterId(envelope.to),
        message: body_in(envelope.body?)?,
    })
}

fn body_out(message: &Message) -> Body {
    match message {
        Message::Demand(m) => Body::Demand(demand_out(m)),
        Message::Grant(m) => Body::Grant(grant_out(m)),
        Message::NoFreeSlot(service) => Body::Full(service.0),
        Message::SlotFree(service) => Body::Room(service.0),
        Message::Release(m) => Body::Release(release_out(m)),
        Message::Usage(m) => Body::Usage(pb::Usage {
            sent_us: micros(m.sent),
            held: m.held.iter().map(held_out).collect(),
        }),
        Message::Charges(m) => Body::Charges(pb::Charges {
            seq: m.seq,
            flows: m.flows.iter().map(total_out).collect(),
        }),
        Message::Totals(m) => Body::Totals(pb::Totals {
            seq: m.seq,
            flows: m.flows.iter().map(total_out).collect(),
        }),
        Message::Probe(probe) => membership::probe_out(probe),
        Message::Exchange(exchange) => configuration::exchange_out(exchange),
        Message::TermRequest(m) => Body::Recover(pb::Recover {
            server: m.server.0,
            term: m.term.0,
        }),
        Message::TermAck(m) => Body::Recovered(recovered_out(m)),
        Message::Standby(m) => Body::Standby(pb::Standby {
            server: m.server.0,
            warmth: Some(warmth_out(m.warm_up)),
        }),
        Message::Handover(m) => Body::Handover(handover_out(m)),
    }
}

fn body_in(body: Body) -> Option<Message> {
    Some(match body {
        Body::Demand(m) => Message::Demand(demand_in(&m)?),
        Body::Grant(m) => Message::Grant(grant_in(&m)?),
        Body::Full(service) => Message::NoFreeSlot(ServiceId(service)),
        Body::Room(service) => Message::SlotFree(ServiceId(service)),
        Body::Release(m) => Message::Release(release_in(&m)?),
        Body::Usage(m) => Message::Usage(Usage {
            sent: Duration::from_micros(m.sent_us),
            held: convert_all(&m.held, held_in)?,
        }),
        Body::Charges(m) => Message::Charges(Charges {
            seq: m.seq,
            flows: convert_all(&m.flows, total_in)?,
        }),
        Body::Totals(m) => Message::Totals(Totals {
            seq: m.seq,
            flows: convert_all(&m.flows, total_in)?,
        }),
        Body::Ping(m) => Message::Probe(membership::ping_in(&m)?),
        Body::Ack(m) => Message::Probe(membership::ack_in(&m)?),
        Body::PingRequest(m) => Message::Probe(membership::request_in(&m)?),
        Body::Compare(m) => Message::Exchange(configuration::compare_in(m)?),
        Body::Same(_) => Message::Exchange(Exchange::Same),
        Body::Versions(m) => Message::Exchange(configuration::versions_in(&m)?),
        Body::Pull(m) => Message::Exchange(configuration::pull_in(&m)?),
        Body::Objects(m) => Message::Exchange(configuration::objects_in(m)?),
        Body::Recover(m) => Message::TermRequest(TermRequest {
            server: ServerId(m.server),
            term: Term(m.term),
        }),
        Body::Recovered(m) => Message::TermAck(recovered_in(&m)?),
        Body::Standby(m) => Message::Standby(Standby {
            server: ServerId(m.server),
            warm_up: warmth_in(m.warmth?),
        }),
        Body::Handover(m) => Message::Handover(handover_in(&m)?),
    })
}

/// Converts every item; `None` if the conversion of any item fails.
pub(super) fn convert_all<A, B>(items: &[A], convert: impl Fn(&A) -> Option<B>) -> Option<Vec<B>> {
    items.iter().map(convert).collect()
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the value unless it is infinite or NaN.
pub(super) fn finite(value: f64) -> Option<f64> {
    value.is_finite().then_some(value)
}

/// Rounds a cost to the precision of the wire format.
#[allow(clippy::cast_possible_truncation)]
fn cost_out(cost: f64) -> f32 {
    cost as f32
}

fn flow_out(flow: Flow) -> Option<pb::Flow> {
    Some(pb::Flow {
        service: flow.service.0,
        workspace: flow.workspace.0,
    })
}

fn flow_in(flow: Option<pb::Flow>) -> Option<Flow> {
    let flow = flow?;
    Some(Flow {
        service: ServiceId(flow.service),
        workspace: WorkspaceId(flow.workspace),
    })
}

fn demand_out(m: &Demand) -> pb::Demand {
    let flows = m.flows.iter().map(|f| pb::FlowDemand {
        flow: flow_out(f.flow),
        waiting: f.waiting,
        oldest_ms: millis(f.oldest),
        hint: f.hint.map(cost_out),
    });
    pb::Demand {
        seq: m.seq,
        sent_us: micros(m.sent),
        ask: m.wants_answer,
        prefer: m.prefer.map(|s| s.0),
        flows: flows.collect(),
    }
}

fn demand_in(m: &pb::Demand) -> Option<Demand> {
    let flows = convert_all(&m.flows, |f| {
        Some(FlowDemand {
            flow: flow_in(f.flow)?,
            waiting: f.waiting,
            oldest: Duration::from_millis(f.oldest_ms),
            hint: f.hint.map(f64::from).filter(|h| h.is_finite()),
        })
    })?;
    Some(Demand {
        seq: m.seq,
        sent: Duration::from_micros(m.sent_us),
        wants_answer: m.ask,
        prefer: m.prefer.map(ServerId),
        flows,
    })
}

fn grant_out(m: &Grant) -> pb::Grant {
    pb::Grant {
        id: m.id.0,
        server: m.server.0,
        flow: flow_out(m.flow),
        echo_us: micros(m.demand_sent),
        term: m.term.0,
        warmth: Some(warmth_out(m.warm_up)),
    }
}

fn grant_in(m: &pb::Grant) -> Option<Grant> {
    Some(Grant {
        id: GrantId(m.id),
        server: ServerId(m.server),
        flow: flow_in(m.flow)?,
        demand_sent: Duration::from_micros(m.echo_us),
        term: Term(m.term),
        warm_up: warmth_in(m.warmth?),
    })
}

fn held_out(m: &UsedSlot) -> pb::Held {
    pb::Held {
        dispatcher: m.grant.dispatcher.0,
        incarnation: m.grant.incarnation.0,
        grant: m.grant.grant.0,
        server: m.server.0,
        flow: flow_out(m.flow),
        cost: cost_out(m.cost),
        left_ms: millis(m.left),
    }
}

fn held_in(m: &pb::Held) -> Option<UsedSlot> {
    Some(UsedSlot {
        grant: GrantRef {
            dispatcher: RouterId(m.dispatcher),
            incarnation: Incarnation(m.incarnation),
            grant: GrantId(m.grant),
        },
        server: ServerId(m.server),
        flow: flow_in(m.flow)?,
        cost: finite(f64::from(m.cost))?,
        left: Duration::from_millis(m.left_ms),
    })
}

fn release_out(m: &Release) -> pb::Release {
    let end = match m.end {
        GrantEnd::Unused => pb::GrantEnd::Unused,
        GrantEnd::Done => pb::GrantEnd::Done,
        GrantEnd::Overload => pb::GrantEnd::Overload,
        GrantEnd::Failed => pb::GrantEnd::Failed,
        GrantEnd::Fenced => pb::GrantEnd::Fenced,
        GrantEnd::Cancelled => pb::GrantEnd::Cancelled,
    };
    pb::Release {
        grant: m.grant.grant.0,
        incarnation: m.grant.incarnation.0,
        dispatcher: m.grant.dispatcher.0,
        server: m.server.0,
        end: end.into(),
        cost: cost_out(m.cost),
        first_byte_us: m.first_byte.map(micros),
    }
}

fn release_in(m: &pb::Release) -> Option<Release> {
    let end = match pb::GrantEnd::try_from(m.end).ok()? {
        pb::GrantEnd::Unused => GrantEnd::Unused,
        pb::GrantEnd::Done => GrantEnd::Done,
        pb::GrantEnd::Overload => GrantEnd::Overload,
        pb::GrantEnd::Failed => GrantEnd::Failed,
        pb::GrantEnd::Fenced => GrantEnd::Fenced,
        pb::GrantEnd::Cancelled => GrantEnd::Cancelled,
    };
    Some(Release {
        grant: GrantRef {
            dispatcher: RouterId(m.dispatcher),
            incarnation: Incarnation(m.incarnation),
            grant: GrantId(m.grant),
        },
        server: ServerId(m.server),
        end,
        cost: finite(f64::from(m.cost))?,
        first_byte: m.first_byte_us.map(Duration::from_micros),
    })
}

fn total_out(m: &FlowTotal) -> pb::FlowTotal {
    pb::FlowTotal {
        flow: flow_out(m.flow),
        cost: m.cost,
    }
}

fn total_in(m: &pb::FlowTotal) -> Option<FlowTotal> {
    Some(FlowTotal {
        flow: flow_in(m.flow)?,
        cost: finite(m.cost)?,
    })
}

fn warmth_out(m: WarmUpState) -> pb::Warmth {
    pb::Warmth {
        limit: m.limit,
        mark: m.incarnation,
    }
}

fn warmth_in(m: pb::Warmth) -> WarmUpState {
    WarmUpState {
        limit: m.limit,
        incarnation: m.mark,
    }
}

fn recovered_out(m: &TermAck) -> pb::Recovered {
    pb::Recovered {
        server: m.server.0,
        term: m.term.0,
        sent_us: micros(m.sent),
        dispatcher: m.dispatcher.map(|r| r.0),
        previous: m.previous.map(|r| r.0),
        warmth: m.warm_up.map(warmth_out),
        held: m.held.iter().map(held_out).collect(),
    }
}

fn recovered_in(m: &pb::Recovered) -> Option<TermAck> {
    Some(TermAck {
        server: ServerId(m.server),
        term: Term(m.term),
        sent: Duration::from_micros(m.sent_us),
        dispatcher: m.dispatcher.map(RouterId),
        previous: m.previous.map(RouterId),
        warm_up: m.warmth.map(warmth_in),
        held: convert_all(&m.held, held_in)?,
    })
}

fn handover_out(m: &Handover) -> pb::Handover {
    let slots = m.slots.iter().map(|s| pb::HandedSlot {
        dispatcher: s.grant.dispatcher.0,
        incarnation: s.grant.incarnation.0,
        grant: s.grant.grant.0,
        entry: s.entry.router.0,
        entry_incarnation: s.entry.incarnation.0,
        flow: flow_out(s.flow),
        echo_us: micros(s.demand_sent),
        charged: cost_out(s.charged),
        left_ms: millis(s.left),
    });
    pb::Handover {
        server: m.server.0,
        warmth: Some(warmth_out(m.warm_up)),
        presumed: m.assumed_used,
        slots: slots.collect(),
    }
}

fn handover_in(m: &pb::Handover) -> Option<Handover> {
    let slots = convert_all(&m.slots, |s| {
        Some(HandedSlot {
            grant: GrantRef {
                dispatcher: RouterId(s.dispatcher),
                incarnation: Incarnation(s.incarnation),
                grant: GrantId(s.grant),
            },
            entry: Peer {
                router: RouterId(s.entry),
                incarnation: Incarnation(s.entry_incarnation),
            },
            flow: flow_in(s.flow)?,
            demand_sent: Duration::from_micros(s.echo_us),
            charged: finite(f64::from(s.charged))?,
            left: Duration::from_millis(s.left_ms),
        })
    })?;
    Some(Handover {
        server: ServerId(m.server),
        warm_up: warmth_in(m.warmth?),
        assumed_used: m.presumed,
        slots,
    })
}
