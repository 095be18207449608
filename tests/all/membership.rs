//! Routers that join, leave and are listed.

use std::net::UdpSocket;
use std::time::Duration;

use hibiscusrail_core::membership::MemberState;
use hibiscusrail_core::{Event, RouterId};
use hibiscusrail_store::table::{Host, HostList};

use crate::support::{Stage, run, until};

fn state(stage: &Stage, viewer: usize, router: &str) -> Option<MemberState> {
    let id = RouterId::new(router);
    stage.routers[viewer].with_router(|r| r.members().get(id).map(|m| m.state))
}

#[test]
fn leave_is_announced_at_drain() {
    run(async {
        let stage = Stage::new().await;
        let name = &stage.deployment.routers[0].name;
        stage.routers[0].event(Event::Drain {
            patience: Duration::from_secs(5),
        });
        for viewer in [1, 2] {
            until(|| state(&stage, viewer, name) == Some(MemberState::Leaving)).await;
        }
    });
}

#[test]
fn host_listed_is_learned_without_roles() {
    run(async {
        let stage = Stage::new().await;
        let mut hosts: Vec<_> = stage
            .deployment
            .routers
            .iter()
            .map(|r| Host {
                router: r.name.clone(),
                zone: r.zone.clone(),
                address: r.peer,
                leaving: false,
            })
            .collect();
        let mut new = hosts[0].clone();
        new.router = "router-new".to_owned();
        new.address.set_port(1);
        hosts.push(new);
        stage.platform.set_hosts(HostList { hosts });
        for viewer in 0..3 {
            until(|| state(&stage, viewer, "router-new") == Some(MemberState::Dead)).await;
        }
    });
}

#[test]
fn datagrams_foreign_are_dropped_and_counted() {
    run(async {
        let stage = Stage::new().await;
        let shell = &stage.routers[0];
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let to = stage.deployment.routers[0].peer;
        for datagram in [&[1; 5][..], &[1; 100], &[9; 100]] {
            socket.send_to(datagram, to).expect("sent");
        }
        for reason in ["truncated", "forged", "version"] {
            until(|| dropped(&shell.with_router(|r| shell.metrics().page(r)), reason)).await;
        }
        assert!(shell.with_router(|r| r.readiness().is_ok()));
    });
}

fn dropped(metrics: &[u8], reason: &str) -> bool {
    let label = format!("\"{reason}\"");
    String::from_utf8_lossy(metrics)
        .lines()
        .any(|l| l.contains("datagrams_dropped_total") && l.contains(&label) && !l.ends_with(" 0"))
}
