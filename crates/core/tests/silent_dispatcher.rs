//! Requests whose entry asks a dispatcher that does not answer.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use hibiscusrail_core::configuration::{
    Admission, Object, Server, Service, ServiceKind, Version, Workspace,
};
use hibiscusrail_core::event::{Call, Repeat};
use hibiscusrail_core::membership::{Member, MemberState};
use hibiscusrail_core::{
    CallId, Clock, Effect, Event, Incarnation, ManualClock, Params, Router, RouterId, ServiceId,
    WorkspaceId, ZoneId,
};

/// Number of requests; high enough that some ask the silent dispatcher.
const CALLS: u64 = 6;
/// [`CALLS`] as a number of dispatches.
const ALL_CALLS: usize = 6;
/// Time within which the router completes the take-over of its own server.
const TAKE_OVER: Duration = Duration::from_secs(5);
/// Time by which the clock advances in each step.
const STEP: Duration = Duration::from_millis(5);

fn server(zone: &str) -> Object {
    Object::Server(Server {
        name: format!("server-{zone}"),
        service: ServiceId::new("service"),
        zone: ZoneId::new(zone),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        cold_limit: 64,
        max_limit: 64,
        admission: Admission::Open,
    })
}

fn call(number: u64, clock: &ManualClock) -> Call {
    Call {
        id: CallId(number),
        request: format!("request-{number}"),
        workspace: WorkspaceId::new("workspace"),
        service: ServiceId::new("service"),
        repeat: Repeat::Idempotent,
        resumable: false,
        cost_hint: None,
        prefix: None,
        deadline: clock.now() + Duration::from_secs(30),
    }
}

fn dispatches(effects: &[Effect]) -> usize {
    let dispatches = effects.iter().filter(|e| matches!(e, Effect::Dispatch(_)));
    dispatches.count()
}

/// Advances the clock by `time`; returns the number of dispatched requests.
fn advance(router: &mut Router, clock: &ManualClock, time: Duration) -> usize {
    let mut count = 0;
    let until = clock.now() + time;
    while clock.now() < until {
        clock.advance(STEP);
        count += dispatches(&router.handle(clock.now(), Event::Tick));
    }
    count
}

#[test]
fn ask_unanswered_moves_on_after_timeout() {
    let clock = ManualClock::new();
    let params = Params::new();
    let zone = ZoneId::new("near");
    let me = RouterId::new("me");
    let mut router = Router::new(me, zone, Incarnation(1), params.clone(), clock.now());
    let silent = Member {
        zone: ZoneId::new("far"),
        state: MemberState::Alive,
    };
    router.add_member(RouterId::new("silent"), silent);
    let service = Object::Service(Service {
        name: "service".to_owned(),
        kind: ServiceKind::Plain,
        prompt_weight: 1.0,
        output_weight: 0.0,
    });
    let workspace = Object::Workspace(Workspace {
        name: "workspace".to_owned(),
        share: 1.0,
        key_hash: [0; 32],
        queue_limit: 100,
        retry_fraction: 0.1,
    });
    let objects = [service, workspace, server("near"), server("far")];
    let objects = objects.into_iter().map(|o| (Version(1), o)).collect();
    router.handle(clock.now(), Event::ConfigRead(objects));
    advance(&mut router, &clock, TAKE_OVER);
    let mut dispatched = 0;
    for number in 0..CALLS {
        let call = call(number, &clock);
        dispatched += dispatches(&router.handle(clock.now(), Event::Submit(call)));
    }
    assert!(
        dispatched < ALL_CALLS,
        "some request asks the silent dispatcher"
    );
    dispatched += advance(&mut router, &clock, params.ask_timeout + STEP);
    assert_eq!(dispatched, ALL_CALLS);
}
