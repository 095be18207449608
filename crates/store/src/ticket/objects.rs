//! Converts the objects of a ticket to the JSON form of their rows.

use std::net::SocketAddr;

use super::generated::{Admission, Kind, ServiceKind, Ticket};
use crate::object::{ObjectKind, ObjectRow};

impl From<Kind> for ObjectKind {
    fn from(kind: Kind) -> Self {
        match kind {
            Kind::Workspace => Self::Workspace,
            Kind::Service => Self::Service,
            Kind::Server => Self::Server,
            Kind::Zone => Self::Zone,
        }
    }
}

/// Returns the new state of every object of a ticket, or `None` if an address is malformed.
#[must_use]
pub fn object_rows(ticket: &Ticket) -> Option<Vec<ObjectRow>> {
    let mut rows = Vec::new();
    for w in &ticket.workspaces {
        rows.push(ObjectRow::Workspace {
            name: w.name.clone(),
            share: w.share,
            key_hash: w.key_hash.clone(),
            queue_limit: w.queue_limit,
            retry_fraction: w.retry_fraction,
        });
    }
    for s in &ticket.services {
        rows.push(ObjectRow::Service {
            name: s.name.clone(),
            model: s.kind == ServiceKind::Model,
            prompt_weight: s.prompt_weight,
            output_weight: s.output_weight,
        });
    }
    for s in &ticket.servers {
        rows.push(ObjectRow::Server {
            name: s.name.clone(),
            service: s.service.clone(),
            zone: s.zone.clone(),
            address: s.address.parse::<SocketAddr>().ok()?,
            cold_limit: s.cold_limit,
            max_limit: s.max_limit,
            open: s.admission == Admission::Open,
        });
    }
    for z in &ticket.zones {
        rows.push(ObjectRow::Zone {
            name: z.name.clone(),
            open: z.admission == Admission::Open,
        });
    }
    for r in &ticket.removed {
        rows.push(ObjectRow::Removed {
            of: r.kind.into(),
            name: r.name.clone(),
        });
    }
    Some(rows)
}
