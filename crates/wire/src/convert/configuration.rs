//! Conversion of configuration objects and the messages that exchange them.

use hibiscusrail_core::configuration::exchange::{Compare, Exchange, Objects, Versions};
use hibiscusrail_core::configuration::{
    Admission, Object, ObjectId, Server, Service, ServiceKind, Version, Workspace, Zone,
};
use hibiscusrail_core::{ServerId, ServiceId, WorkspaceId, ZoneId};

use super::membership::{address_in, ip_out};
use super::{convert_all, finite};
use crate::generated as pb;
use crate::generated::envelope::Body;
use crate::generated::object::Object as Kind;

pub(super) fn exchange_out(exchange: &Exchange) -> Body {
    match exchange {
        Exchange::Compare(m) => Body::Compare(pb::Compare {
            version: m.version.0,
            digests: m.digests.clone(),
            skip: m.skip,
        }),
        Exchange::Same => Body::Same(true),
        Exchange::Versions(m) => Body::Versions(pb::Versions {
            versions: m
                .versions
                .iter()
                .map(|(id, v)| version_out(*id, *v))
                .collect(),
            next: m.next,
        }),
        Exchange::Pull(ids) => Body::Pull(pb::Pull {
            ids: ids.iter().map(|id| id_out(*id)).collect(),
        }),
        Exchange::Objects(m) => Body::Objects(pb::Objects {
            objects: m.objects.iter().map(|(v, o)| object_out(*v, o)).collect(),
            push: m.push,
        }),
    }
}

pub(super) fn compare_in(m: pb::Compare) -> Option<Exchange> {
    Some(Exchange::Compare(Compare {
        version: Version(m.version),
        digests: m.digests,
        skip: m.skip,
    }))
}

pub(super) fn versions_in(m: &pb::Versions) -> Option<Exchange> {
    let versions = convert_all(&m.versions, |v| Some((id_in(v.id?)?, Version(v.version))))?;
    Some(Exchange::Versions(Versions {
        versions,
        next: m.next,
    }))
}

pub(super) fn pull_in(m: &pb::Pull) -> Option<Exchange> {
    Some(Exchange::Pull(convert_all(&m.ids, |id| id_in(*id))?))
}

pub(super) fn objects_in(m: pb::Objects) -> Option<Exchange> {
    let objects = m
        .objects
        .into_iter()
        .map(object_in)
        .collect::<Option<_>>()?;
    Some(Exchange::Objects(Objects {
        objects,
        push: m.push,
    }))
}

fn version_out(id: ObjectId, version: Version) -> pb::ObjectVersion {
    pb::ObjectVersion {
        id: Some(id_out(id)),
        version: version.0,
    }
}

fn id_out(id: ObjectId) -> pb::ObjectId {
    let (kind, id) = match id {
        ObjectId::Workspace(id) => (pb::Kind::Workspace, id.0),
        ObjectId::Service(id) => (pb::Kind::Service, id.0),
        ObjectId::Server(id) => (pb::Kind::Server, id.0),
        ObjectId::Zone(id) => (pb::Kind::Zone, id.0),
    };
    pb::ObjectId {
        kind: kind.into(),
        id,
    }
}

fn id_in(m: pb::ObjectId) -> Option<ObjectId> {
    Some(match pb::Kind::try_from(m.kind).ok()? {
        pb::Kind::Workspace => ObjectId::Workspace(WorkspaceId(m.id)),
        pb::Kind::Service => ObjectId::Service(ServiceId(m.id)),
        pb::Kind::Server => ObjectId::Server(ServerId(m.id)),
        pb::Kind::Zone => ObjectId::Zone(ZoneId(m.id)),
    })
}

fn closed(admission: Admission) -> bool {
    admission == Admission::Closed
}

fn admission(closed: bool) -> Admission {
    if closed {
        Admission::Closed
    } else {
        Admission::Open
    }
}

fn object_out(version: Version, object: &Object) -> pb::Object {
    let object = match object {
        Object::Workspace(w) => Kind::Workspace(pb::Workspace {
            name: w.name.clone(),
            share: w.share,
            key_hash: w.key_hash.to_vec(),
            queue_limit: w.queue_limit,
            retry_fraction: w.retry_fraction,
        }),
        Object::Service(s) => Kind::Service(pb::Service {
            name: s.name.clone(),
            model: s.kind == ServiceKind::Model,
            prompt_weight: s.prompt_weight,
            output_weight: s.output_weight,
        }),
        Object::Server(s) => Kind::Server(pb::Server {
            name: s.name.clone(),
            service: s.service.0,
            zone: s.zone.0,
            ip: ip_out(s.address.ip()),
            port: s.address.port().into(),
            cold_limit: s.cold_limit,
            max_limit: s.max_limit,
            closed: closed(s.admission),
        }),
        Object::Zone(z) => Kind::Zone(pb::Zone {
            name: z.name.clone(),
            closed: closed(z.admission),
        }),
        Object::Removed(id) => Kind::Removed(id_out(*id)),
    };
    pb::Object {
        version: version.0,
        object: Some(object),
    }
}

fn object_in(m: pb::Object) -> Option<(Version, Object)> {
    let object = match m.object? {
        Kind::Workspace(w) => Object::Workspace(Workspace {
            name: w.name,
            share: finite(w.share).filter(|s| *s > 0.0)?,
            key_hash: w.key_hash.try_into().ok()?,
            queue_limit: w.queue_limit,
            retry_fraction: finite(w.retry_fraction)?,
        }),
        Kind::Service(s) => Object::Service(Service {
            name: s.name,
            kind: if s.model {
                ServiceKind::Model
            } else {
                ServiceKind::Plain
            },
            prompt_weight: finite(s.prompt_weight)?,
            output_weight: finite(s.output_weight)?,
        }),
        Kind::Server(s) => Object::Server(Server {
            name: s.name,
            service: ServiceId(s.service),
            zone: ZoneId(s.zone),
            address: address_in(&s.ip, s.port)?,
            cold_limit: s.cold_limit,
            max_limit: s.max_limit,
            admission: admission(s.closed),
        }),
        Kind::Zone(z) => Object::Zone(Zone {
            name: z.name,
            admission: admission(z.closed),
        }),
        Kind::Removed(id) => Object::Removed(id_in(id)?),
    };
    Some((Version(m.version), object))
}
