//! Role assignment from the platform's host list and the states of routers.

use std::net::{Ipv4Addr, SocketAddr};

use hibiscusrail_core::configuration::{Admission, Server};
use hibiscusrail_core::event::HostEntry;
use hibiscusrail_core::membership::{Member, MemberState, Membership};
use hibiscusrail_core::{RouterId, ServerId, ServiceId, ZoneId};

const ZONE_A: ZoneId = ZoneId(1);
const ZONE_B: ZoneId = ZoneId(2);
const ME: RouterId = RouterId(1);
const PEER: RouterId = RouterId(2);
const OTHER: RouterId = RouterId(3);

fn address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 1))
}

fn host(router: RouterId, zone: ZoneId, leaving: bool) -> HostEntry {
    HostEntry {
        router,
        zone,
        address: address(),
        leaving,
    }
}

fn member(zone: ZoneId, state: MemberState) -> Member {
    Member { zone, state }
}

/// Returns a membership with two routers in zone A and one in zone B.
fn members() -> Membership {
    let mut members = Membership::new(ME, ZONE_A);
    members.insert(PEER, member(ZONE_A, MemberState::Alive));
    members.insert(OTHER, member(ZONE_B, MemberState::Alive));
    members
}

fn server(zone: ZoneId) -> Server {
    Server {
        name: "server".to_owned(),
        service: ServiceId(1),
        zone,
        address: address(),
        cold_limit: 1,
        max_limit: 1,
        admission: Admission::Open,
    }
}

fn dispatcher(members: &Membership, zone: ZoneId) -> Option<RouterId> {
    members.dispatcher(ServerId(1), &server(zone))
}

#[test]
fn dispatcher_dead_zone_moves_once_unlisted() {
    let mut members = members();
    members.insert(OTHER, member(ZONE_B, MemberState::Dead));
    assert_eq!(dispatcher(&members, ZONE_B), None);
    members.set_hosts(&[host(ME, ZONE_A, false), host(OTHER, ZONE_B, false)]);
    assert_eq!(dispatcher(&members, ZONE_B), None);
    members.set_hosts(&[host(ME, ZONE_A, false)]);
    assert!(dispatcher(&members, ZONE_B).is_some());
}

#[test]
fn dispatcher_unlisted_alive_keeps_roles() {
    let mut members = members();
    members.set_hosts(&[host(ME, ZONE_A, false)]);
    assert_eq!(dispatcher(&members, ZONE_B), Some(OTHER));
}

#[test]
fn set_hosts_empty_is_ignored() {
    let mut members = members();
    members.insert(OTHER, member(ZONE_B, MemberState::Dead));
    members.set_hosts(&[]);
    assert!(!members.zone_empty(ZONE_B));
    assert_eq!(dispatcher(&members, ZONE_B), None);
}

#[test]
fn set_hosts_leaving_loses_roles() {
    let mut members = members();
    let view = members.view();
    members.set_hosts(&[host(ME, ZONE_A, false), host(PEER, ZONE_A, true)]);
    assert!(members.view() > view);
    for id in 0..50 {
        let found = members.dispatcher(ServerId(id), &server(ZONE_A));
        assert_eq!(found, Some(ME));
    }
}

#[test]
fn set_hosts_unknown_is_dead_until_it_answers() {
    let mut members = members();
    let new = members.set_hosts(&[host(RouterId(9), ZONE_A, false)]);
    assert_eq!(new, [RouterId(9)]);
    assert_eq!(
        members.get(RouterId(9)).map(|m| m.state),
        Some(MemberState::Dead)
    );
    assert_eq!(members.address(RouterId(9)), Some(address()));
}

#[test]
fn dispatcher_suspect_keeps_its_roles() {
    let mut members = members();
    let before: Vec<_> = (0..50)
        .map(|id| members.dispatcher(ServerId(id), &server(ZONE_A)))
        .collect();
    members.insert(PEER, member(ZONE_A, MemberState::Suspect));
    let after: Vec<_> = (0..50)
        .map(|id| members.dispatcher(ServerId(id), &server(ZONE_A)))
        .collect();
    assert_eq!(before, after);
}

#[test]
fn dispatcher_probation_only_as_last_resort() {
    let mut members = members();
    members.insert(PEER, member(ZONE_A, MemberState::Probation));
    members.insert(OTHER, member(ZONE_B, MemberState::Probation));
    for id in 0..50 {
        let found = members.dispatcher(ServerId(id), &server(ZONE_A));
        assert_eq!(found, Some(ME));
    }
    assert_eq!(dispatcher(&members, ZONE_B), Some(OTHER));
}

#[test]
fn dispatcher_leaving_only_as_last_resort() {
    let mut members = members();
    members.insert(PEER, member(ZONE_A, MemberState::Leaving));
    members.insert(OTHER, member(ZONE_B, MemberState::Leaving));
    for id in 0..50 {
        let found = members.dispatcher(ServerId(id), &server(ZONE_A));
        assert_eq!(found, Some(ME));
    }
    assert_eq!(dispatcher(&members, ZONE_B), Some(OTHER));
}
