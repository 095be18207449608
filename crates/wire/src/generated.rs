/// Sent in clear inside a sealed datagram.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Envelope {
    /// Router that sent it.
    #[prost(fixed32, tag = "1")]
    pub from: u32,
    /// Run of that router, in milliseconds since the epoch at its start.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Grows with every datagram of this run; a repeat is dropped.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// Router that is to receive it.
    #[prost(fixed32, tag = "4")]
    pub to: u32,
    #[prost(
        oneof = "envelope::Body",
        tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21"
    )]
    pub body: ::core::option::Option<envelope::Body>,
}
/// Nested message and enum types in `Envelope`.
pub mod envelope {
    #[derive(Clone, PartialEq, ::prost::Oneof)]
    pub enum Body {
        #[prost(message, tag = "10")]
        Demand(super::Demand),
        #[prost(message, tag = "11")]
        Grant(super::Grant),
        #[prost(fixed32, tag = "12")]
        Full(u32),
        #[prost(fixed32, tag = "13")]
        Room(u32),
        #[prost(message, tag = "14")]
        Release(super::Release),
        #[prost(message, tag = "15")]
        Usage(super::Usage),
        #[prost(message, tag = "16")]
        Charges(super::Charges),
        #[prost(message, tag = "17")]
        Totals(super::Totals),
        #[prost(message, tag = "18")]
        Recover(super::Recover),
        #[prost(message, tag = "19")]
        Recovered(super::Recovered),
        #[prost(message, tag = "20")]
        Handover(super::Handover),
        #[prost(message, tag = "21")]
        Standby(super::Standby),
    }
}
#[derive(Clone, Copy, PartialEq, Eq, Hash, ::prost::Message)]
pub struct Flow {
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    #[prost(fixed32, tag = "2")]
    pub workspace: u32,
}
#[derive(Clone, Copy, PartialEq, ::prost::Message)]
pub struct FlowDemand {
    #[prost(message, optional, tag = "1")]
    pub flow: ::core::option::Option<Flow>,
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    /// Milliseconds.
    #[prost(uint64, tag = "3")]
    pub oldest_ms: u64,
    #[prost(float, optional, tag = "4")]
    pub hint: ::core::option::Option<f32>,
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Demand {
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Microseconds of the sender's clock.
    #[prost(uint64, tag = "2")]
    pub sent_us: u64,
    #[prost(bool, tag = "3")]
    pub ask: bool,
    #[prost(fixed32, optional, tag = "4")]
    pub prefer: ::core::option::Option<u32>,
    #[prost(message, repeated, tag = "5")]
    pub flows: ::prost::alloc::vec::Vec<FlowDemand>,
}
#[derive(Clone, Copy, PartialEq, Eq, Hash, ::prost::Message)]
pub struct Grant {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(fixed32, tag = "2")]
    pub server: u32,
    #[prost(message, optional, tag = "3")]
    pub flow: ::core::option::Option<Flow>,
    /// Microseconds of the entry's clock.
    #[prost(uint64, tag = "4")]
    pub echo_us: u64,
    #[prost(uint64, tag = "5")]
    pub term: u64,
    #[prost(message, optional, tag = "6")]
    pub warmth: ::core::option::Option<Warmth>,
}
#[derive(Clone, Copy, PartialEq, Eq, Hash, ::prost::Message)]
pub struct Warmth {
    #[prost(uint32, tag = "1")]
    pub limit: u32,
    #[prost(fixed32, tag = "2")]
    pub mark: u32,
}
#[derive(Clone, Copy, PartialEq, ::prost::Message)]
pub struct Held {
    #[prost(fixed32, tag = "1")]
    pub dispatcher: u32,
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub grant: u64,
    #[prost(fixed32, tag = "4")]
    pub server: u32,
    #[prost(message, optional, tag = "5")]
    pub flow: ::core::option::Option<Flow>,
    #[prost(float, tag = "6")]
    pub cost: f32,
    #[prost(uint64, tag = "7")]
    pub left_ms: u64,
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Usage {
    #[prost(uint64, tag = "1")]
    pub sent_us: u64,
    #[prost(message, repeated, tag = "2")]
    pub held: ::prost::alloc::vec::Vec<Held>,
}
#[derive(Clone, Copy, PartialEq, ::prost::Message)]
pub struct Release {
    #[prost(uint64, tag = "1")]
    pub grant: u64,
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    #[prost(enumeration = "GrantEnd", tag = "3")]
    pub end: i32,
    #[prost(float, tag = "4")]
    pub cost: f32,
    #[prost(uint64, optional, tag = "5")]
    pub first_byte_us: ::core::option::Option<u64>,
    #[prost(fixed32, tag = "6")]
    pub dispatcher: u32,
    #[prost(fixed32, tag = "7")]
    pub server: u32,
}
#[derive(Clone, Copy, PartialEq, ::prost::Message)]
pub struct FlowTotal {
    #[prost(message, optional, tag = "1")]
    pub flow: ::core::option::Option<Flow>,
    #[prost(double, tag = "2")]
    pub cost: f64,
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Charges {
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    #[prost(message, repeated, tag = "2")]
    pub flows: ::prost::alloc::vec::Vec<FlowTotal>,
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Totals {
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    #[prost(message, repeated, tag = "2")]
    pub flows: ::prost::alloc::vec::Vec<FlowTotal>,
}
#[derive(Clone, Copy, PartialEq, Eq, Hash, ::prost::Message)]
pub struct Recover {
    #[prost(fixed32, tag = "1")]
    pub server: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Recovered {
    #[prost(fixed32, tag = "1")]
    pub server: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(uint64, tag = "3")]
    pub sent_us: u64,
    #[prost(fixed32, optional, tag = "4")]
    pub dispatcher: ::core::option::Option<u32>,
    #[prost(fixed32, optional, tag = "5")]
    pub previous: ::core::option::Option<u32>,
    #[prost(message, optional, tag = "6")]
    pub warmth: ::core::option::Option<Warmth>,
    #[prost(message, repeated, tag = "7")]
    pub held: ::prost::alloc::vec::Vec<Held>,
}
#[derive(Clone, Copy, PartialEq, Eq, Hash, ::prost::Message)]
pub struct Standby {
    #[prost(fixed32, tag = "1")]
    pub server: u32,
    #[prost(message, optional, tag = "2")]
    pub warmth: ::core::option::Option<Warmth>,
}
#[derive(Clone, Copy, PartialEq, ::prost::Message)]
pub struct HandedSlot {
    #[prost(fixed32, tag = "1")]
    pub dispatcher: u32,
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub grant: u64,
    #[prost(fixed32, tag = "4")]
    pub entry: u32,
    #[prost(message, optional, tag = "5")]
    pub flow: ::core::option::Option<Flow>,
    #[prost(uint64, tag = "6")]
    pub echo_us: u64,
    #[prost(float, tag = "7")]
    pub charged: f32,
    #[prost(uint64, tag = "8")]
    pub left_ms: u64,
    #[prost(fixed64, tag = "9")]
    pub entry_incarnation: u64,
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Handover {
    #[prost(fixed32, tag = "1")]
    pub server: u32,
    #[prost(message, optional, tag = "2")]
    pub warmth: ::core::option::Option<Warmth>,
    #[prost(uint32, tag = "3")]
    pub presumed: u32,
    #[prost(message, repeated, tag = "4")]
    pub slots: ::prost::alloc::vec::Vec<HandedSlot>,
}
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, ::prost::Enumeration)]
#[repr(i32)]
pub enum GrantEnd {
    Unused = 0,
    Done = 1,
    Overload = 2,
    Failed = 3,
    Fenced = 4,
    Cancelled = 5,
}
impl GrantEnd {
    /// String value of the enum field names used in the ProtoBuf definition.
    ///
    /// The values are not transformed in any way and thus are considered stable
    /// (if the ProtoBuf definition does not change) and safe for programmatic use.
    pub fn as_str_name(&self) -> &'static str {
        match self {
            Self::Unused => "GRANT_END_UNUSED",
            Self::Done => "GRANT_END_DONE",
            Self::Overload => "GRANT_END_OVERLOAD",
            Self::Failed => "GRANT_END_FAILED",
            Self::Fenced => "GRANT_END_FENCED",
            Self::Cancelled => "GRANT_END_CANCELLED",
        }
    }
    /// Creates an enum from field names used in the ProtoBuf definition.
    pub fn from_str_name(value: &str) -> ::core::option::Option<Self> {
        match value {
            "GRANT_END_UNUSED" => Some(Self::Unused),
            "GRANT_END_DONE" => Some(Self::Done),
            "GRANT_END_OVERLOAD" => Some(Self::Overload),
            "GRANT_END_FAILED" => Some(Self::Failed),
            "GRANT_END_FENCED" => Some(Self::Fenced),
            "GRANT_END_CANCELLED" => Some(Self::Cancelled),
            _ => None,
        }
    }
}
