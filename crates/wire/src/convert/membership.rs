//! Conversion of membership probes and the updates they carry.

use std::net::{IpAddr, SocketAddr};

use hibiscusrail_core::configuration::Version;
use hibiscusrail_core::configuration::exchange::Head;
use hibiscusrail_core::membership::update::{
    Gossip, MAX_UPDATES, Probe, Standing, Update, UpdateVersion,
};
use hibiscusrail_core::{Incarnation, RouterId, ZoneId};

use super::convert_all;
use crate::generated as pb;
use crate::generated::envelope::Body;

pub(super) fn probe_out(probe: &Probe) -> Body {
    let body = |seq: u64, target: Option<RouterId>, gossip: &Gossip| pb::Probe {
        seq,
        target: target.map(|t| t.0),
        head: Some(head_out(gossip.head)),
        updates: gossip.updates.iter().map(update_out).collect(),
    };
    match probe {
        Probe::Ping { seq, gossip } => Body::Ping(body(*seq, None, gossip)),
        Probe::Ack { seq, gossip } => Body::Ack(body(*seq, None, gossip)),
        Probe::Request {
            seq,
            target,
            gossip,
        } => Body::PingRequest(body(*seq, Some(*target), gossip)),
    }
}

pub(super) fn ping_in(m: &pb::Probe) -> Option<Probe> {
    Some(Probe::Ping {
        seq: m.seq,
        gossip: gossip_in(m)?,
    })
}

pub(super) fn ack_in(m: &pb::Probe) -> Option<Probe> {
    Some(Probe::Ack {
        seq: m.seq,
        gossip: gossip_in(m)?,
    })
}

pub(super) fn request_in(m: &pb::Probe) -> Option<Probe> {
    Some(Probe::Request {
        seq: m.seq,
        target: RouterId(m.target?),
        gossip: gossip_in(m)?,
    })
}

fn gossip_in(m: &pb::Probe) -> Option<Gossip> {
    if m.updates.len() > MAX_UPDATES {
        return None;
    }
    Some(Gossip {
        head: head_in(m.head?),
        updates: convert_all(&m.updates, update_in)?,
    })
}

fn head_out(head: Head) -> pb::Head {
    pb::Head {
        version: head.version.0,
        digest: head.digest,
        ready: head.ready,
    }
}

fn head_in(m: pb::Head) -> Head {
    Head {
        version: Version(m.version),
        digest: m.digest,
        ready: m.ready,
    }
}

pub(super) fn ip_out(ip: IpAddr) -> Vec<u8> {
    match ip {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    }
}

/// Returns the address; `None` unless `ip` has 4 or 16 bytes and the port fits 16 bits.
pub(super) fn address_in(ip: &[u8], port: u32) -> Option<SocketAddr> {
    let port = u16::try_from(port).ok()?;
    let ip = match ip.len() {
        4 => IpAddr::from(<[u8; 4]>::try_from(ip).ok()?),
        16 => IpAddr::from(<[u8; 16]>::try_from(ip).ok()?),
        _ => return None,
    };
    Some(SocketAddr::new(ip, port))
}

fn update_out(update: &Update) -> pb::Update {
    let standing = match update.standing {
        Standing::Probation => pb::Standing::Probation,
        Standing::Alive => pb::Standing::Alive,
        Standing::Leaving => pb::Standing::Leaving,
        Standing::Dead => pb::Standing::Dead,
    };
    pb::Update {
        router: update.router.0,
        zone: update.zone.0,
        ip: ip_out(update.address.ip()),
        port: update.address.port().into(),
        incarnation: update.version.incarnation.0,
        refutation: update.version.refutation,
        standing: standing.into(),
        suspect: update.suspect,
    }
}

fn update_in(m: &pb::Update) -> Option<Update> {
    let standing = match pb::Standing::try_from(m.standing).ok()? {
        pb::Standing::Probation => Standing::Probation,
        pb::Standing::Alive => Standing::Alive,
        pb::Standing::Leaving => Standing::Leaving,
        pb::Standing::Dead => Standing::Dead,
    };
    Some(Update {
        router: RouterId(m.router),
        zone: ZoneId(m.zone),
        address: address_in(&m.ip, m.port)?,
        version: UpdateVersion {
            incarnation: Incarnation(m.incarnation),
            refutation: m.refutation,
        },
        standing,
        suspect: m.suspect,
    })
}
