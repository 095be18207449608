//! Event loop that runs urgent tasks before all others and measures how much of its time is used.
//!
//! Tasks run in order of arrival, so in a flood of connections each step of a task waits for
//! hundreds of others. Urgent tasks have a queue of their own, and all of them that can make
//! progress run before each small batch of the others. A task spawned with [`spawn`] is as urgent as
//! the task that spawns it, so the connections of an urgent task are urgent too.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::os::fd::{AsRawFd, BorrowedFd};
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

use compio::runtime::Runtime;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt, StreamExt};

use crate::poller::Poller;

/// Maximum tasks that run between two looks at the urgent ones.
const BATCH_TASKS: usize = 16;
/// Longest wait during which a wake-up from another thread goes unnoticed. To be told of those at once,
/// compio's driver needs some system calls for each wait, which only an idle loop can afford.
const MAX_UNNOTIFIED_WAIT: Duration = Duration::from_millis(50);

thread_local! {
    /// Urgent tasks of the event loop that runs on this thread.
    static URGENT: RefCell<Option<Rc<UrgentTasks>>> = const { RefCell::new(None) };
    /// Whether an urgent task is running.
    static IS_URGENT: Cell<bool> = const { Cell::new(false) };
    /// Usage of the event loop that runs on this thread.
    static USAGE: RefCell<Option<Rc<Usage>>> = const { RefCell::new(None) };
}

/// Urgent tasks that have not run yet.
#[derive(Default)]
struct UrgentTasks {
    spawned: RefCell<Vec<LocalBoxFuture<'static, ()>>>,
}

impl UrgentTasks {
    /// Runs the urgent tasks that can make progress.
    fn run(
        &self,
        running: &mut FuturesUnordered<LocalBoxFuture<'static, ()>>,
        cx: &mut Context<'_>,
    ) {
        IS_URGENT.set(true);
        loop {
            running.extend(self.spawned.take());
            let ended = matches!(running.poll_next_unpin(cx), Poll::Ready(Some(())));
            if !ended && self.spawned.borrow().is_empty() {
                break;
            }
        }
        IS_URGENT.set(false);
    }

    fn is_empty(&self) -> bool {
        self.spawned.borrow().is_empty()
    }
}

/// Spawns a task that runs to its end and is as urgent as the one that spawns it.
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    if IS_URGENT.get() {
        spawn_urgent(contain(task));
    } else {
        compio::runtime::spawn(task).detach();
    }
}

/// Spawns an urgent task; on a runtime without [`EventLoop`], a task like all others.
///
/// Urgent tasks delay everything else, so each step has to be short and their number bounded. A panic
/// in one ends the event loop, unlike in the tasks that it spawns: nothing would take its place.
pub fn spawn_urgent(task: impl Future<Output = ()> + 'static) {
    match URGENT.with_borrow(Clone::clone) {
        Some(urgent) => urgent.spawned.borrow_mut().push(Box::pin(task)),
        None => compio::runtime::spawn(task).detach(),
    }
}

/// Lets all other ready tasks run once.
pub async fn yield_now() {
    let mut yielded = false;
    poll_fn(|cx| {
        if std::mem::replace(&mut yielded, true) {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// Runs a task and logs its panic, which must not end the other tasks.
async fn contain(task: impl Future<Output = ()>) {
    if AssertUnwindSafe(task).catch_unwind().await.is_err() {
        log::error!(step = "urgent"; "task_panicked");
    }
}

/// Time that an event loop used since it began, by what it did. The rest of the time it waited.
#[hibiscusrail_macros::value]
#[derive(Default)]
pub struct Used {
    /// Urgent tasks.
    pub urgent: Duration,
    /// All other tasks.
    pub tasks: Duration,
    /// Asking the system for events between tasks.
    pub polling: Duration,
}

impl Used {
    /// Returns the sum.
    #[must_use]
    pub fn total(self) -> Duration {
        self.urgent + self.tasks + self.polling
    }
}

/// Time for which an event loop ran tasks.
#[derive(Debug, Default)]
pub struct Usage {
    used: Cell<Used>,
    /// Sum of `used` at the last call of [`Self::take_busy`].
    taken: Cell<Duration>,
}

impl Usage {
    /// Returns the time for which tasks ran since the last call.
    pub fn take_busy(&self) -> Duration {
        let total = self.used.get().total();
        total - self.taken.replace(total)
    }

    /// Returns the time used since the event loop began.
    #[must_use]
    pub fn used(&self) -> Used {
        self.used.get()
    }

    /// Adds a turn of the event loop that began at the first of these times; the others are the ends of
    /// its parts.
    fn add(&self, [began, urgent, tasks, polling]: [Instant; 4]) {
        let mut used = self.used.get();
        used.urgent += urgent.saturating_duration_since(began);
        used.tasks += tasks.saturating_duration_since(urgent);
        used.polling += polling.saturating_duration_since(tasks);
        self.used.set(used);
    }
}

/// Returns the time that the event loop of this thread used; zero on a runtime without one.
#[must_use]
pub fn used() -> Used {
    USAGE.with_borrow(|usage| usage.as_ref().map(|u| u.used()).unwrap_or_default())
}

/// Waker of the urgent tasks and the main one: records that one of them can make progress.
struct Woken {
    is_set: AtomicBool,
    /// Ends a wait of the event loop, also from another thread.
    driver: Waker,
}

impl Wake for Woken {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.is_set.store(true, Ordering::Release);
        self.driver.wake_by_ref();
    }
}

/// An event loop with a queue for urgent tasks.
pub struct EventLoop {
    runtime: Runtime,
    poller: Rc<Poller>,
    now: fn() -> Instant,
    usage: Rc<Usage>,
}

impl std::fmt::Debug for EventLoop {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EventLoop").finish_non_exhaustive()
    }
}

impl EventLoop {
    /// Creates an event loop that reads its clock with `now`.
    ///
    /// # Errors
    ///
    /// Fails if the system's event queue can't be created.
    pub fn new(now: fn() -> Instant) -> io::Result<Self> {
        let runtime = Runtime::builder().event_interval(BATCH_TASKS).build()?;
        #[expect(
            unsafe_code,
            reason = "compio offers no borrowed descriptor of its driver"
        )]
        // SAFETY: the descriptor is that of the runtime's driver, which lives at least as long as
        // `runtime`, and it is used only while this function runs.
        let driver = unsafe { BorrowedFd::borrow_raw(runtime.as_raw_fd()) };
        let poller = Rc::new(Poller::new(driver)?);
        Ok(Self {
            runtime,
            poller,
            now,
            usage: Rc::default(),
        })
    }

    /// Returns the measured usage.
    #[must_use]
    pub fn usage(&self) -> &Rc<Usage> {
        &self.usage
    }

    /// Runs `main` and all spawned tasks until `main` is complete.
    pub fn run<F: Future>(&self, main: F) -> F::Output {
        let urgent = Rc::new(UrgentTasks::default());
        URGENT.set(Some(Rc::clone(&urgent)));
        USAGE.set(Some(Rc::clone(&self.usage)));
        Poller::install(Some(Rc::clone(&self.poller)));
        let output = self.runtime.enter(|| {
            let woken = Arc::new(Woken {
                is_set: AtomicBool::new(true),
                driver: self.runtime.waker(),
            });
            let waker = Waker::from(Arc::clone(&woken));
            let mut cx = Context::from_waker(&waker);
            let mut main = pin!(main);
            let mut running = FuturesUnordered::new();
            loop {
                let began = (self.now)();
                woken.is_set.store(false, Ordering::Release);
                urgent.run(&mut running, &mut cx);
                let urgent_end = (self.now)();
                if let Poll::Ready(output) = main.as_mut().poll(&mut cx) {
                    self.runtime.run();
                    return output;
                }
                let has_tasks = self.runtime.run();
                let tasks_end = (self.now)();
                let has_work =
                    has_tasks || !urgent.is_empty() || woken.is_set.load(Ordering::Acquire);
                if has_work {
                    self.wait(Some(Duration::ZERO));
                }
                self.usage.add([began, urgent_end, tasks_end, (self.now)()]);
                if !has_work {
                    self.wait(self.runtime.current_timeout());
                }
            }
        });
        Poller::install(None);
        USAGE.set(None);
        URGENT.set(None);
        output
    }

    /// Waits for events or the next timer, and wakes the tasks that wait for them.
    fn wait(&self, timeout: Option<Duration>) {
        let mut timeout = timeout;
        // A flush takes the notification of an operation that another thread has completed.
        let notified = timeout.is_none_or(|t| t > MAX_UNNOTIFIED_WAIT) && self.runtime.flush();
        if notified {
            timeout = Some(Duration::ZERO);
        }
        let driver_ready = self.poller.wait(timeout).expect("the poller is open");
        // Without events of its own, the driver still has timers.
        if notified || driver_ready || self.runtime.current_timeout() == Some(Duration::ZERO) {
            self.runtime.poll_with(Some(Duration::ZERO));
        }
    }
}
