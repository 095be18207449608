//! Readiness of sockets, registered once for the whole life of a socket.
//!
//! compio's polling driver registers a socket anew for each wait: a readiness costs two system calls
//! besides the read, and each poll of the driver five. The event loop's own poller costs one system
//! call per wait, however many sockets are ready. compio's driver is one of its sources, for
//! timers and all other operations.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::ops::Deref;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use compio::runtime::fd::PollFd;
use rustix::event::Timespec;
use rustix::event::epoll::{self, CreateFlags, Event, EventData, EventFlags};

/// Maximum events taken from the system at once; the rest is taken in the next turn.
const MAX_EVENTS: usize = 256;
/// Key of compio's driver among the sources.
const DRIVER_KEY: u64 = 0;

thread_local! {
    /// Poller of the event loop that runs on this thread.
    static CURRENT: RefCell<Option<Rc<Poller>>> = const { RefCell::new(None) };
}

/// What was reported of a socket and nobody has used yet.
#[derive(Debug, Default)]
struct Source {
    readable: Cell<bool>,
    writable: Cell<bool>,
    /// Whether the peer has closed its side, so that reads don't wait any more. An error alone does not
    /// count: a datagram socket goes on after one.
    ended: Cell<bool>,
    reader: RefCell<Option<Waker>>,
    writer: RefCell<Option<Waker>>,
}

impl Source {
    fn report(&self, flags: EventFlags) {
        let ended = EventFlags::RDHUP | EventFlags::HUP;
        if flags.intersects(ended) {
            self.ended.set(true);
        }
        if flags.intersects(EventFlags::IN | EventFlags::ERR | ended) {
            self.readable.set(true);
            wake(&self.reader);
        }
        if flags.intersects(EventFlags::OUT | EventFlags::HUP | EventFlags::ERR) {
            self.writable.set(true);
            wake(&self.writer);
        }
    }
}

fn wake(waiting: &RefCell<Option<Waker>>) {
    let waker = waiting.borrow_mut().take();
    if let Some(waker) = waker {
        waker.wake();
    }
}

/// Waits for `ready` to be set, and clears it.
fn poll_flag(cx: &Context<'_>, ready: &Cell<bool>, waiting: &RefCell<Option<Waker>>) -> Poll<()> {
    if ready.take() {
        return Poll::Ready(());
    }
    let mut waiting = waiting.borrow_mut();
    match waiting.as_mut() {
        Some(waker) => waker.clone_from(cx.waker()),
        None => *waiting = Some(cx.waker().clone()),
    }
    Poll::Pending
}

/// The sockets that an event loop waits for.
#[derive(Debug)]
pub(crate) struct Poller {
    epoll: OwnedFd,
    sources: RefCell<HashMap<u64, Rc<Source>>>,
    next_key: Cell<u64>,
}

impl Poller {
    /// Creates a poller that also waits for `driver`.
    pub(crate) fn new(driver: impl AsFd) -> io::Result<Self> {
        let epoll = epoll::create(CreateFlags::CLOEXEC)?;
        epoll::add(
            &epoll,
            driver,
            EventData::new_u64(DRIVER_KEY),
            EventFlags::IN,
        )?;
        Ok(Self {
            epoll,
            sources: RefCell::default(),
            next_key: Cell::new(DRIVER_KEY + 1),
        })
    }

    /// Makes `poller` that of this thread.
    pub(crate) fn install(poller: Option<Rc<Self>>) {
        CURRENT.set(poller);
    }

    /// Waits for events and wakes the tasks that wait for them; returns whether the driver has events.
    pub(crate) fn wait(&self, timeout: Option<Duration>) -> io::Result<bool> {
        let timeout = timeout.map(|t| Timespec::try_from(t).unwrap_or_default());
        let mut events = [const { MaybeUninit::<Event>::uninit() }; MAX_EVENTS];
        let (events, _) = match epoll::wait(&self.epoll, &mut events, timeout.as_ref()) {
            Ok(events) => events,
            Err(rustix::io::Errno::INTR) => return Ok(false),
            Err(error) => return Err(error.into()),
        };
        let mut driver_ready = false;
        for event in events.iter() {
            let (key, flags) = (event.data.u64(), event.flags);
            if key == DRIVER_KEY {
                driver_ready = true;
                continue;
            }
            let source = self.sources.borrow().get(&key).cloned();
            if let Some(source) = source {
                source.report(flags);
            }
        }
        Ok(driver_ready)
    }
}

/// Registration of a socket with a poller.
#[derive(Debug)]
struct Registration {
    poller: Rc<Poller>,
    key: u64,
    source: Rc<Source>,
}

impl Registration {
    fn new(poller: Rc<Poller>, socket: impl AsFd) -> io::Result<Self> {
        let key = poller.next_key.get();
        poller.next_key.set(key + 1);
        let source = Rc::new(Source::default());
        let flags = EventFlags::IN | EventFlags::OUT | EventFlags::RDHUP | EventFlags::ET;
        epoll::add(&poller.epoll, socket, EventData::new_u64(key), flags)?;
        poller.sources.borrow_mut().insert(key, Rc::clone(&source));
        Ok(Self {
            poller,
            key,
            source,
        })
    }
}

/// How the readiness of a socket becomes known.
#[derive(Debug)]
enum Watch<T: AsFd> {
    /// By the poller of the thread's event loop.
    Poller(Registration, T),
    /// By compio's driver, on a runtime without an event loop of this crate.
    Driver(PollFd<T>),
}

/// A socket with its readiness.
///
/// A readiness is reported once: whoever waits for it has to read or write until that would block, or
/// to call [`Self::keep_readable`].
#[derive(Debug)]
pub struct Watched<T: AsFd + 'static>(Watch<T>);

impl<T: AsFd + 'static> Watched<T> {
    /// Watches a socket that does not block.
    ///
    /// # Errors
    ///
    /// Fails if the system does not register the socket.
    pub fn new(socket: T) -> io::Result<Self> {
        let poller = CURRENT.with_borrow(Clone::clone);
        Ok(Self(match poller {
            Some(poller) => Watch::Poller(Registration::new(poller, &socket)?, socket),
            None => Watch::Driver(PollFd::new(socket)?),
        }))
    }

    /// Waits until the socket may be readable.
    ///
    /// # Errors
    ///
    /// Fails if the driver does not register the socket.
    pub fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &self.0 {
            Watch::Poller(registration, _) => {
                let source = &registration.source;
                if !source.ended.get() {
                    ready!(poll_flag(cx, &source.readable, &source.reader));
                }
                Poll::Ready(Ok(()))
            }
            Watch::Driver(socket) => socket.poll_read_ready(cx),
        }
    }

    /// Waits until the socket may be writable.
    ///
    /// # Errors
    ///
    /// Fails if the driver does not register the socket.
    pub fn poll_writable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &self.0 {
            Watch::Poller(registration, _) => {
                let source = &registration.source;
                poll_flag(cx, &source.writable, &source.writer).map(Ok)
            }
            Watch::Driver(socket) => socket.poll_write_ready(cx),
        }
    }

    /// Waits until the socket may be readable.
    ///
    /// # Errors
    ///
    /// Fails if the driver does not register the socket.
    pub async fn readable(&self) -> io::Result<()> {
        poll_fn(|cx| self.poll_readable(cx)).await
    }

    /// Waits until the socket may be writable.
    ///
    /// # Errors
    ///
    /// Fails if the driver does not register the socket.
    pub async fn writable(&self) -> io::Result<()> {
        poll_fn(|cx| self.poll_writable(cx)).await
    }

    /// Makes the next wait for reading end at once, as there may be more to read.
    pub fn keep_readable(&self) {
        if let Watch::Poller(registration, _) = &self.0 {
            registration.source.readable.set(true);
        }
    }
}

impl<T: AsFd> Drop for Watch<T> {
    fn drop(&mut self) {
        if let Self::Poller(registration, socket) = self {
            let Registration { poller, key, .. } = registration;
            poller.sources.borrow_mut().remove(key);
            // Closing the socket does not end its registration if there is another handle to it.
            let _ = epoll::delete(&poller.epoll, socket);
        }
    }
}

impl<T: AsFd> Deref for Watched<T> {
    type Target = T;

    fn deref(&self) -> &T {
        match &self.0 {
            Watch::Poller(_, socket) => socket,
            Watch::Driver(socket) => socket,
        }
    }
}
