//! Messages between routers.
//!
//! Any message may be lost, duplicated or reordered. Counts and totals are
//! absolute and numbered, so a later message makes up for a lost one.

use std::time::Duration;

use hibiscusrail_macros::{id, record, value};

use crate::configuration::exchange::Exchange;
use crate::ids::{Flow, GrantId, GrantRef, Peer, RouterId, ServerId, ServiceId, Term};
use crate::membership::update::Probe;

/// Demand of one flow at the sending entry.
#[value]
pub struct FlowDemand {
    /// The flow.
    pub flow: Flow,
    /// Number of waiting requests; zero withdraws the demand.
    pub waiting: u32,
    /// How long the oldest request has waited.
    pub oldest: Duration,
    /// Caller's estimate of the oldest request's cost, in cost units.
    pub hint: Option<f64>,
}

/// Demand for slots that an entry sends to a dispatcher.
#[record]
pub struct Demand {
    /// Grows with every demand that this entry incarnation sends to the dispatcher.
    pub seq: u64,
    /// The sender's clock when it sent the demand; echoed by grants.
    pub sent: Duration,
    /// Whether to answer with [`Message::NoFreeSlot`] when no slot is free.
    pub wants_answer: bool,
    /// Preferred server, such as the one that last served the same prompt prefix.
    pub prefer: Option<ServerId>,
    /// The flows that changed, or all of them on a refresh.
    pub flows: Vec<FlowDemand>,
}

/// Warm-up state of a server, from which the dispatcher's successor starts.
#[value]
pub struct WarmUpState {
    /// Concurrency limit: number of requests that the server may run.
    pub limit: u32,
    /// Low bits of the server's incarnation; zero if unknown.
    pub incarnation: u32,
}

/// A slot at a server, granted to one entry for one request.
#[value]
pub struct Grant {
    /// The grant.
    pub id: GrantId,
    /// The server whose slot it is.
    pub server: ServerId,
    /// The flow whose request may use the slot.
    pub flow: Flow,
    /// [`Demand::sent`] of the demand that the grant answers.
    pub demand_sent: Duration,
    /// The dispatcher's term at the server when it granted the slot.
    pub term: Term,
    /// Warm-up state of the server, kept by the entry for a successor.
    pub warm_up: WarmUpState,
}

/// A slot in use, as reported by the entry that uses it.
#[value]
pub struct UsedSlot {
    /// The grant that gave the slot.
    pub grant: GrantRef,
    /// The server.
    pub server: ServerId,
    /// The flow.
    pub flow: Flow,
    /// Cost so far, in cost units.
    pub cost: f64,
    /// Time left until the request's deadline.
    pub left: Duration,
}

/// Full report of the slots that the sending entry uses at the receiver's servers.
#[record]
pub struct Usage {
    /// The sender's clock when it sent the report.
    pub sent: Duration,
    /// The slots in use; a grant that is not listed is not in use.
    pub held: Vec<UsedSlot>,
}

/// Why a grant ended.
#[id]
pub enum GrantEnd {
    /// No request was left to use the slot, or the grant arrived too late.
    Unused,
    /// The entry has acknowledged another dispatcher or another term.
    Fenced,
    /// The entry cancelled the request, for example because the caller hung up.
    Cancelled,
    /// The request was executed to its end.
    Done,
    /// The server rejected the request as it is overloaded.
    Overload,
    /// The server failed or sent nothing until a timeout.
    Failed,
}

/// Returns a slot to the dispatcher.
#[value]
pub struct Release {
    /// The grant.
    pub grant: GrantRef,
    /// The server whose slot it was.
    pub server: ServerId,
    /// How the grant ended.
    pub end: GrantEnd,
    /// Cost of the request, in cost units.
    pub cost: f64,
    /// Time to first byte, if there was one and it tells about the server's latency.
    pub first_byte: Option<Duration>,
}

/// Service given to one flow.
#[value]
pub struct FlowTotal {
    /// The flow.
    pub flow: Flow,
    /// Cumulative service, in cost units.
    pub cost: f64,
}

/// Service given by the sending dispatcher since its incarnation began.
#[record]
pub struct Charges {
    /// Grows with every message of this incarnation.
    pub seq: u64,
    /// Cumulative service of the flows that changed.
    pub flows: Vec<FlowTotal>,
}

/// Service given across the fleet, as summed by an account holder.
#[record]
pub struct Totals {
    /// Grows with every message of this incarnation.
    pub seq: u64,
    /// Service given to each flow by dispatchers other than the receiver.
    pub flows: Vec<FlowTotal>,
}

/// A message from one router to another.
#[record]
pub enum Message {
    /// An entry's demand for slots.
    Demand(Demand),
    /// A slot granted to an entry.
    Grant(Grant),
    /// The dispatcher has no free slot for the service.
    NoFreeSlot(ServiceId),
    /// A dispatcher that was full has a free slot.
    SlotFree(ServiceId),
    /// The end of a grant.
    Release(Release),
    /// An entry's full report of slots in use.
    Usage(Usage),
    /// A dispatcher's service counters.
    Charges(Charges),
    /// Service totals of the fleet, for a dispatcher.
    Totals(Totals),
    /// A new dispatcher of a server asks entries to acknowledge its term.
    TermRequest(TermRequest),
    /// Answer to [`Message::TermRequest`].
    TermAck(TermAck),
    /// A server's warm-up state, for a router that may become its dispatcher.
    Standby(Standby),
    /// State of a server, handed over to its next dispatcher.
    Handover(Handover),
    /// A membership probe or its answer.
    Probe(Probe),
    /// A message of the configuration exchange.
    Exchange(Exchange),
}

/// Warm-up state of a server, kept in case its dispatcher fails.
#[value]
pub struct Standby {
    /// The server.
    pub server: ServerId,
    /// Its warm-up state.
    pub warm_up: WarmUpState,
}

/// A dispatcher's request to acknowledge its term at a server.
#[value]
pub struct TermRequest {
    /// The server.
    pub server: ServerId,
    /// The new term.
    pub term: Term,
}

/// An entry's acknowledgement of a term, with the slots it uses at the server.
#[record]
pub struct TermAck {
    /// The server.
    pub server: ServerId,
    /// Term of the request that this answers.
    pub term: Term,
    /// The sender's clock when it sent the answer.
    pub sent: Duration,
    /// Dispatcher of the server in the sender's view.
    pub dispatcher: Option<RouterId>,
    /// Dispatcher whose term the sender had acknowledged before.
    pub previous: Option<RouterId>,
    /// Latest warm-up state that the sender has received.
    pub warm_up: Option<WarmUpState>,
    /// The slots in use.
    pub held: Vec<UsedSlot>,
}

/// A slot that is handed over to the server's next dispatcher.
#[value]
pub struct HandedSlot {
    /// The grant.
    pub grant: GrantRef,
    /// The entry that holds the slot.
    pub entry: Peer,
    /// The flow.
    pub flow: Flow,
    /// [`Demand::sent`] of the demand that the grant answered.
    pub demand_sent: Duration,
    /// Service charged for the slot so far, in cost units.
    pub charged: f64,
    /// Time after which the slot counts as free even without a release.
    pub left: Duration,
}

/// State of a server that its dispatcher hands over to the next one.
#[record]
pub struct Handover {
    /// The server.
    pub server: ServerId,
    /// Warm-up state of the server.
    pub warm_up: WarmUpState,
    /// Number of slots assumed in use although no entry is known to hold them.
    pub assumed_used: u32,
    /// The slots in use, or granted and not yet reported in use.
    pub slots: Vec<HandedSlot>,
}

impl Message {
    /// Returns the stable name of the message kind, for metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Demand(_) => "demand",
            Self::Grant(_) => "grant",
            Self::NoFreeSlot(_) => "full",
            Self::SlotFree(_) => "room",
            Self::Release(_) => "release",
            Self::Usage(_) => "usage",
            Self::Charges(_) => "charges",
            Self::Totals(_) => "totals",
            Self::TermRequest(_) => "recover",
            Self::TermAck(_) => "recovered",
            Self::Standby(_) => "standby",
            Self::Handover(_) => "handover",
            Self::Probe(probe) => probe.kind(),
            Self::Exchange(exchange) => exchange.kind(),
        }
    }
}
