//! The window of connection attempts follows the capacity of the path.

use std::collections::VecDeque;
use std::time::Duration;

use iristhread_core::ConnectWindow;
use iristhread_core::Now;
use test_case::test_case;

/// Time that an attempt takes on an idle path.
const ROUND_TRIP: Duration = Duration::from_millis(5);

/// A path that answers attempts one after the other, and as many callers as the window takes.
struct Path {
    pace: Duration,
    now: Now,
    /// When the open attempts began.
    open: VecDeque<Now>,
    window: ConnectWindow,
    delays: Vec<Duration>,
}

impl Path {
    fn bearing(per_s: u32) -> Self {
        Path {
            pace: Duration::from_secs(1) / per_s,
            now: Now::ZERO,
            open: VecDeque::new(),
            window: ConnectWindow::default(),
            delays: Vec::new(),
        }
    }

    /// Lets as many callers in as the window takes, and answers one attempt.
    fn step(&mut self) {
        while self.window.has_room(self.open.len()) {
            self.open.push_back(self.now);
        }
        self.now += self.pace;
        let Some(began) = self.open.pop_front() else {
            return;
        };
        let delay = (self.now - began).saturating_sub(ROUND_TRIP);
        self.delays.push(delay);
        self.window.apply(self.now, began, delay, self.open.len());
    }
}

/// A crowd without end keeps the path busy, and what is read is not late.
#[test_case(60; "slow")]
#[test_case(200; "middling")]
#[test_case(2_000; "fast")]
fn a_crowd_keeps_the_path_busy_and_short(per_s: u32) {
    let mut path = Path::bearing(per_s);
    for _ in 0..per_s * 10 {
        path.step();
    }
    let later = &path.delays[path.delays.len() / 5..];
    let longest = later.iter().max();
    assert!(longest < Some(&Duration::from_millis(150)), "{longest:?}");
    assert_eq!(path.delays.len(), per_s as usize * 10);
}

/// A path that has recovered takes many again.
#[test]
fn the_window_grows_again() {
    let mut path = Path::bearing(60);
    (0..600).for_each(|_| path.step());
    let slow = path.window.size();
    path.pace = Duration::from_millis(1);
    (0..2_000).for_each(|_| path.step());
    assert!(
        path.window.size() >= slow * 4,
        "{slow} {}",
        path.window.size()
    );
}

/// The window of an instance that is not crowded stays as it is.
#[test]
fn an_unused_window_does_not_grow() {
    let mut window = ConnectWindow::default();
    let before = window.size();
    for _ in 0..10_000 {
        window.apply(Now::ZERO, Now::ZERO, Duration::ZERO, 1);
    }
    assert_eq!(window.size(), before);
}

/// On a path that is slow for another reason a few requests are read at once.
#[test]
fn the_window_of_a_slow_path_never_closes() {
    let mut window = ConnectWindow::default();
    for number in 0..1_000 {
        let began = Duration::from_secs(number);
        let delay = Duration::from_millis(700);
        window.apply(began + delay, began, delay, 0);
    }
    assert!(window.has_room(3));
}
