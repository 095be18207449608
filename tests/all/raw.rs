//! A server that responds with raw bytes given by the test.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use compio::io::{AsyncReadExt, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use hibiscusrail_core::Event;
use hibiscusrail_core::configuration::{Object, Version};
use hibiscusrail_load::deployment::unique_loopback_host;
use hibiscusrail_net::bind;
use hibiscusrail_store::object::ObjectRow;

use crate::support::TestFleet;

/// Placeholder for the request id in a raw response.
pub const ID_PLACEHOLDER: &str = "{id}";

/// What a raw server does with a connection after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum After {
    /// Closes the connection.
    Close,
    /// Waits for the next request.
    KeepOpen,
}

/// Heads of the requests received, in order.
pub type Heads = Rc<RefCell<Vec<String>>>;

/// Moves all plain servers to a new raw server; returns the heads of the requests it receives.
pub fn replace_plains(fleet: &TestFleet, response: &'static str, after: After) -> Heads {
    replace_servers(fleet, &fleet.deployment.plain_service, response, after)
}

/// Moves all servers of a service to a new raw server; returns the heads of the requests it receives.
pub fn replace_servers(
    fleet: &TestFleet,
    replaced: &str,
    response: &'static str,
    after: After,
) -> Heads {
    let address = SocketAddr::from((unique_loopback_host(), 30_000));
    let listener = bind(address).expect("the loopback address is free");
    let heads = Heads::default();
    compio::runtime::spawn(accept(listener, response, after, Rc::clone(&heads))).detach();
    for object in fleet.deployment.objects() {
        if let ObjectRow::Server { ref service, .. } = object
            && *service == replaced
        {
            move_server(fleet, object, address);
        }
    }
    heads
}

/// Changes a server's address in the configuration of every router.
pub fn move_server(fleet: &TestFleet, row: ObjectRow, address: SocketAddr) {
    let Some(Object::Server(mut server)) = row.into_object() else {
        panic!("the row is a server");
    };
    server.address = address;
    for shell in &fleet.routers {
        let moved = Object::Server(server.clone());
        shell.handle(Event::ConfigRead(vec![(Version(2), moved)]));
    }
}

async fn accept(listener: TcpListener, response: &'static str, after: After, heads: Heads) {
    while let Ok((stream, _)) = listener.accept().await {
        compio::runtime::spawn(serve(stream, response, after, Rc::clone(&heads))).detach();
    }
}

async fn serve(mut stream: TcpStream, response: &'static str, after: After, heads: Heads) {
    while respond(&mut stream, response, &heads).await.is_some() && after == After::KeepOpen {}
    // The router may have closed the connection.
    let _ = stream.close().await;
}

/// Serves one request; returns `None` when the connection has ended.
async fn respond(stream: &mut TcpStream, response: &str, heads: &Heads) -> Option<()> {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        request.push(stream.read_u8().await.ok()?);
    }
    let request = String::from_utf8_lossy(&request).into_owned();
    let id = header(&request, "x-request-id").unwrap_or_default();
    heads.borrow_mut().push(request);
    let bytes = response.replace(ID_PLACEHOLDER, &id).into_bytes();
    stream.write_all(bytes).await.0.ok()
}

/// Returns the value of a header in a raw request head.
pub fn header(request: &str, name: &str) -> Option<String> {
    request.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}
