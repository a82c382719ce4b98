//! Retry budgets, workspace limits, queues and length estimates.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;
use std::time::Duration;

use iristhread_core::Admission;
use iristhread_core::CallEnd;
use iristhread_core::CallRun;
use iristhread_core::CallStep;
use iristhread_core::FairQueue;
use iristhread_core::LengthEstimator;
use iristhread_core::Outcome;
use iristhread_core::Queued;
use iristhread_core::RefusalKind;
use iristhread_core::RetryBudget;
use iristhread_core::SendResult;
use iristhread_core::Submission;
use iristhread_core::TokenBucket;
use iristhread_core::Workspace;
use rand_core::Rng;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use test_case::test_case;

const ZERO: Duration = Duration::ZERO;
const SECOND: Duration = Duration::from_secs(1);

use SendResult::Answered;
use SendResult::Failed;
use SendResult::Lost;
use SendResult::NotConnected;
use SendResult::SaidNotRun;

/// Whether another attempt follows, and otherwise the result that the caller receives.
#[test_case(false, &[NotConnected], None; "nothing was written")]
#[test_case(false, &[Lost], Some((Outcome::Unknown, CallEnd::Lost)); "lost after writing")]
#[test_case(false, &[Failed], Some((Outcome::Unknown, CallEnd::Answer)); "failed without a statement")]
#[test_case(false, &[SaidNotRun], Some((Outcome::NotRun, CallEnd::Answer)); "said not run")]
#[test_case(false, &[Answered], Some((Outcome::Ran, CallEnd::Answer)); "answered")]
#[test_case(false, &[NotConnected, NotConnected, NotConnected, NotConnected], Some((Outcome::NotRun, CallEnd::NoRunner)); "no server remaining")]
#[test_case(false, &[NotConnected, Lost], Some((Outcome::Unknown, CallEnd::Lost)); "second attempt lost")]
#[test_case(true, &[Lost], None; "may be repeated: lost")]
#[test_case(true, &[Failed, SaidNotRun], None; "may be repeated: failed twice")]
#[test_case(true, &[Failed, Lost, SaidNotRun], Some((Outcome::Unknown, CallEnd::Answer)); "may be repeated: attempts are exhausted")]
#[test_case(true, &[Lost, Answered], Some((Outcome::Ran, CallEnd::Answer)); "may be repeated: answered")]
fn the_next_step_after(
    repeatable: bool,
    results: &[SendResult],
    expected: Option<(Outcome, CallEnd)>,
) {
    let servers = ["r1", "r2", "r3", "r4"].map(str::to_owned).to_vec();
    let mut run = CallRun::new(repeatable, servers, SECOND);
    for result in results {
        assert!(matches!(run.next(ZERO), CallStep::Send(_)));
        run.sent(*result);
    }
    let result = match run.next(ZERO) {
        CallStep::Send(_) => None,
        CallStep::End { outcome, end } => Some((outcome, end)),
    };
    assert_eq!(result, expected);
}

#[test]
fn a_process_resumed_after_the_deadline_sends_nothing() {
    let mut run = CallRun::new(false, vec!["r1".to_owned()], SECOND);
    let late = CallStep::End {
        outcome: Outcome::NotRun,
        end: CallEnd::Deadline,
    };
    assert_eq!(run.next(SECOND), late);
}

/// Every request fails and each failure requests a retry.
#[test]
fn retries_add_at_most_a_tenth_in_the_long_run() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.earn("w");
        retries += u32::from(budget.spend(&["w"]));
    }
    assert!((1_000..=1_011).contains(&retries), "{retries}");
}

#[test]
fn a_retry_is_spent_of_all_keys_or_of_none() {
    let mut budget = RetryBudget::default();
    while budget.spend(&["server"]) {}
    assert!(!budget.spend(&["workspace", "server"]));
    let remaining = (0..100).filter(|_| budget.spend(&["workspace"])).count();
    assert_eq!(remaining, 10);
}

#[test]
fn an_empty_bucket_returns_the_time_to_wait() {
    let mut bucket = TokenBucket::new(ZERO, 2.0);
    assert!(bucket.take(ZERO).is_ok() && bucket.take(ZERO).is_ok());
    let wait = bucket.take(ZERO).unwrap_err();
    assert_eq!(wait, Duration::from_millis(500));
    assert!(bucket.take(wait).is_ok());
}

fn workspace(max_open_requests: u32, max_requests_per_s: u32) -> Workspace {
    Workspace {
        name: "w".to_owned(),
        weight: 1,
        priority: 0,
        max_open_requests,
        max_requests_per_s,
        key_hashes: Vec::new(),
    }
}

#[test_case(2, 100, RefusalKind::ConcurrencyLimit; "too many open requests")]
#[test_case(100, 2, RefusalKind::RateLimit; "too many requests per second")]
fn a_limit_refuses_the_third_request(open: u32, rate: u32, kind: RefusalKind) {
    let mut admission = Admission::default();
    let workspace = workspace(open, rate);
    admission.open(ZERO, &workspace).unwrap();
    admission.open(ZERO, &workspace).unwrap();
    let refusal = admission.open(ZERO, &workspace).unwrap_err();
    assert_eq!(refusal.kind, kind);
    assert!(refusal.retry_after > ZERO);
    admission.close("w");
    assert!(admission.open(SECOND, &workspace).is_ok());
}

fn queued(workspace: &str, number: usize, priority: u8, deadline: Duration) -> Queued {
    let submission = Submission {
        request: format!("{workspace}-{number}"),
        workspace: workspace.to_owned(),
        priority,
        deadline,
        attempt: 1,
        ..Submission::default()
    };
    Queued {
        submission,
        since: ZERO,
    }
}

/// One workspace floods the queue; the weights decide about the shares, not the arrivals.
#[test]
fn shares_follow_weights_and_no_workspace_starves() {
    let mut queue = FairQueue::default();
    for number in 0..1_000 {
        queue.push(1, queued("flood", number, 0, SECOND));
    }
    for number in 0..100 {
        queue.push(3, queued("large", number, 0, SECOND));
        queue.push(1, queued("small", number, 0, SECOND));
    }
    let mut served: BTreeMap<String, usize> = BTreeMap::new();
    for _ in 0..100 {
        let next = queue.pop(10.0).unwrap();
        *served.entry(next.submission.workspace).or_default() += 1;
    }
    assert_eq!(served["large"], 60);
    assert_eq!(served["flood"], 20);
    assert_eq!(served["small"], 20);
}

#[test]
fn priority_orders_a_workspace_and_retries_precede_all() {
    let mut queue = FairQueue::default();
    queue.push(1, queued("w", 1, 0, SECOND));
    queue.push(1, queued("w", 2, 5, SECOND));
    queue.push(1, queued("w", 3, 5, SECOND));
    let mut retried = queued("v", 4, 0, SECOND);
    retried.submission.attempt = 2;
    queue.push(1, retried);
    let mut order = Vec::new();
    while let Some(next) = queue.pop(1.0) {
        order.push(next.submission.request);
    }
    assert_eq!(order, ["v-4", "w-2", "w-3", "w-1"]);
}

#[test]
fn expired_submissions_are_removed_at_once() {
    let mut queue = FairQueue::default();
    queue.push(1, queued("w", 1, 0, SECOND));
    queue.push(1, queued("w", 2, 0, SECOND * 5));
    assert!(queue.take_expired(ZERO).is_empty());
    assert_eq!(queue.take_expired(SECOND).len(), 1);
    assert_eq!(queue.len(), 1);
}

/// Log-logistic lengths, as the stand-in engine draws them.
fn draw_length(random: &mut Pcg32, median: f64) -> u32 {
    let share = f64::from(random.next_u32()) / f64::from(u32::MAX);
    let odds = share / (1.0 - share).max(1e-9);
    (median * odds.powf(1.0 / 1.8)).clamp(1.0, 4_000.0) as u32
}

/// The fraction of lengths below a conditional quantile, given the tokens
/// generated so far: admission relies on this calibration.
#[test_case(0, 0.5)]
#[test_case(0, 0.9)]
#[test_case(50, 0.9)]
#[test_case(200, 0.9)]
#[test_case(50, 0.99)]
fn quantiles_are_calibrated(generated: u32, quantile: f64) {
    let mut random = Pcg32::seed_from_u64(7);
    let mut estimator = LengthEstimator::default();
    for _ in 0..3_000 {
        estimator.finished("w/m", draw_length(&mut random, 60.0));
    }
    let bound = generated + estimator.remaining_quantile("w/m", generated, quantile);
    let longer = (0..60_000).map(|_| draw_length(&mut random, 60.0));
    let longer: Vec<u32> = longer.filter(|length| *length > generated).collect();
    let below = longer.iter().filter(|length| **length <= bound).count();
    let share = below as f64 / longer.len() as f64;
    println!("after {generated} tokens the {quantile} quantile held in {share:.3}");
    assert!((share - quantile).abs() < 0.04, "{share:.3}");
}

#[test]
fn classes_with_little_history_use_the_shared_estimate() {
    let mut estimator = LengthEstimator::default();
    (0..1_000).for_each(|_| estimator.finished("large/m", 100));
    estimator.finished("small/m", 1_000);
    let small = estimator.remaining_quantile("small/m", 0, 0.5);
    assert!(small < 200, "{small}");
    (0..200).for_each(|_| estimator.finished("small/m", 1_000));
    let small = estimator.remaining_quantile("small/m", 0, 0.5);
    assert!(small > 700, "{small}");
}
