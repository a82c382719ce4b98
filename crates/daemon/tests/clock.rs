//! The clock goes on while the machine is suspended, in which the runtime's timers stand
//! still: after 5 s an instance went by ages, deadlines and peers of 5 s before.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use iristhread_daemon::Clock;
use iristhread_daemon::ClockSource;
use iristhread_daemon::SuspensionWatch;

/// Clocks that a test moves: time that ran, and time that the machine was suspended.
#[derive(Debug)]
struct MovedClocks {
    began: Instant,
    moved: Mutex<(Duration, Duration)>,
}

impl MovedClocks {
    fn new() -> &'static MovedClocks {
        Box::leak(Box::new(MovedClocks {
            began: Instant::now(),
            moved: Mutex::default(),
        }))
    }

    fn run(&self, time: Duration) {
        self.moved.lock().unwrap().0 += time;
    }

    fn suspend(&self, time: Duration) {
        self.moved.lock().unwrap().1 += time;
    }
}

impl ClockSource for MovedClocks {
    fn boot_time(&self) -> Duration {
        let moved = self.moved.lock().unwrap();
        Duration::from_secs(1_000) + moved.0 + moved.1
    }

    fn running_time(&self) -> Instant {
        self.began + self.moved.lock().unwrap().0
    }
}

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn a_suspension_counts() {
    let clocks = MovedClocks::new();
    let clock = Clock::with(clocks);
    clocks.run(s(3));
    assert_eq!(clock.now(), s(3));
    clocks.suspend(s(5));
    assert_eq!(clock.now(), s(8));
}

#[test]
fn a_deadline_is_that_much_nearer_for_timers() {
    let clocks = MovedClocks::new();
    let clock = Clock::with(clocks);
    let timer = |seconds: u64| tokio::time::Instant::from_std(clocks.began + s(seconds));
    assert_eq!(clock.instant(s(10)), timer(10));
    clocks.run(s(1));
    clocks.suspend(s(5));
    assert_eq!(clock.instant(s(10)), timer(5), "4 s are left, 1 s has run");
    clocks.suspend(s(60));
    assert_eq!(clock.instant(s(10)), timer(1), "what is over is due now");
}

#[test]
fn a_suspension_is_noticed_once() {
    let clocks = MovedClocks::new();
    let mut watch = SuspensionWatch::new(Clock::with(clocks));
    clocks.run(s(60));
    assert_eq!(
        watch.suspended_for(),
        None,
        "a process that stands still is none"
    );
    clocks.suspend(s(4));
    clocks.run(s(1));
    assert_eq!(watch.suspended_for(), Some(s(4)));
    assert_eq!(watch.suspended_for(), None);
}

#[test]
fn the_clocks_of_this_machine_go_on() {
    let clock = Clock::start();
    let before = clock.now();
    std::thread::sleep(Duration::from_millis(20));
    assert!(clock.now() >= before + Duration::from_millis(20));
}
