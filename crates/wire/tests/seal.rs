//! Genuine datagrams pass; malformed, forged, misdirected and replayed ones fail without a panic.

use std::net::SocketAddr;

use hibiscusrail_core::configuration::exchange::{Compare, Exchange, Head, Objects, Versions};
use hibiscusrail_core::configuration::{
    Admission, BUCKETS, Object, ObjectId, Server, Version, Workspace, Zone,
};
use hibiscusrail_core::membership::update::{Gossip, Probe, Standing, Update, UpdateVersion};
use hibiscusrail_core::{Incarnation, Message, RouterId, ServerId, ServiceId, WorkspaceId, ZoneId};
use hibiscusrail_wire::seal::{MAX_DATAGRAM, MAX_SENDERS};
use hibiscusrail_wire::{Keys, OpenError, PROTOCOL_VERSION, PeerMessage, decode, encode};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SECRET: &[u8] = b"secret";

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

fn peer_message(from: u32, seq: u64, message: Message) -> PeerMessage {
    PeerMessage {
        from: RouterId(from),
        incarnation: Incarnation(7),
        seq,
        to: RouterId(2),
        message,
    }
}

fn room() -> Message {
    Message::SlotFree(ServiceId(5))
}

fn keys() -> Keys {
    Keys::new(RouterId(2), SECRET)
}

fn sealed(peer_message: &PeerMessage) -> Vec<u8> {
    Keys::new(peer_message.from, SECRET).seal(peer_message)
}

fn address() -> impl Strategy<Value = SocketAddr> {
    (
        any::<[u8; 4]>(),
        any::<[u8; 16]>(),
        any::<u16>(),
        any::<bool>(),
    )
        .prop_map(|(v4, v6, port, six)| {
            if six {
                SocketAddr::from((v6, port))
            } else {
                SocketAddr::from((v4, port))
            }
        })
}

fn object_id() -> impl Strategy<Value = ObjectId> {
    prop_oneof![
        any::<u32>().prop_map(|id| ObjectId::Workspace(WorkspaceId(id))),
        any::<u32>().prop_map(|id| ObjectId::Service(ServiceId(id))),
        any::<u32>().prop_map(|id| ObjectId::Server(ServerId(id))),
        any::<u32>().prop_map(|id| ObjectId::Zone(ZoneId(id))),
    ]
}

fn object() -> impl Strategy<Value = Object> {
    prop_oneof![
        (".{0,20}", any::<[u8; 32]>(), any::<u32>()).prop_map(|(name, key_hash, queue_limit)| {
            Object::Workspace(Workspace {
                name,
                share: 2.0,
                key_hash,
                queue_limit,
                retry_fraction: 0.5,
            })
        }),
        (".{0,20}", address(), any::<u32>()).prop_map(|(name, address, limit)| {
            Object::Server(Server {
                name,
                service: ServiceId(limit),
                zone: ZoneId(limit),
                address,
                cold_limit: limit,
                max_limit: limit,
                admission: Admission::Closed,
            })
        }),
        ".{0,20}".prop_map(|name| {
            let admission = Admission::Open;
            Object::Zone(Zone { name, admission })
        }),
        object_id().prop_map(Object::Removed),
    ]
}

fn exchange() -> impl Strategy<Value = Exchange> {
    let version = any::<u64>().prop_map(Version);
    let digests = proptest::collection::vec(any::<u64>(), BUCKETS);
    let versions = proptest::collection::vec((object_id(), version.clone()), 0..20);
    let objects = proptest::collection::vec((version.clone(), object()), 0..8);
    prop_oneof![
        (version, digests, any::<u32>()).prop_map(|(version, digests, skip)| {
            Exchange::Compare(Compare {
                version,
                digests,
                skip,
            })
        }),
        Just(Exchange::Same),
        (versions, any::<Option<u32>>())
            .prop_map(|(versions, next)| Exchange::Versions(Versions { versions, next })),
        proptest::collection::vec(object_id(), 0..8).prop_map(Exchange::Pull),
        (objects, any::<bool>())
            .prop_map(|(objects, push)| Exchange::Objects(Objects { objects, push })),
    ]
}

fn probe() -> impl Strategy<Value = Probe> {
    let update = (
        any::<[u32; 3]>(),
        any::<u64>(),
        address(),
        0..4_u8,
        any::<bool>(),
    )
        .prop_map(
            |([router, zone, refutation], incarnation, address, standing, suspect)| Update {
                router: RouterId(router),
                zone: ZoneId(zone),
                address,
                version: UpdateVersion {
                    incarnation: Incarnation(incarnation),
                    refutation,
                },
                standing: [
                    Standing::Probation,
                    Standing::Alive,
                    Standing::Leaving,
                    Standing::Dead,
                ][usize::from(standing)],
                suspect,
            },
        );
    let updates = proptest::collection::vec(update, 0..8);
    (
        any::<[u64; 3]>(),
        any::<bool>(),
        updates,
        0..3_u8,
        any::<u32>(),
    )
        .prop_map(|([seq, version, digest], ready, updates, kind, target)| {
            let version = Version(version);
            let head = Head {
                version,
                digest,
                ready,
            };
            let gossip = Gossip { head, updates };
            match kind {
                0 => Probe::Ping { seq, gossip },
                1 => Probe::Ack { seq, gossip },
                _ => Probe::Request {
                    seq,
                    target: RouterId(target),
                    gossip,
                },
            }
        })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn open_random_bytes_is_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        prop_assert!(keys().open(&bytes).is_err());
    }

    #[test]
    fn open_changed_byte_is_rejected(at in any::<prop::sample::Index>(), flip in 1..=255_u8) {
        let mut datagram = sealed(&peer_message(1, 1, room()));
        let at = at.index(datagram.len());
        datagram[at] ^= flip;
        prop_assert!(keys().open(&datagram).is_err());
    }

    #[test]
    fn open_truncated_is_rejected(length in any::<prop::sample::Index>()) {
        let datagram = sealed(&peer_message(1, 1, room()));
        let length = length.index(datagram.len());
        prop_assert!(keys().open(&datagram[..length]).is_err());
    }

    #[test]
    fn decode_random_bytes_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..4_000)) {
        let _ = decode(&bytes);
    }

    #[test]
    fn decode_changed_bytes_has_bounded_elements(
        exchange in exchange(),
        changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..8),
    ) {
        let mut bytes = encode(&peer_message(1, 1, Message::Exchange(exchange)));
        for (at, value) in changes {
            let at = at.index(bytes.len());
            bytes[at] = value;
        }
        if let Some(decoded) = decode(&bytes) {
            // Each element takes at least two bytes of the envelope.
            let elements = match decoded.message {
                Message::Exchange(Exchange::Versions(v)) => v.versions.len(),
                Message::Exchange(Exchange::Objects(o)) => o.objects.len(),
                Message::Exchange(Exchange::Pull(ids)) => ids.len(),
                _ => 0,
            };
            prop_assert!(elements <= bytes.len() / 2);
        }
    }

    #[test]
    fn encode_exchange_round_trips(exchange in exchange()) {
        let sent = peer_message(1, 1, Message::Exchange(exchange));
        prop_assert_eq!(decode(&encode(&sent)), Some(sent));
    }

    #[test]
    fn encode_probe_round_trips(probe in probe()) {
        let sent = peer_message(1, 1, Message::Probe(probe));
        prop_assert_eq!(decode(&encode(&sent)), Some(sent));
    }
}

#[test]
fn open_accepts_datagram_once() {
    let mut keys = keys();
    let datagram = sealed(&peer_message(1, 1, room()));
    assert!(keys.open(&datagram).is_ok());
    assert_eq!(keys.open(&datagram), Err(OpenError::Replayed));
}

#[test]
fn open_oversize_is_rejected() {
    let datagram = vec![PROTOCOL_VERSION; MAX_DATAGRAM + 1];
    assert_eq!(keys().open(&datagram), Err(OpenError::Oversize));
}

#[test]
fn open_other_version_names_both_versions() {
    let mut datagram = sealed(&peer_message(1, 1, room()));
    datagram[0] = PROTOCOL_VERSION + 1;
    let error = keys().open(&datagram).expect_err("the version is wrong");
    assert_eq!(error.kind(), "version");
    assert_eq!(
        error.to_string(),
        "peer speaks protocol version 2, this router 1"
    );
}

#[test]
fn open_other_secret_is_forged() {
    let datagram = Keys::new(RouterId(1), b"other").seal(&peer_message(1, 1, room()));
    assert_eq!(keys().open(&datagram), Err(OpenError::Forged));
}

#[test]
fn open_for_another_router_is_misdirected() {
    let mut sent = peer_message(1, 1, room());
    sent.to = RouterId(3);
    assert_eq!(keys().open(&sealed(&sent)), Err(OpenError::Misdirected));
}

#[test]
fn open_limits_number_of_senders() {
    let mut keys = keys();
    let senders = u32::try_from(MAX_SENDERS).expect("a small number");
    for from in 0..senders {
        assert!(keys.open(&sealed(&peer_message(from, 1, room()))).is_ok());
    }
    let datagram = sealed(&peer_message(senders, 1, room()));
    assert_eq!(keys.open(&datagram), Err(OpenError::Crowded));
}
