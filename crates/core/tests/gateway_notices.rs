//! Reactions of an instance to server notices: draining and backoff.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway_scene;

use std::time::Duration;

use iristhread_core::DeclaredBound;
use iristhread_core::DeclaredLimit;
use iristhread_core::GatewayControl;
use iristhread_core::ListedState;
use iristhread_core::Now;
use iristhread_core::RefusalKind;
use iristhread_core::Replica;
use iristhread_core::ReplicaChange;
use iristhread_core::RetryAfter;
use iristhread_core::RunEnd;
use iristhread_core::ServerNotice;
use test_case::test_case;

use gateway_scene::ask;
use gateway_scene::control_with;
use gateway_scene::engine;
use gateway_scene::leaving;
use gateway_scene::ms;

const NOW: Now = ms(1_000);

const DRAINING: ServerNotice = ServerNotice {
    is_leaving: true,
    retry_after: RetryAfter::Absent,
    limit: DeclaredLimit::Absent,
    brittle: DeclaredBound::Absent,
};

fn backoff(time: Duration) -> ServerNotice {
    ServerNotice {
        is_leaving: false,
        retry_after: RetryAfter::In(time),
        limit: DeclaredLimit::Absent,
        brittle: DeclaredBound::Absent,
    }
}

/// An engine whose entry has a start time.
fn born(id: &str, born_ms: u64) -> Replica {
    Replica {
        born_ms: Some(born_ms),
        ..engine(id, "z1")
    }
}

/// A gateway with engines whose entries have start times.
fn control_with_start_times(ids: &[&str]) -> GatewayControl {
    let mut control = control_with(&[]);
    let engines = ids.iter().map(|id| born(id, 1)).collect();
    control.offer_replicas(Duration::ZERO, 10, engines);
    control
}

fn notice(control: &mut GatewayControl, at: Now, server: &Replica, notice: ServerNotice) {
    control.observe_notice(at, &server.server_life(), &notice);
}

/// Places a request and returns the first engine, if any.
fn chosen(control: &mut GatewayControl, at: Now, request: &str) -> Option<String> {
    let ranking = control.place(at, ask(request)).ok()?;
    Some(ranking.replicas[0].id.clone())
}

#[test]
fn a_backoff_stops_requests_and_ends_with_one_trial_request() {
    let mut control = control_with(&["a"]);
    notice(&mut control, NOW, &engine("a", "z1"), backoff(ms(3_000)));
    assert_eq!(chosen(&mut control, NOW, "r1"), None);
    assert_eq!(chosen(&mut control, NOW + ms(2_999), "r2"), None);
    let over = NOW + ms(3_000);
    assert_eq!(chosen(&mut control, over, "r3").as_deref(), Some("a"));
    assert_eq!(
        chosen(&mut control, over, "r4"),
        None,
        "a trial request is in flight"
    );
    control.progress(over + ms(100), "r3", 4);
    for request in ["r5", "r6", "r7"] {
        assert!(chosen(&mut control, over + ms(100), request).is_some());
    }
}

/// If a trial request ends without being served, the next one may follow, however it ended.
#[test_case(RunEnd::Refused; "refused")]
#[test_case(RunEnd::Failed; "failed")]
#[test_case(RunEnd::Withdrawn; "the caller disconnected")]
fn an_unserved_trial_request_is_followed_by_another(end: RunEnd) {
    let mut control = control_with(&["a"]);
    notice(&mut control, NOW, &engine("a", "z1"), backoff(ms(500)));
    let over = NOW + ms(500);
    assert!(chosen(&mut control, over, "r1").is_some());
    control.ended(over, "r1", end);
    assert!(chosen(&mut control, over + ms(9_000), "r2").is_some());
    assert_eq!(chosen(&mut control, over + ms(9_000), "r3"), None);
}

/// Progress of a session that started before the backoff does not show that the engine takes new
/// requests.
#[test]
fn an_earlier_session_does_not_end_a_backoff() {
    let mut control = control_with(&["a"]);
    assert!(chosen(&mut control, NOW, "old").is_some());
    notice(&mut control, NOW, &engine("a", "z1"), backoff(ms(500)));
    control.progress(NOW + ms(100), "old", 4);
    assert_eq!(chosen(&mut control, NOW + ms(200), "r1"), None);
    control.progress(NOW + ms(600), "old", 8);
    assert!(chosen(&mut control, NOW + ms(600), "r2").is_some());
    assert_eq!(chosen(&mut control, NOW + ms(600), "r3"), None);
}

#[test_case(3_000, 500; "the longer first")]
#[test_case(500, 3_000; "the longer last")]
fn the_longest_of_several_backoffs_applies(first_ms: u64, second_ms: u64) {
    let mut control = control_with(&["a"]);
    notice(&mut control, NOW, &engine("a", "z1"), backoff(ms(first_ms)));
    notice(
        &mut control,
        NOW,
        &engine("a", "z1"),
        backoff(ms(second_ms)),
    );
    assert_eq!(chosen(&mut control, NOW + ms(2_900), "r1"), None);
    assert!(chosen(&mut control, NOW + ms(3_000), "r2").is_some());
}

/// Callers with the same Retry-After would all return at once and overload the servers again.
#[test]
fn retry_after_values_are_spread() {
    let mut control = control_with(&["a", "b"]);
    notice(&mut control, NOW, &engine("a", "z1"), backoff(ms(8_000)));
    notice(&mut control, NOW, &engine("b", "z1"), backoff(ms(4_000)));
    let mut delays: Vec<Duration> = (0..20)
        .map(|number| {
            let refusal = control.place(NOW, ask(&format!("r{number}"))).unwrap_err();
            assert_eq!(refusal.kind, RefusalKind::Resting);
            refusal.retry_after
        })
        .collect();
    assert!(
        delays
            .iter()
            .all(|time| (ms(4_000)..=ms(8_000)).contains(time))
    );
    delays.sort();
    let most_at_once = delays.windows(5).filter(|few| few[4] - few[0] < ms(200));
    assert_eq!(most_at_once.count(), 0, "{delays:?}");
}

/// The refusal names a backoff only if no replica takes requests; draining replicas are ignored.
#[test]
fn a_refusal_names_the_backoff_only_if_all_back_off() {
    let mut control = control_with(&["a", "b"]);
    notice(&mut control, NOW, &engine("a", "z1"), backoff(ms(4_000)));
    notice(&mut control, NOW, &engine("b", "z1"), DRAINING);
    let refusal = control.place(NOW, ask("r1")).unwrap_err();
    assert_eq!(refusal.kind, RefusalKind::Resting);
    let mut control = control_with(&["a", "b"]);
    notice(&mut control, NOW, &engine("a", "z1"), backoff(ms(4_000)));
    let otherwise = ms(300);
    assert_eq!(
        control.caller_retry_after(NOW, &ask("r1"), otherwise),
        otherwise
    );
}

#[test]
fn no_backups_moves_or_queries_for_an_engine_that_backs_off() {
    let mut control = control_with(&["a", "b", "c"]);
    notice(&mut control, NOW, &engine("b", "z1"), backoff(ms(60_000)));
    for number in 0..3 {
        let ranking = control.place(NOW, ask(&format!("r{number}"))).unwrap();
        assert_ne!(ranking.backup.unwrap().id, "b");
        assert!(ranking.replicas.iter().all(|replica| replica.id != "b"));
    }
    let moves = control.report_draining(NOW, &engine("a", "z1").server_life(), true);
    assert!(moves.unwrap().iter().all(|moving| moving.target.id != "b"));
    control.set_list_stale(true);
    let queried = control.engine_checks(NOW).query;
    assert!(queried.iter().all(|engine| engine.id != "b"));
}

#[test]
fn a_backoff_is_not_a_failure() {
    let mut control = control_with(&["a"]);
    for number in 0..5 {
        let at = NOW + ms(number * 600);
        let request = format!("r{number}");
        assert!(chosen(&mut control, at, &request).is_some(), "{request}");
        notice(&mut control, at, &engine("a", "z1"), backoff(ms(500)));
        control.ended(at, &request, RunEnd::Refused);
    }
}

/// Draining is never revoked for an incarnation; only a new incarnation serves.
#[test_case(ReplicaChange::Listed(born("a", 1)), false; "the same entry again")]
#[test_case(ReplicaChange::Listed(born("a", 2)), true; "another incarnation")]
fn a_draining_incarnation_stays_draining(change: ReplicaChange, serves: bool) {
    let mut control = control_with_start_times(&["a"]);
    notice(&mut control, NOW, &born("a", 1), DRAINING);
    control.change_replicas(NOW, 11, vec![ReplicaChange::Removed("a".to_owned())]);
    control.change_replicas(NOW + ms(100), 12, vec![change]);
    assert_eq!(chosen(&mut control, NOW + ms(200), "r1").is_some(), serves);
}

/// An entry that is removed after an outage of the platform stays in use for a while.
#[test]
fn an_incarnation_with_an_expired_entry_may_report_draining() {
    let mut control = control_with_start_times(&["a"]);
    control.outage_ended(NOW);
    control.change_replicas(NOW, 11, vec![ReplicaChange::Removed("a".to_owned())]);
    assert_eq!(control.list().state("a"), ListedState::Expired);
    notice(&mut control, NOW, &born("a", 1), DRAINING);
    assert_eq!(chosen(&mut control, NOW + ms(10), "r1"), None);
    let again = vec![ReplicaChange::Listed(born("a", 1))];
    control.change_replicas(NOW + ms(1_000), 12, again);
    assert_eq!(chosen(&mut control, NOW + ms(1_100), "r2"), None);
}

#[test]
fn a_draining_entry_is_not_reset() {
    let mut control = control_with_start_times(&[]);
    let drains = Replica {
        leaving: true,
        ..born("a", 1)
    };
    control.change_replicas(NOW, 11, vec![ReplicaChange::Listed(drains)]);
    control.change_replicas(NOW, 12, vec![ReplicaChange::Listed(born("a", 1))]);
    assert_eq!(chosen(&mut control, NOW, "r1"), None);
}

/// Without start times, an entry that is removed and listed again may be a new incarnation.
#[test]
fn without_start_times_a_relisted_entry_serves() {
    let mut control = control_with(&["a"]);
    notice(&mut control, NOW, &engine("a", "z1"), DRAINING);
    assert_eq!(chosen(&mut control, NOW, "r1"), None);
    control.change_replicas(NOW, 2, vec![ReplicaChange::Removed("a".to_owned())]);
    let again = vec![ReplicaChange::Listed(engine("a", "z1"))];
    control.change_replicas(NOW, 3, again);
    assert!(chosen(&mut control, NOW, "r2").is_some());
    let drains = vec![ReplicaChange::Listed(leaving("a", "z1"))];
    control.change_replicas(NOW, 4, drains);
    assert_eq!(chosen(&mut control, NOW, "r3"), None);
}

/// The list may be late: the incarnation that sent the notice isn't listed yet.
#[test]
fn a_notice_of_an_unlisted_incarnation_applies_once_it_is_listed() {
    let mut control = control_with_start_times(&["a"]);
    notice(&mut control, NOW, &born("a", 2), DRAINING);
    assert!(chosen(&mut control, NOW, "r1").is_some());
    assert!(
        control.said_leaving(NOW, true).is_empty(),
        "it is not advertised"
    );
    let listed = vec![ReplicaChange::Listed(born("a", 2))];
    control.change_replicas(NOW, 11, listed);
    assert_eq!(chosen(&mut control, NOW, "r2"), None);
}

/// An instance that starts and fetches the list learns of draining servers as well.
#[test]
fn an_advertised_list_contains_draining_servers() {
    let mut control = control_with_start_times(&["a", "b"]);
    notice(&mut control, NOW, &born("a", 1), DRAINING);
    let mut other = control_with(&[]);
    other.apply_peer_list(NOW, control.list().told(NOW));
    assert_eq!(other.list().state("a"), ListedState::Leaving);
    assert_eq!(other.list().state("b"), ListedState::Serving);
}

/// Traffic tasks check the send restrictions before each send.
#[test]
fn send_restrictions_list_draining_and_backoff() {
    let mut control = control_with_start_times(&["a", "b"]);
    notice(&mut control, NOW, &born("a", 1), DRAINING);
    notice(&mut control, NOW, &born("b", 1), backoff(ms(500)));
    let restrictions = control.send_restrictions(NOW);
    assert!(restrictions.leaving.contains(&born("a", 1).life()));
    let until = restrictions.backoff_until(NOW + ms(499), born("b", 1).life());
    assert_eq!(until, Some(NOW + ms(500)));
    assert_eq!(
        restrictions.backoff_until(NOW + ms(500), born("b", 1).life()),
        None
    );
    assert_eq!(control.resting(NOW), 1);
}

/// State of servers that are gone must not accumulate.
#[test]
fn state_of_removed_servers_is_dropped() {
    let mut control = control_with_start_times(&["a", "b"]);
    notice(&mut control, NOW, &born("a", 1), DRAINING);
    notice(&mut control, NOW, &born("b", 1), backoff(ms(500)));
    control.offer_replicas(NOW, 11, Vec::new());
    control.tick(NOW + ms(59_000));
    assert_eq!(control.send_restrictions(NOW).leaving.len(), 1);
    assert!(
        control
            .send_restrictions(NOW + ms(5_000))
            .leaving
            .is_empty()
    );
    control.tick(NOW + ms(60_001));
    assert!(control.send_restrictions(NOW).leaving.is_empty());
    assert!(control.send_restrictions(Duration::ZERO).resting.is_empty());
}

/// After a long backoff, the retries are spread over a bounded time only.
#[test]
fn the_retry_spread_is_bounded_for_long_backoffs() {
    let mut control = control_with(&["a"]);
    notice(&mut control, NOW, &engine("a", "z1"), backoff(ms(600_000)));
    for number in 0..20 {
        let refusal = control.place(NOW, ask(&format!("r{number}"))).unwrap_err();
        assert!((ms(600_000)..=ms(605_000)).contains(&refusal.retry_after));
    }
}
