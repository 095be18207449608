//! A server that answers with the very bytes that a test wants.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use compio::io::{AsyncReadExt, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use hibiscusrail_core::Event;
use hibiscusrail_core::configuration::{Object, Version};
use hibiscusrail_load::deployment::own_host;
use hibiscusrail_net::bind;
use hibiscusrail_store::object::ObjectRow;

use crate::support::Stage;

/// Stands for the request's id in an answer.
pub const ID: &str = "{id}";

/// What a raw server does with a connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum After {
    /// It closes it.
    Close,
    /// It waits for the next request.
    Keep,
}

/// Requests as they came, head and body.
pub type Seen = Rc<RefCell<Vec<String>>>;

/// Moves all plain servers to a raw one with this answer to every request.
pub fn replace_plains(stage: &Stage, answer: &'static str, after: After) -> Seen {
    let address = SocketAddr::from((own_host(), 30_000));
    let listener = bind(address).expect("the loopback address is free");
    let seen = Seen::default();
    compio::runtime::spawn(accept(listener, answer, after, Rc::clone(&seen))).detach();
    for object in stage.deployment.objects() {
        if let ObjectRow::Server { ref service, .. } = object
            && *service == stage.deployment.plain
        {
            move_server(stage, object, address);
        }
    }
    seen
}

/// Moves a server to another address, in force at every router.
pub fn move_server(stage: &Stage, row: ObjectRow, address: SocketAddr) {
    let Some(Object::Server(mut server)) = row.into_object() else {
        panic!("the row is a server");
    };
    server.address = address;
    for shell in &stage.routers {
        let moved = Object::Server(server.clone());
        shell.event(Event::Objects(vec![(Version(2), moved)]));
    }
}

async fn accept(listener: TcpListener, answer: &'static str, after: After, seen: Seen) {
    while let Ok((stream, _)) = listener.accept().await {
        compio::runtime::spawn(respond(stream, answer, after, Rc::clone(&seen))).detach();
    }
}

async fn respond(mut stream: TcpStream, answer: &'static str, after: After, seen: Seen) {
    while exchange(&mut stream, answer, &seen).await.is_some() && after == After::Keep {}
    // The router may have closed the connection.
    let _ = stream.close().await;
}

/// Answers one request; none when the connection has ended.
async fn exchange(stream: &mut TcpStream, answer: &str, seen: &Seen) -> Option<()> {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        request.push(stream.read_u8().await.ok()?);
    }
    let request = String::from_utf8_lossy(&request).into_owned();
    let id = header(&request, "x-request-id").unwrap_or_default();
    seen.borrow_mut().push(request);
    let bytes = answer.replace(ID, &id).into_bytes();
    stream.write_all(bytes).await.0.ok()
}

/// Returns the value of a request's header.
pub fn header(request: &str, name: &str) -> Option<String> {
    request.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}
