//! Effect of the time to first byte on a server's concurrency limit.

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

/// Usual time to first byte.
const USUAL: Duration = Duration::from_millis(100);
/// Time to first byte that indicates a cold server.
const SLOW: Duration = Duration::from_secs(2);
/// Interval between two ticks.
const TICK: Duration = Duration::from_millis(50);
/// Number of requests served before the slow one.
const WARM_UP_REQUESTS: u64 = 6;

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

/// Serves one request whose time to first byte is `first_byte`.
fn serve(
    router: &mut Router,
    clock: &ManualClock,
    number: u64,
    stream: bool,
    first_byte: Duration,
) {
    let call = Call {
        id: CallId(number),
        request: format!("request-{number}"),
        workspace: WorkspaceId::new("workspace"),
        service: ServiceId::new("model"),
        repeat: Repeat::Idempotent,
        resumable: stream,
        cost_hint: None,
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
    // Without ticks, the router would detect a pause of its event loop.
    let ticks = first_byte.as_millis() / TICK.as_millis();
    for _ in 0..ticks {
        clock.advance(TICK);
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

/// Returns the server's limit before and after an answer with a slow first byte.
fn limits(stream: bool) -> (u32, u32) {
    let clock = ManualClock::new();
    let me = RouterId::new("router");
    let zone = ZoneId::new("zone");
    let mut router = Router::new(me, zone, Incarnation(1), Params::new(), clock.now());
    router.handle(clock.now(), Event::ConfigRead(objects()));
    let limit = |router: &Router| {
        let mut servers = router.dispatcher().servers();
        servers.next().map_or(0, |(_, limit, _)| limit)
    };
    for number in 0..WARM_UP_REQUESTS {
        serve(&mut router, &clock, number, stream, USUAL);
    }
    let before = limit(&router);
    serve(&mut router, &clock, WARM_UP_REQUESTS, stream, SLOW);
    (before, limit(&router))
}

#[test]
fn limit_slow_unstreamed_answer_is_ignored() {
    let (before, after) = limits(false);
    assert!(before > 1 && after >= before, "{before}, then {after}");
}

#[test]
fn limit_slow_stream_resets_limit() {
    let (before, after) = limits(true);
    assert!(before > 1 && after == 1, "{before}, then {after}");
}
