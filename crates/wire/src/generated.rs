/// A message with its sender and receiver; authenticated but not encrypted.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Envelope {
    /// Sending router.
    #[prost(fixed32, tag = "1")]
    pub from: u32,
    /// Incarnation of the sender: its start time in milliseconds since the epoch.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Grows with every datagram of this incarnation; the receiver drops repeats.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// Receiving router.
    #[prost(fixed32, tag = "4")]
    pub to: u32,
    #[prost(
        oneof = "envelope::Body",
        tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 30, 31, 32, 33, 34, 35, 36, 37"
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
        /// Service without a free slot at the sender.
        #[prost(fixed32, tag = "12")]
        Full(u32),
        /// Service that has a free slot at the sender again.
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
        /// Membership probes.
        #[prost(message, tag = "30")]
        Ping(super::Probe),
        #[prost(message, tag = "31")]
        Ack(super::Probe),
        #[prost(message, tag = "32")]
        PingRequest(super::Probe),
        /// Configuration exchange.
        #[prost(message, tag = "33")]
        Compare(super::Compare),
        /// Answer to compare: the sender has nothing that the asker lacks; always true.
        #[prost(bool, tag = "34")]
        Same(bool),
        #[prost(message, tag = "35")]
        Versions(super::Versions),
        #[prost(message, tag = "36")]
        Pull(super::Pull),
        #[prost(message, tag = "37")]
        Objects(super::Objects),
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
    /// Milliseconds for which the oldest request has waited.
    #[prost(uint64, tag = "3")]
    pub oldest_ms: u64,
    #[prost(float, optional, tag = "4")]
    pub hint: ::core::option::Option<f32>,
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Demand {
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Microseconds of the sender's clock when it sent the demand.
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
    /// sent_us of the demand that the grant answers, by the entry's clock.
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
/// Summary of the configuration that the sender uses.
#[derive(Clone, Copy, PartialEq, Eq, Hash, ::prost::Message)]
pub struct Head {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    #[prost(bool, tag = "3")]
    pub ready: bool,
}
/// Gossip about one router: its state and address.
#[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
pub struct Update {
    #[prost(fixed32, tag = "1")]
    pub router: u32,
    #[prost(fixed32, tag = "2")]
    pub zone: u32,
    /// IPv4 address in 4 bytes or IPv6 address in 16 bytes.
    #[prost(bytes = "vec", tag = "3")]
    pub ip: ::prost::alloc::vec::Vec<u8>,
    #[prost(uint32, tag = "4")]
    pub port: u32,
    #[prost(fixed64, tag = "5")]
    pub incarnation: u64,
    #[prost(uint32, tag = "6")]
    pub refutation: u32,
    #[prost(enumeration = "Standing", tag = "7")]
    pub standing: i32,
    #[prost(bool, tag = "8")]
    pub suspect: bool,
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Probe {
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Router to ping; set only in a ping request.
    #[prost(fixed32, optional, tag = "2")]
    pub target: ::core::option::Option<u32>,
    #[prost(message, optional, tag = "3")]
    pub head: ::core::option::Option<Head>,
    #[prost(message, repeated, tag = "4")]
    pub updates: ::prost::alloc::vec::Vec<Update>,
}
#[derive(Clone, Copy, PartialEq, Eq, Hash, ::prost::Message)]
pub struct ObjectId {
    #[prost(enumeration = "Kind", tag = "1")]
    pub kind: i32,
    #[prost(fixed32, tag = "2")]
    pub id: u32,
}
#[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
pub struct Compare {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(fixed64, repeated, tag = "2")]
    pub digests: ::prost::alloc::vec::Vec<u64>,
    #[prost(uint32, tag = "3")]
    pub skip: u32,
}
#[derive(Clone, Copy, PartialEq, Eq, Hash, ::prost::Message)]
pub struct ObjectVersion {
    #[prost(message, optional, tag = "1")]
    pub id: ::core::option::Option<ObjectId>,
    #[prost(uint64, tag = "2")]
    pub version: u64,
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Versions {
    #[prost(message, repeated, tag = "1")]
    pub versions: ::prost::alloc::vec::Vec<ObjectVersion>,
    #[prost(uint32, optional, tag = "2")]
    pub next: ::core::option::Option<u32>,
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Pull {
    #[prost(message, repeated, tag = "1")]
    pub ids: ::prost::alloc::vec::Vec<ObjectId>,
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Workspace {
    #[prost(string, tag = "1")]
    pub name: ::prost::alloc::string::String,
    #[prost(double, tag = "2")]
    pub share: f64,
    #[prost(bytes = "vec", tag = "3")]
    pub key_hash: ::prost::alloc::vec::Vec<u8>,
    #[prost(uint32, tag = "4")]
    pub queue_limit: u32,
    #[prost(double, tag = "5")]
    pub retry_fraction: f64,
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Service {
    #[prost(string, tag = "1")]
    pub name: ::prost::alloc::string::String,
    #[prost(bool, tag = "2")]
    pub model: bool,
    #[prost(double, tag = "3")]
    pub prompt_weight: f64,
    #[prost(double, tag = "4")]
    pub output_weight: f64,
}
#[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
pub struct Server {
    #[prost(string, tag = "1")]
    pub name: ::prost::alloc::string::String,
    #[prost(fixed32, tag = "2")]
    pub service: u32,
    #[prost(fixed32, tag = "3")]
    pub zone: u32,
    /// IPv4 address in 4 bytes or IPv6 address in 16 bytes.
    #[prost(bytes = "vec", tag = "4")]
    pub ip: ::prost::alloc::vec::Vec<u8>,
    #[prost(uint32, tag = "5")]
    pub port: u32,
    #[prost(uint32, tag = "6")]
    pub cold_limit: u32,
    #[prost(uint32, tag = "7")]
    pub max_limit: u32,
    #[prost(bool, tag = "8")]
    pub closed: bool,
}
#[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
pub struct Zone {
    #[prost(string, tag = "1")]
    pub name: ::prost::alloc::string::String,
    #[prost(bool, tag = "2")]
    pub closed: bool,
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Object {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(oneof = "object::Object", tags = "2, 3, 4, 5, 6")]
    pub object: ::core::option::Option<object::Object>,
}
/// Nested message and enum types in `Object`.
pub mod object {
    #[derive(Clone, PartialEq, ::prost::Oneof)]
    pub enum Object {
        #[prost(message, tag = "2")]
        Workspace(super::Workspace),
        #[prost(message, tag = "3")]
        Service(super::Service),
        #[prost(message, tag = "4")]
        Server(super::Server),
        #[prost(message, tag = "5")]
        Zone(super::Zone),
        #[prost(message, tag = "6")]
        Removed(super::ObjectId),
    }
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Objects {
    #[prost(message, repeated, tag = "1")]
    pub objects: ::prost::alloc::vec::Vec<Object>,
    #[prost(bool, tag = "2")]
    pub push: bool,
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
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, ::prost::Enumeration)]
#[repr(i32)]
pub enum Standing {
    Probation = 0,
    Alive = 1,
    Leaving = 2,
    Dead = 3,
}
impl Standing {
    /// String value of the enum field names used in the ProtoBuf definition.
    ///
    /// The values are not transformed in any way and thus are considered stable
    /// (if the ProtoBuf definition does not change) and safe for programmatic use.
    pub fn as_str_name(&self) -> &'static str {
        match self {
            Self::Probation => "STANDING_PROBATION",
            Self::Alive => "STANDING_ALIVE",
            Self::Leaving => "STANDING_LEAVING",
            Self::Dead => "STANDING_DEAD",
        }
    }
    /// Creates an enum from field names used in the ProtoBuf definition.
    pub fn from_str_name(value: &str) -> ::core::option::Option<Self> {
        match value {
            "STANDING_PROBATION" => Some(Self::Probation),
            "STANDING_ALIVE" => Some(Self::Alive),
            "STANDING_LEAVING" => Some(Self::Leaving),
            "STANDING_DEAD" => Some(Self::Dead),
            _ => None,
        }
    }
}
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, ::prost::Enumeration)]
#[repr(i32)]
pub enum Kind {
    Workspace = 0,
    Service = 1,
    Server = 2,
    Zone = 3,
}
impl Kind {
    /// String value of the enum field names used in the ProtoBuf definition.
    ///
    /// The values are not transformed in any way and thus are considered stable
    /// (if the ProtoBuf definition does not change) and safe for programmatic use.
    pub fn as_str_name(&self) -> &'static str {
        match self {
            Self::Workspace => "KIND_WORKSPACE",
            Self::Service => "KIND_SERVICE",
            Self::Server => "KIND_SERVER",
            Self::Zone => "KIND_ZONE",
        }
    }
    /// Creates an enum from field names used in the ProtoBuf definition.
    pub fn from_str_name(value: &str) -> ::core::option::Option<Self> {
        match value {
            "KIND_WORKSPACE" => Some(Self::Workspace),
            "KIND_SERVICE" => Some(Self::Service),
            "KIND_SERVER" => Some(Self::Server),
            "KIND_ZONE" => Some(Self::Zone),
            _ => None,
        }
    }
}
