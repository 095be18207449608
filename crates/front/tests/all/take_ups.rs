//! Streams that callers take up after all routers have restarted.

use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use hibiscusrail_front::records;

use super::support::{
    Act, Front, STREAM_END, STREAM_HEAD, Server, chunk, event, header, read_until, run, status,
};
use super::tables::Tables;

/// Names of the routers.
const MEMBERS: [&str; 3] = ["r0", "r1", "r2"];
/// Versions of the engines.
const VERSIONS: [&str; 5] = ["v1", "v1", "v1", "v2", "v2"];
/// Number of streams that are begun at each router.
const STREAMS: usize = 8;
/// Time in which routers learn that the store does not answer.
const NOTICE_TIME: Duration = Duration::from_millis(1_500);
/// Time in which routers that have started write what they have to.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// A router and its tasks that call the store, which end with it.
struct Member {
    front: Front,
    _tasks: [JoinHandle<()>; 4],
}

impl Member {
    /// Starts a router of which the others know if it `restarts`.
    fn start(name: &str, server: &Server, tables: &Rc<Tables>, restarts: bool) -> Self {
        let first = if restarts { &MEMBERS[..] } else { &[] };
        let front = Front::start_member(name, [first, &MEMBERS], server, &VERSIONS);
        let tasks = records::tasks(&front.shell, tables);
        Self {
            front,
            _tasks: tasks.map(compio::runtime::spawn),
        }
    }

    fn start_all(server: &Server, tables: &Rc<Tables>, restart: bool) -> Vec<Self> {
        let start = |name: &&str| Self::start(name, server, tables, restart);
        MEMBERS.iter().map(start).collect()
    }
}

/// Returns a server whose streams hang after their second event.
fn hanging_server() -> Server {
    let events = event(1) + &event(2);
    Server::start(vec![Act::Hang(STREAM_HEAD.to_owned() + &chunk(&events))])
}

/// Returns a server that goes on with streams after their second event.
fn resuming_server() -> Server {
    let events = event(3) + &event(4);
    Server::start(vec![Act::Write(
        STREAM_HEAD.to_owned() + &chunk(&events) + STREAM_END,
    )])
}

/// Sends a request for a stream; returns its connection once its events or a refusal arrived, and
/// whether they are events.
async fn begin(member: &Member, id: &str) -> (TcpStream, bool) {
    let mut stream = TcpStream::connect(member.front.address)
        .await
        .expect("it listens");
    let text = format!(
        "POST /resume/x HTTP/1.1\r\nhost: host\r\nauthorization: Bearer key\r\nx-id: {id}\r\n\
         x-wait-ms: 5000\r\nconnection: close\r\n\r\n"
    );
    let BufResult(written, _) = stream.write_all(text.into_bytes()).await;
    written.expect("the router reads the request");
    let end = event(2) + "\r\n";
    let received = read_until(&mut stream, &end).await;
    (stream, received.ends_with(&end))
}

/// Begins streams at each router; returns the ids of those whose caller got events, and all open
/// connections.
async fn begin_streams(members: &[Member], name: &str) -> (Vec<String>, Vec<TcpStream>) {
    let ids: Vec<String> = (0..STREAMS * members.len())
        .map(|number| format!("{name}{number}"))
        .collect();
    let started = ids.iter().zip(members.iter().cycle());
    let begun = started.map(|(id, member)| begin(member, id));
    let (connections, has_events): (Vec<_>, Vec<_>) = futures_util::future::join_all(begun)
        .await
        .into_iter()
        .unzip();
    let begun = ids.into_iter().zip(has_events).filter(|(_, has)| *has);
    (begun.map(|(id, _)| id).collect(), connections)
}

/// Returns the versions of the servers that received requests whose header `name` is `id`.
fn versions_used(server: &Server, name: &str, id: &str) -> Vec<&'static str> {
    let received = server.received();
    let of_stream = received
        .iter()
        .filter(|head| header(head, name).as_deref() == Some(id));
    let servers = of_stream.filter_map(|head| header(head, "x-server"));
    let number = |server: String| server.trim_start_matches("engines").parse::<usize>();
    let numbers = servers.map(|s| number(s).expect("it is an engine"));
    numbers.map(|number| VERSIONS[number]).collect()
}

/// Has callers take up streams at routers that have started, each trying again a few times; returns the
/// ids of those that did not go on.
async fn take_up(
    members: &[Member],
    ids: &[String],
    (before, after): (&Server, &Server),
) -> Vec<String> {
    const TRIES: usize = 3;
    let mut refused = Vec::new();
    for (id, member) in ids.iter().zip(members.iter().cycle()) {
        let headers = format!("last-event-id: 2\r\nx-resumes: {id}\r\n");
        let mut goes_on = false;
        for _ in 0..TRIES {
            let response = member.front.call("/resume/x", &headers).await;
            goes_on = response.contains(&event(4));
            if goes_on {
                break;
            }
            assert_eq!(status(&response), 503, "{response}");
            compio::time::sleep(Duration::from_millis(200)).await;
        }
        if !goes_on {
            refused.push(id.clone());
            continue;
        }
        let began = versions_used(before, "x-id", id);
        let last = began.last().expect("it was begun");
        assert_eq!(versions_used(after, "x-resumes", id), [*last], "{id}");
    }
    refused
}

/// Makes the store unusable.
fn disturb(tables: &Tables, silent: bool) {
    tables.silent.set(silent);
    tables.away.set(!silent);
}

/// Restarts all routers while the store is unusable, and has it answer again.
async fn restart_all(members: Vec<Member>, server: &Server, tables: &Rc<Tables>) -> Vec<Member> {
    drop(members);
    let members = Member::start_all(server, tables, true);
    compio::time::sleep(Duration::from_millis(300)).await;
    tables.silent.set(false);
    tables.away.set(false);
    compio::time::sleep(SETTLE_TIME).await;
    members
}

// Guards against LOST: nothing but the routers that began them knew the versions of streams that
// began while the store took no record, so these were refused once all routers had restarted.
#[test]
fn streams_begun_without_store_go_on_after_restart_of_all() {
    run(async {
        for silent in [true, false] {
            let tables = Rc::new(Tables::default());
            let (before, after) = (hanging_server(), resuming_server());
            let members = Member::start_all(&before, &tables, false);
            compio::time::sleep(SETTLE_TIME).await;
            disturb(&tables, silent);
            compio::time::sleep(NOTICE_TIME).await;
            let (ids, _connections) = begin_streams(&members, "s").await;
            assert!(ids.len() > STREAMS, "most are begun: {ids:?}");
            let members = restart_all(members, &after, &tables).await;
            let refused = take_up(&members, &ids, (&before, &after)).await;
            assert!(refused.is_empty(), "of {} streams {refused:?}", ids.len());
        }
    });
}

// Guards against LOST: the store learned a stream's version up to 250 ms after its caller had got
// events, so the last streams before a restart of all routers were refused.
#[test]
fn streams_begun_right_before_restart_of_all_go_on() {
    run(async {
        let tables = Rc::new(Tables::default());
        let (before, after) = (hanging_server(), resuming_server());
        let members = Member::start_all(&before, &tables, false);
        compio::time::sleep(SETTLE_TIME).await;
        let (ids, _connections) = begin_streams(&members, "s").await;
        assert!(ids.len() > STREAMS, "most are begun: {ids:?}");
        let members = restart_all(members, &after, &tables).await;
        let refused = take_up(&members, &ids, (&before, &after)).await;
        assert!(refused.is_empty(), "of {} streams {refused:?}", ids.len());
    });
}
