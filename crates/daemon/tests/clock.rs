//! The clock counts the time for which the machine is suspended. By a clock that stops meanwhile,
//! as the runtime's timers do, an instance acts after a suspension of 5 s on ages, deadlines and
//! peers that are 5 s out of date.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use iristhread_daemon::Clock;
use iristhread_daemon::ClockSource;
use iristhread_daemon::SuspensionDetector;

/// Clocks that a test advances: by time in which the machine runs, and by time in which it is
/// suspended.
#[derive(Debug)]
struct SimulatedClocks {
    began: Instant,
    /// The sum of the running time and the sum of the suspended time.
    elapsed: Mutex<(Duration, Duration)>,
}

impl SimulatedClocks {
    fn new() -> &'static SimulatedClocks {
        Box::leak(Box::new(SimulatedClocks {
            began: Instant::now(),
            elapsed: Mutex::default(),
        }))
    }

    fn run(&self, time: Duration) {
        self.elapsed.lock().unwrap().0 += time;
    }

    fn suspend(&self, time: Duration) {
        self.elapsed.lock().unwrap().1 += time;
    }
}

impl ClockSource for SimulatedClocks {
    fn boot_time(&self) -> Duration {
        let elapsed = self.elapsed.lock().unwrap();
        Duration::from_secs(1_000) + elapsed.0 + elapsed.1
    }

    fn running_time(&self) -> Instant {
        self.began + self.elapsed.lock().unwrap().0
    }
}

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn clock_includes_suspensions() {
    let clocks = SimulatedClocks::new();
    let clock = Clock::with(clocks);
    clocks.run(s(3));
    assert_eq!(clock.now(), s(3));
    clocks.suspend(s(5));
    assert_eq!(clock.now(), s(8));
}

#[test]
fn suspension_shortens_the_timer_of_a_deadline() {
    let clocks = SimulatedClocks::new();
    let clock = Clock::with(clocks);
    let timer = |seconds: u64| tokio::time::Instant::from_std(clocks.began + s(seconds));
    assert_eq!(clock.instant(s(10)), timer(10));
    clocks.run(s(1));
    clocks.suspend(s(5));
    assert_eq!(clock.instant(s(10)), timer(5), "4 s are left, 1 s has run");
    clocks.suspend(s(60));
    assert_eq!(
        clock.instant(s(10)),
        timer(1),
        "an expired deadline is due now"
    );
}

#[test]
fn suspension_is_reported_once() {
    let clocks = SimulatedClocks::new();
    let mut detector = SuspensionDetector::new(Clock::with(clocks));
    clocks.run(s(60));
    assert_eq!(
        detector.suspended_for(),
        None,
        "running time alone is no suspension"
    );
    clocks.suspend(s(4));
    clocks.run(s(1));
    assert_eq!(detector.suspended_for(), Some(s(4)));
    assert_eq!(detector.suspended_for(), None);
}

#[test]
fn system_clocks_advance() {
    let clock = Clock::start();
    let before = clock.now();
    std::thread::sleep(Duration::from_millis(20));
    assert!(clock.now() >= before + Duration::from_millis(20));
}
