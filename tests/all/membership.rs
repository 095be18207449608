//! Membership: routers that leave, are added to the host list, or receive invalid datagrams.

use std::net::UdpSocket;
use std::time::Duration;

use hibiscusrail_core::membership::MemberState;
use hibiscusrail_core::{Event, RouterId};
use hibiscusrail_store::table::{Host, HostList};

use crate::support::{TestFleet, run, wait_until};

fn member_state(fleet: &TestFleet, viewer: usize, router: &str) -> Option<MemberState> {
    let id = RouterId::new(router);
    fleet.routers[viewer].with_router(|r| r.members().get(id).map(|m| m.state))
}

#[test]
fn leave_is_announced_at_drain() {
    run(async {
        let fleet = TestFleet::new().await;
        let name = &fleet.deployment.routers[0].name;
        fleet.routers[0].handle(Event::Drain {
            time_limit: Duration::from_secs(5),
        });
        for viewer in [1, 2] {
            wait_until(|| member_state(&fleet, viewer, name) == Some(MemberState::Leaving)).await;
        }
    });
}

#[test]
fn host_listed_is_learned_without_roles() {
    run(async {
        let fleet = TestFleet::new().await;
        let mut hosts: Vec<_> = fleet
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
        fleet.platform.set_hosts(HostList { hosts });
        for viewer in 0..3 {
            wait_until(|| member_state(&fleet, viewer, "router-new") == Some(MemberState::Dead))
                .await;
        }
    });
}

#[test]
fn datagrams_invalid_are_dropped_and_counted() {
    run(async {
        let fleet = TestFleet::new().await;
        let shell = &fleet.routers[0];
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let to = fleet.deployment.routers[0].peer;
        for datagram in [&[1; 5][..], &[1; 100], &[9; 100]] {
            socket.send_to(datagram, to).expect("sent");
        }
        for reason in ["truncated", "forged", "version"] {
            wait_until(|| has_dropped(&shell.with_router(|r| shell.metrics().encode(r)), reason))
                .await;
        }
        assert!(shell.with_router(|r| r.readiness().is_ok()));
    });
}

/// Returns whether the metrics count a datagram dropped for `reason`.
fn has_dropped(metrics: &[u8], reason: &str) -> bool {
    let label = format!("\"{reason}\"");
    String::from_utf8_lossy(metrics)
        .lines()
        .any(|l| l.contains("datagrams_dropped_total") && l.contains(&label) && !l.ends_with(" 0"))
}
