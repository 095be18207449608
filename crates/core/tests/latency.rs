//! What the time to first byte says of a server.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use hibiscusrail_core::configuration::{
    Admission, Object, Server, Service, ServiceKind, Version, Workspace,
};
use hibiscusrail_core::event::{Call, Milestone, Repeat};
use hibiscusrail_core::{
    CallId, Clock, Effect, Event, Incarnation, ManualClock, Params, Router, RouterId, ServiceId,
    WorkspaceId, ZoneId,
};

/// A first byte as usual, and one that is long even for a cold server.
const USUAL: Duration = Duration::from_millis(100);
const LONG: Duration = Duration::from_secs(2);
/// Time between two ticks.
const STEP: Duration = Duration::from_millis(50);
/// Requests served before the long one.
const SERVED: u64 = 6;

fn objects() -> Vec<(Version, Object)> {
    let objects = [
        Object::Service(Service {
            name: "model".to_owned(),
            kind: ServiceKind::Model,
            prompt_weight: 0.1,
            output_weight: 1.0,
        }),
        Object::Workspace(Workspace {
            name: "workspace".to_owned(),
            share: 1.0,
            key_hash: [0; 32],
            queue_limit: 10,
            retry_fraction: 0.1,
        }),
        Object::Server(Server {
            name: "server".to_owned(),
            service: ServiceId::new("model"),
            zone: ZoneId::new("zone"),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            cold_limit: 1,
            max_limit: 16,
            admission: Admission::Open,
        }),
    ];
    objects.into_iter().map(|o| (Version(1), o)).collect()
}

/// Serves one request whose first byte comes after `first`.
fn serve(router: &mut Router, clock: &ManualClock, number: u64, stream: bool, first: Duration) {
    let call = Call {
        id: CallId(number),
        request: format!("request-{number}"),
        workspace: WorkspaceId::new("workspace"),
        service: ServiceId::new("model"),
        repeat: Repeat::Idempotent,
        resumable: stream,
        hint: None,
        prefix: None,
        deadline: clock.now() + Duration::from_secs(60),
    };
    let effects = router.handle(clock.now(), Event::Submit(call));
    let attempt = effects
        .iter()
        .find_map(|e| match e {
            Effect::Dispatch(dispatch) => Some(dispatch.attempt),
            _ => None,
        })
        .expect("a slot is free");
    router.handle(clock.now(), Event::Attempt(attempt, Milestone::Sent));
    // A loop that stands still would look like a paused router.
    let steps = first.as_millis() / STEP.as_millis();
    for _ in 0..steps {
        clock.advance(STEP);
        router.handle(clock.now(), Event::Tick);
    }
    let done = Milestone::Done {
        cost: 10.0,
        status: 200,
    };
    for milestone in [Milestone::FirstByte, done] {
        router.handle(clock.now(), Event::Attempt(attempt, milestone));
    }
}

/// Returns the server's limit before and after an answer with a long first byte.
fn limits(stream: bool) -> (u32, u32) {
    let clock = ManualClock::new();
    let me = RouterId::new("router");
    let zone = ZoneId::new("zone");
    let mut router = Router::new(me, zone, Incarnation(1), Params::new(), clock.now());
    router.handle(clock.now(), Event::Objects(objects()));
    let limit = |router: &Router| {
        let mut servers = router.dispatcher().servers();
        servers.next().map_or(0, |(_, limit, _)| limit)
    };
    for number in 0..SERVED {
        serve(&mut router, &clock, number, stream, USUAL);
    }
    let before = limit(&router);
    serve(&mut router, &clock, SERVED, stream, LONG);
    (before, limit(&router))
}

#[test]
fn limit_long_unstreamed_answer_is_no_cold_server() {
    let (before, after) = limits(false);
    assert!(before > 1 && after >= before, "{before}, then {after}");
}

#[test]
fn limit_late_stream_is_a_cold_server() {
    let (before, after) = limits(true);
    assert!(before > 1 && after == 1, "{before}, then {after}");
}
