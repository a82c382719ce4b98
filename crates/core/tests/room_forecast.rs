//! Forecast of room for refused requests.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway_scene;

use std::time::Duration;

use gateway_scene::ask;
use gateway_scene::ms;
use iristhread_core::ExpectedRoom;
use iristhread_core::PlacementRequest;
use iristhread_core::RequestRank;
use iristhread_core::RoomForecast;
use iristhread_core::ServiceLevel;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::proptest;

const NOW: Duration = ms(60_000);

/// A request of a route's rank that arrives now; it needs 1,200 tokens.
fn request(name: &str, rank: u8) -> PlacementRequest {
    let asked = ask(name);
    PlacementRequest {
        level: ServiceLevel {
            rank: RequestRank {
                workspace: 0,
                route: rank,
            },
            arrived: NOW,
            deadline: NOW + ms(39_000),
            ..asked.level
        },
        ..asked
    }
}

/// A forecast that has seen one session end each second.
fn forecast() -> RoomForecast {
    let mut forecast = RoomForecast::default();
    for second in 0..60 {
        let at = Duration::from_secs(second);
        forecast.asked(at, &request("r", 1));
        forecast.freed(at, &request("r", 1), None);
    }
    forecast
}

fn after(forecast: &RoomForecast, ask: &PlacementRequest, instances: usize) -> Duration {
    forecast.expected(NOW, ask, 0, instances).after.unwrap()
}

#[test]
fn room_comes_with_the_sessions_that_end_in_the_fleet() {
    let forecast = forecast();
    let alone = after(&forecast, &request("r", 0), 1);
    assert!((ms(900)..ms(1_200)).contains(&alone), "{alone:?}");
    let many = after(&forecast, &request("r", 0), 10);
    assert!(many.abs_diff(alone / 10) < ms(2), "{many:?}");
}

/// Guards against callers of a burst who are all told the same time.
#[test]
fn later_callers_are_told_later_times() {
    let mut forecast = forecast();
    let mut last = Duration::ZERO;
    for number in 0..5 {
        let ask = request(&format!("r{number}"), 0);
        let told = forecast.retry_after(NOW, &ask, forecast.expected(NOW, &ask, 0, 4), 0.0);
        assert!(told > last, "{told:?} after {last:?}");
        forecast.refused(NOW, &ask, told);
        last = told;
    }
    // A caller that came back no longer stands before the others.
    let next = request("next", 0);
    let before = after(&forecast, &next, 4);
    forecast.returned(&request("r0", 0));
    assert!(after(&forecast, &next, 4) < before);
    // Nor does one that did not come back.
    forecast.expire(NOW + ms(20_000));
    assert_eq!(forecast.due_tokens(NOW, &next, 0), 0);
}

/// Guards against less urgent requests that are told a time at which more urgent ones take the room.
#[test]
fn more_urgent_requests_come_first() {
    let mut forecast = forecast();
    let less_urgent = after(&forecast, &request("r", 2), 1);
    assert!(less_urgent > after(&forecast, &request("r", 1), 1) * 5);
    forecast.refused(NOW, &request("waits", 1), ms(400));
    assert_eq!(forecast.due_tokens(NOW, &request("r", 0), 0), 0);
    assert_eq!(forecast.due_tokens(NOW, &request("r", 1), 0), 1_200);
    // Refusals of others count with the mean of those refused here.
    assert_eq!(forecast.due_tokens(NOW, &request("r", 1), 2), 3_600);
}

/// Guards against a time that leads past the objective although room comes before.
#[test]
fn a_caller_that_can_be_in_time_is_told_a_time_within_its_objective() {
    let mut forecast = forecast();
    forecast.freed(NOW, &request("r", 1), Some(ms(300)));
    let room = ExpectedRoom {
        after: Some(ms(1_400)),
        waiting_tokens: 0,
    };
    let told = forecast.retry_after(NOW, &request("r", 1), room, 1.0);
    assert!((ms(1_400)..=ms(1_800)).contains(&told), "{told:?}");
    let late = ExpectedRoom {
        after: Some(ms(2_000)),
        waiting_tokens: 0,
    };
    let told = forecast.retry_after(NOW, &request("r", 1), late, 0.0);
    assert_eq!(told, ms(6_500));
}

proptest! {
    /// Guards against a time that the caller can't wait: a third of its time left at most, and
    /// without reason no less than 0.3 s.
    #[test]
    fn a_time_is_always_usable(
        left_ms in 0_u64..40_000,
        objective_ms in 0_u64..5_000,
        after_ms in proptest::option::of(0_u64..10_000_000),
        chance in (0..=100_u32).prop_map(|percent| f64::from(percent) / 100.0),
    ) {
        let mut ask = request("r", 1);
        ask.level.objective = ms(objective_ms);
        ask.level.deadline = NOW + ms(left_ms);
        let room = ExpectedRoom { after: after_ms.map(ms), waiting_tokens: 0 };
        let told = forecast().retry_after(NOW, &ask, room, chance);
        prop_assert!(told <= ms(left_ms) / 3);
        prop_assert!(told >= ms(300).min(ms(left_ms) / 3));
    }
}
