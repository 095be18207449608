//! Order of urgent and other tasks, and the measured usage of the loop.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hibiscusrail_net::EventLoop;
use hibiscusrail_net::event_loop::{spawn, spawn_urgent, used, yield_now};

/// Normal tasks that are always ready, as in a flood of connections.
const FLOOD_TASKS: usize = 2_000;
/// Normal tasks that may run between two steps of an urgent task.
const MAX_STEPS_BETWEEN: usize = 32;

fn run(main: impl Future<Output = ()>) {
    let event_loop = EventLoop::new(Instant::now).expect("the event loop is created");
    event_loop.run(main);
}

/// Spawns tasks that never rest and count their steps.
fn spawn_flood(steps: &Rc<Cell<usize>>) {
    for _ in 0..FLOOD_TASKS {
        let steps = Rc::clone(steps);
        spawn(async move {
            loop {
                steps.set(steps.get() + 1);
                yield_now().await;
            }
        });
    }
}

/// Guards against knowledge of the fleet that a flooded router handles late (DRAIN): each step of
/// its tasks waited for the whole queue.
#[test]
fn spawn_urgent_task_does_not_wait_for_flood() {
    run(async {
        let steps = Rc::new(Cell::new(0));
        spawn_flood(&steps);
        let between = Rc::new(RefCell::new(Vec::new()));
        let (seen, counted) = (Rc::clone(&steps), Rc::clone(&between));
        let (done, waiting) = futures_channel::oneshot::channel();
        spawn_urgent(async move {
            let mut last = seen.get();
            for _ in 0..100 {
                yield_now().await;
                counted.borrow_mut().push(seen.get() - last);
                last = seen.get();
            }
            let _ = done.send(());
        });
        waiting.await.expect("the urgent task ends");
        let most = between.borrow().iter().copied().max();
        assert!(most <= Some(MAX_STEPS_BETWEEN), "{most:?}");
    });
}

#[test]
fn spawn_in_urgent_task_is_urgent() {
    run(async {
        let steps = Rc::new(Cell::new(0));
        spawn_flood(&steps);
        let (done, waiting) = futures_channel::oneshot::channel();
        let seen = Rc::clone(&steps);
        spawn_urgent(async move {
            let before = seen.get();
            spawn(async move {
                yield_now().await;
                let _ = done.send(seen.get() - before);
            });
        });
        let waited = waiting.await.expect("the inner task ends");
        assert!(waited <= 2 * MAX_STEPS_BETWEEN, "{waited}");
    });
}

#[test]
fn spawn_urgent_leaves_time_to_others() {
    run(async {
        let steps = Rc::new(Cell::new(0));
        spawn_flood(&steps);
        spawn_urgent(async {
            loop {
                yield_now().await;
            }
        });
        while steps.get() < 2 * FLOOD_TASKS {
            yield_now().await;
        }
    });
}

thread_local! {
    /// Time that the tasks of a test used, as seen by the event loop's clock.
    static USED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    static STARTED: Instant = Instant::now();
}

/// Returns a time that only [`work`] advances.
fn used_time() -> Instant {
    STARTED.with(|s| *s) + USED.get()
}

fn work(time: Duration) {
    USED.set(USED.get() + time);
}

#[test]
fn used_divides_time_by_queue() {
    let event_loop = EventLoop::new(used_time).expect("the event loop is created");
    event_loop.run(async {
        spawn(async { work(Duration::from_millis(3)) });
        spawn_urgent(async { work(Duration::from_millis(5)) });
        while USED.get() < Duration::from_millis(8) {
            yield_now().await;
        }
        // A turn is counted at its end.
        compio::time::sleep(Duration::from_millis(1)).await;
        let used = used();
        assert_eq!(used.urgent, Duration::from_millis(5));
        assert_eq!(used.tasks, Duration::from_millis(3));
        assert_eq!(used.total(), Duration::from_millis(8));
    });
    assert_eq!(used().total(), Duration::ZERO);
}

#[test]
fn usage_counts_time_of_all_tasks() {
    let event_loop = EventLoop::new(used_time).expect("the event loop is created");
    let usage = Rc::clone(event_loop.usage());
    event_loop.run(async {
        let work_often = || async {
            for _ in 0..10 {
                work(Duration::from_millis(3));
                yield_now().await;
            }
        };
        spawn(work_often());
        spawn_urgent(work_often());
        while USED.get() < Duration::from_millis(60) {
            yield_now().await;
        }
        compio::time::sleep(Duration::from_millis(1)).await;
        assert_eq!(usage.take_busy(), Duration::from_millis(60));
        assert_eq!(usage.take_busy(), Duration::ZERO);
    });
}
