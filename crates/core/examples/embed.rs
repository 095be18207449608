//! Drives the reducer without any I/O: one router, one server, one request.
//!
//! A program that embeds the library owns the clock and the sockets. It passes
//! everything that happens to [`Router::handle`] as an event and carries out the
//! returned effects. Here, [`serve`] simulates the server.

use std::time::{Duration, Instant};

use hibiscusrail_core::configuration::{
    Admission, Object, Server, Service, ServiceKind, Version, Workspace, Zone,
};
use hibiscusrail_core::event::{Call, Milestone, Repeat};
use hibiscusrail_core::{
    CallId, Clock, Effect, Event, Incarnation, ManualClock, Params, Router, RouterId, ServiceId,
    WorkspaceId, ZoneId,
};

/// Returns the configuration of a minimal deployment.
fn objects() -> Vec<(Version, Object)> {
    let objects = [
        Object::Zone(Zone {
            name: "zone-a".to_owned(),
            admission: Admission::Open,
        }),
        Object::Service(Service {
            name: "records".to_owned(),
            kind: ServiceKind::Plain,
            prompt_weight: 1.0,
            output_weight: 0.0,
        }),
        Object::Server(Server {
            name: "records-0".to_owned(),
            service: ServiceId::new("records"),
            zone: ZoneId::new("zone-a"),
            address: ([127, 0, 0, 1], 9000).into(),
            cold_limit: 1,
            max_limit: 4,
            admission: Admission::Open,
        }),
        Object::Workspace(Workspace {
            name: "tribunal".to_owned(),
            share: 1.0,
            key_hash: [0; 32],
            queue_limit: 10,
            retry_fraction: 0.1,
        }),
    ];
    objects.map(|object| (Version(1), object)).into()
}

/// Returns a lookup request with a deadline of one minute.
fn lookup(now: Instant) -> Event {
    Event::Submit(Call {
        id: CallId(1),
        request: "lookup-1".to_owned(),
        workspace: WorkspaceId::new("tribunal"),
        service: ServiceId::new("records"),
        repeat: Repeat::Idempotent,
        resumable: false,
        cost_hint: None,
        prefix: None,
        deadline: now + Duration::from_secs(60),
    })
}

/// Returns the events of the simulated server for a dispatched request.
fn serve(effect: &Effect) -> Vec<Event> {
    let Effect::Dispatch(dispatch) = effect else {
        return Vec::new();
    };
    println!("the router sends lookup-1 to {}", dispatch.address);
    let done = Milestone::Done {
        cost: 1.0,
        status: 200,
    };
    [
        Milestone::Connected,
        Milestone::Sent,
        Milestone::FirstByte,
        done,
    ]
    .map(|milestone| Event::Attempt(dispatch.attempt, milestone))
    .into()
}

fn main() {
    let clock = ManualClock::new();
    let (me, zone) = (RouterId::new("entry-a1"), ZoneId::new("zone-a"));
    let mut router = Router::new(me, zone, Incarnation(1), Params::new(), clock.now());
    router.handle(clock.now(), Event::ConfigRead(objects()));
    // The take-over of the server is driven by timers, so the clock has to advance.
    for _ in 0..100 {
        clock.advance(Duration::from_millis(100));
        router.handle(clock.now(), Event::Tick);
    }
    let mut events = vec![lookup(clock.now())];
    let mut finished = 0;
    while let Some(event) = events.pop() {
        for effect in router.handle(clock.now(), event) {
            if let Effect::Finish(call) = effect {
                println!("call {} has its whole answer", call.0);
                finished += 1;
            }
            let more = serve(&effect);
            events.extend(more.into_iter().rev());
        }
    }
    assert_eq!(finished, 1, "the lookup was not answered");
}
