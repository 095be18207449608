//! Messages between routers.
//!
//! Any message may be lost, repeated or reordered. Counts and totals are
//! absolute and numbered, so the next message heals the loss of one before.

use std::time::Duration;

use hibiscusrail_macros::{id, record, value};

use crate::configuration::exchange::Exchange;
use crate::ids::{Flow, GrantId, GrantRef, Peer, RouterId, ServerId, ServiceId, Term};
use crate::membership::update::Probe;

/// Waiting requests of one flow at the sending entry.
#[value]
pub struct FlowDemand {
    /// The flow.
    pub flow: Flow,
    /// Requests that wait; zero withdraws the demand.
    pub waiting: u32,
    /// How long the oldest has waited.
    pub oldest: Duration,
    /// The oldest's hint of its cost in cost units.
    pub hint: Option<f64>,
}

/// An entry's demand, sent to a dispatcher.
#[record]
pub struct Demand {
    /// Grows with every demand that this entry incarnation sends to the dispatcher.
    pub seq: u64,
    /// The sender's clock at sending, since its start; echoed by grants.
    pub sent: Duration,
    /// Whether an answer is due when no slot is free.
    pub ask: bool,
    /// A server that last served the same prompt prefix.
    pub prefer: Option<ServerId>,
    /// The flows that changed, or all of them on a refresh.
    pub flows: Vec<FlowDemand>,
}

/// What a dispatcher knows of a server's warmth, as a successor may use it.
#[value]
pub struct Warmth {
    /// Requests that the server may run.
    pub limit: u32,
    /// Low bits of the server's incarnation; zero when unknown.
    pub mark: u32,
}

/// A slot at a server, leased to one entry for one request.
#[value]
pub struct Grant {
    /// The grant.
    pub id: GrantId,
    /// The server whose slot it is.
    pub server: ServerId,
    /// The flow it is for.
    pub flow: Flow,
    /// `sent` of the demand that the grant answers.
    pub echo: Duration,
    /// The take-over of the server under which the slot was granted.
    pub term: Term,
    /// Warmth of the server at the dispatcher, kept for a successor.
    pub warmth: Warmth,
}

/// A slot in use, as its entry reports it.
#[value]
pub struct Held {
    /// The grant in use.
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

/// All slots of the receiving dispatcher that the sender holds.
#[record]
pub struct Usage {
    /// The sender's clock at sending, since its start.
    pub sent: Duration,
    /// The slots in use; a grant that is not listed is not in use.
    pub held: Vec<Held>,
}

/// Why a grant ended.
#[id]
pub enum GrantEnd {
    /// No fitting request was left, or the grant came too late.
    Unused,
    /// The entry obeys another dispatcher, or another take-over of this one.
    Fenced,
    /// The caller gave up.
    Cancelled,
    /// The request ran to its end.
    Done,
    /// The server refused admission or showed overload.
    Overload,
    /// The server failed or went silent.
    Failed,
}

/// The end of a grant.
#[value]
pub struct Release {
    /// The grant.
    pub grant: GrantRef,
    /// The server whose slot it was.
    pub server: ServerId,
    /// How it ended.
    pub end: GrantEnd,
    /// Cost of the request in cost units.
    pub cost: f64,
    /// Time from dispatch to the first byte, when there was one.
    pub first_byte: Option<Duration>,
}

/// Service given to one flow.
#[value]
pub struct FlowTotal {
    /// The flow.
    pub flow: Flow,
    /// Cumulative cost units.
    pub cost: f64,
}

/// Service that the sending dispatcher gave since its incarnation began.
#[record]
pub struct Charges {
    /// Grows with every message of this incarnation.
    pub seq: u64,
    /// Cumulative service of the flows that changed.
    pub flows: Vec<FlowTotal>,
}

/// The fleet's service, as the account holder sums it.
#[record]
pub struct Totals {
    /// Grows with every message of this incarnation.
    pub seq: u64,
    /// Service of each flow given by dispatchers other than the receiver.
    pub flows: Vec<FlowTotal>,
}

/// A message from one router to another.
#[record]
pub enum Message {
    /// Demand of an entry for slots.
    Demand(Demand),
    /// A slot for an entry.
    Grant(Grant),
    /// The dispatcher has no free slot for the service.
    Full(ServiceId),
    /// A dispatcher that was full has a free slot.
    Room(ServiceId),
    /// A grant ended.
    Release(Release),
    /// Slots in use.
    Usage(Usage),
    /// A dispatcher's service counters.
    Charges(Charges),
    /// Fleet totals for a dispatcher.
    Totals(Totals),
    /// A new dispatcher of the server asks which slots are in use there.
    Recover(Recover),
    /// Answer to [`Message::Recover`].
    Recovered(Recovered),
    /// A probe of the membership, or its answer.
    Probe(Probe),
    /// Exchange of configuration.
    Exchange(Exchange),
    /// A dispatcher tells a server's warmth to a router that may follow it.
    Standby(Standby),
    /// A dispatcher hands a server over to the next.
    Handover(Handover),
}

/// The warmth of a server, kept in case its dispatcher is lost.
#[value]
pub struct Standby {
    /// The server.
    pub server: ServerId,
    /// Its warmth.
    pub warmth: Warmth,
}

/// A dispatcher's request to be obeyed as the dispatcher of a server.
#[value]
pub struct Recover {
    /// The server.
    pub server: ServerId,
    /// The take-over.
    pub term: Term,
}

/// The slots that an entry holds at one server, and whom it obeys there.
#[record]
pub struct Recovered {
    /// The server.
    pub server: ServerId,
    /// The take-over that this answers.
    pub term: Term,
    /// The sender's clock at sending.
    pub sent: Duration,
    /// Who dispatches the server in the sender's view.
    pub dispatcher: Option<RouterId>,
    /// Whom the sender obeyed before.
    pub previous: Option<RouterId>,
    /// Last warmth the sender heard of.
    pub warmth: Option<Warmth>,
    /// The slots in use.
    pub held: Vec<Held>,
}

/// A slot that is handed over.
#[value]
pub struct HandedSlot {
    /// The grant.
    pub grant: GrantRef,
    /// The entry that holds it.
    pub entry: Peer,
    /// The flow.
    pub flow: Flow,
    /// `sent` of the demand that the grant answered.
    pub echo: Duration,
    /// Service charged for it so far, in cost units.
    pub charged: f64,
    /// Time after which the slot is free whatever is heard of it.
    pub left: Duration,
}

/// All that the dispatcher of a server knows, for the next one.
#[record]
pub struct Handover {
    /// The server.
    pub server: ServerId,
    /// Warmth of the server.
    pub warmth: Warmth,
    /// Slots that count as in use though nobody is known to hold them.
    pub presumed: u32,
    /// The slots in use or on their way.
    pub slots: Vec<HandedSlot>,
}

impl Message {
    /// Returns the kind as a short stable name for metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Demand(_) => "demand",
            Self::Grant(_) => "grant",
            Self::Full(_) => "full",
            Self::Room(_) => "room",
            Self::Release(_) => "release",
            Self::Usage(_) => "usage",
            Self::Charges(_) => "charges",
            Self::Totals(_) => "totals",
            Self::Recover(_) => "recover",
            Self::Recovered(_) => "recovered",
            Self::Probe(probe) => probe.kind(),
            Self::Exchange(exchange) => exchange.kind(),
            Self::Standby(_) => "standby",
            Self::Handover(_) => "handover",
        }
    }
}
