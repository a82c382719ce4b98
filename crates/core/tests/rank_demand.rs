//! The memory that requests of a rank need, by their arrivals and ends.

mod gateway_scene;

use std::time::Duration;

use iristhread_core::Now;
use iristhread_core::PlacementRequest;
use iristhread_core::RankDemand;
use iristhread_core::RequestRank;

use gateway_scene::ask;
use gateway_scene::ms;

const URGENT: RequestRank = RequestRank {
    workspace: 0,
    route: 0,
};
const PATIENT: RequestRank = RequestRank {
    workspace: 0,
    route: 2,
};

/// An urgent request that holds 1,000 tokens.
fn urgent() -> PlacementRequest {
    let mut ask = ask("r");
    ask.expected_tokens = Some(0);
    ask.level.rank = URGENT;
    ask
}

/// Requests that arrive each `every` from `from` to `to`, each of which holds memory for 500 ms.
fn feed(demand: &mut RankDemand, (from, to): (u64, u64), every: u64) {
    let ask = urgent();
    for at in (from..to).step_by(10) {
        if at % every == 0 {
            demand.arrived(ms(at), &ask);
            demand.placed(ms(at), &ask);
        }
        if at >= from + 500 && (at - 500) % every == 0 {
            demand.ended(ms(at), &ask, Some(ms(500)));
        }
    }
}

fn expected(demand: &RankDemand, now: Now) -> f64 {
    let need = demand.more_urgent(now, "engines", PATIENT);
    need.expected_tokens
}

/// By Little's law, ten requests a second that hold 1,000 tokens for half a second need 5,000.
/// Placed, they are in use already, so that only two deviations have to be kept free.
#[test]
fn need_is_rate_times_time() {
    let mut demand = RankDemand::default();
    feed(&mut demand, (0, 60_000), 100);
    let need = demand.more_urgent(ms(60_000), "engines", PATIENT);
    assert!(
        (4_500.0..5_500.0).contains(&need.expected_tokens),
        "{need:?}"
    );
    assert!((4_500.0..5_500.0).contains(&need.used_tokens), "{need:?}");
    let headroom = need.headroom_tokens(1.0);
    assert!((3_500.0..5_500.0).contains(&headroom), "{headroom}");
    // Four times the instances and as many engines as before: each bears four times the need.
    let scaled = need.headroom_tokens(4.0);
    assert!(scaled > headroom * 1.5, "{scaled}");
}

/// A burst must be known before it has filled the engines, and room that is kept for requests that
/// no longer come is wasted.
#[test]
fn the_need_follows_a_burst_and_decays() {
    let mut demand = RankDemand::default();
    feed(&mut demand, (0, 30_000), 200);
    let before = expected(&demand, ms(30_000));
    feed(&mut demand, (30_000, 32_000), 20);
    let during = expected(&demand, ms(32_000));
    assert!(during > before * 6.0, "{before} then {during}");
    let after = expected(&demand, ms(35_000));
    assert!(after < during / 2.0, "{during} then {after}");
    let later = expected(&demand, ms(60_000));
    assert!(later < before / 4.0, "{before} then {later}");
}

/// An instance of a large fleet sees a request every few seconds. Its rate must not swing between
/// nothing and many times the mean, or the headroom would.
#[test]
fn few_requests_give_a_steady_rate() {
    let mut demand = RankDemand::default();
    feed(&mut demand, (0, 60_000), 3_000);
    let (mut lowest, mut highest) = (f64::MAX, 0.0_f64);
    for from in (60_000..150_000).step_by(3_000) {
        feed(&mut demand, (from, from + 3_000), 3_000);
        lowest = lowest.min(expected(&demand, ms(from + 2_990)));
        highest = highest.max(expected(&demand, ms(from + 10)));
    }
    assert!(highest < lowest * 2.0, "{lowest} to {highest}");
}

/// Requests of the same or a less urgent rank need no room from others of that rank, and those
/// without a known time none either.
#[test]
fn only_more_urgent_ranks_count() {
    let mut demand = RankDemand::default();
    demand.arrived(ms(0), &urgent());
    demand.placed(ms(0), &urgent());
    assert_eq!(expected(&demand, ms(10)), 0.0);
    feed(&mut demand, (0, 5_000), 100);
    let need = demand.more_urgent(ms(5_000), "engines", URGENT);
    assert_eq!(need.headroom_tokens(1.0), 0.0);
    let need = demand.more_urgent(ms(5_000), "orders", PATIENT);
    assert_eq!(need.headroom_tokens(1.0), 0.0);
    assert!(expected(&demand, ms(5_000)) > 0.0);
}

/// Requests that are refused ask for room all the same: what they miss is kept free for them.
#[test]
fn refused_requests_raise_the_headroom() {
    let mut served = RankDemand::default();
    feed(&mut served, (0, 30_000), 100);
    let mut refused = served.clone();
    feed(&mut served, (30_000, 40_000), 100);
    for at in (30_000..40_000).step_by(100) {
        refused.arrived(ms(at), &urgent());
    }
    let headroom = |demand: &RankDemand| {
        let need = demand.more_urgent(Duration::from_secs(40), "engines", PATIENT);
        need.headroom_tokens(1.0)
    };
    assert!(headroom(&refused) > headroom(&served) + 1_000.0);
}

/// If refused runs counted as memory that becomes free, a request would wait for room that doesn't
/// come.
#[test]
fn runs_that_engines_refuse_free_no_memory() {
    let ask = urgent();
    let freed = |is_refused: bool| {
        let mut demand = RankDemand::default();
        for number in 0..40_u64 {
            let now = Duration::from_millis(number * 200);
            demand.arrived(now, &ask);
            demand.placed(now, &ask);
            match is_refused {
                true => demand.refused(now, &ask),
                false => demand.ended(now, &ask, Some(Duration::from_millis(100))),
            }
        }
        demand.freed_per_s(Duration::from_secs(8), &ask.service, ask.level.rank)
    };
    assert_eq!(freed(true), 0.0);
    assert!(freed(false) > 0.0);
}
