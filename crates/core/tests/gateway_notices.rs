//! What an instance does after a backend server said that it leaves, or asked for rest.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway_scene;

use std::time::Duration;

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

const LEAVES: ServerNotice = ServerNotice {
    is_leaving: true,
    retry_after: RetryAfter::Absent,
    limit: DeclaredLimit::Absent,
};

fn rest(time: Duration) -> ServerNotice {
    ServerNotice {
        is_leaving: false,
        retry_after: RetryAfter::In(time),
        limit: DeclaredLimit::Absent,
    }
}

/// An engine in a life that its entry tells.
fn born(id: &str, born_ms: u64) -> Replica {
    Replica {
        born_ms: Some(born_ms),
        ..engine(id, "z1")
    }
}

/// Engines that tell their lives.
fn control_with_lives(ids: &[&str]) -> GatewayControl {
    let mut control = control_with(&[]);
    let engines = ids.iter().map(|id| born(id, 1)).collect();
    control.offer_replicas(Duration::ZERO, 10, engines);
    control
}

fn notice(control: &mut GatewayControl, at: Now, server: &Replica, notice: ServerNotice) {
    control.noticed(at, &server.server_life(), &notice);
}

/// The engine that a request goes to first, if any.
fn chosen(control: &mut GatewayControl, at: Now, request: &str) -> Option<String> {
    let ranking = control.place(at, ask(request)).ok()?;
    Some(ranking.replicas[0].id.clone())
}

#[test]
fn nothing_goes_to_an_engine_that_rests_and_one_request_tries_it_afterwards() {
    let mut control = control_with(&["a"]);
    notice(&mut control, NOW, &engine("a", "z1"), rest(ms(3_000)));
    assert_eq!(chosen(&mut control, NOW, "r1"), None);
    assert_eq!(chosen(&mut control, NOW + ms(2_999), "r2"), None);
    let over = NOW + ms(3_000);
    assert_eq!(chosen(&mut control, over, "r3").as_deref(), Some("a"));
    assert_eq!(
        chosen(&mut control, over, "r4"),
        None,
        "another one tries it"
    );
    control.progress(over + ms(100), "r3", 4);
    for request in ["r5", "r6", "r7"] {
        assert!(chosen(&mut control, over + ms(100), request).is_some());
    }
}

/// However a try ends that the engine did not take, the next one may follow.
#[test_case(RunEnd::Refused; "refused")]
#[test_case(RunEnd::Failed; "failed")]
#[test_case(RunEnd::Withdrawn; "its caller left")]
fn after_a_try_that_led_nowhere_the_next_one_tries(end: RunEnd) {
    let mut control = control_with(&["a"]);
    notice(&mut control, NOW, &engine("a", "z1"), rest(ms(500)));
    let over = NOW + ms(500);
    assert!(chosen(&mut control, over, "r1").is_some());
    control.ended(over, "r1", end);
    assert!(chosen(&mut control, over + ms(9_000), "r2").is_some());
    assert_eq!(chosen(&mut control, over + ms(9_000), "r3"), None);
}

/// What ran there before it asked shows nothing of the time after.
#[test]
fn a_session_from_before_does_not_end_a_rest() {
    let mut control = control_with(&["a"]);
    assert!(chosen(&mut control, NOW, "old").is_some());
    notice(&mut control, NOW, &engine("a", "z1"), rest(ms(500)));
    control.progress(NOW + ms(100), "old", 4);
    assert_eq!(chosen(&mut control, NOW + ms(200), "r1"), None);
    control.progress(NOW + ms(600), "old", 8);
    assert!(chosen(&mut control, NOW + ms(600), "r2").is_some());
    assert_eq!(chosen(&mut control, NOW + ms(600), "r3"), None);
}

#[test_case(3_000, 500; "the longer first")]
#[test_case(500, 3_000; "the longer last")]
fn of_several_rests_the_longest_counts(first_ms: u64, second_ms: u64) {
    let mut control = control_with(&["a"]);
    notice(&mut control, NOW, &engine("a", "z1"), rest(ms(first_ms)));
    notice(&mut control, NOW, &engine("a", "z1"), rest(ms(second_ms)));
    assert_eq!(chosen(&mut control, NOW + ms(2_900), "r1"), None);
    assert!(chosen(&mut control, NOW + ms(3_000), "r2").is_some());
}

/// Told the same time they would come back at the same moment, and be too many again.
#[test]
fn callers_are_told_true_times_that_differ() {
    let mut control = control_with(&["a", "b"]);
    notice(&mut control, NOW, &engine("a", "z1"), rest(ms(8_000)));
    notice(&mut control, NOW, &engine("b", "z1"), rest(ms(4_000)));
    let mut told: Vec<Duration> = (0..20)
        .map(|number| {
            let refusal = control.place(NOW, ask(&format!("r{number}"))).unwrap_err();
            assert_eq!(refusal.kind, RefusalKind::Resting);
            refusal.retry_after
        })
        .collect();
    assert!(
        told.iter()
            .all(|time| (ms(4_000)..=ms(8_000)).contains(time))
    );
    told.sort();
    let most_at_once = told.windows(5).filter(|few| few[4] - few[0] < ms(200));
    assert_eq!(most_at_once.count(), 0, "{told:?}");
}

/// One that leaves is no reason to tell of its rest, nor one that takes requests.
#[test]
fn a_caller_is_told_of_rest_only_where_all_rest() {
    let mut control = control_with(&["a", "b"]);
    notice(&mut control, NOW, &engine("a", "z1"), rest(ms(4_000)));
    notice(&mut control, NOW, &engine("b", "z1"), LEAVES);
    let refusal = control.place(NOW, ask("r1")).unwrap_err();
    assert_eq!(refusal.kind, RefusalKind::Resting);
    let mut control = control_with(&["a", "b"]);
    notice(&mut control, NOW, &engine("a", "z1"), rest(ms(4_000)));
    let otherwise = ms(300);
    assert_eq!(
        control.caller_retry_after(NOW, &ask("r1"), otherwise),
        otherwise
    );
}

#[test]
fn neither_copies_nor_moves_nor_questions_go_to_an_engine_that_rests() {
    let mut control = control_with(&["a", "b", "c"]);
    notice(&mut control, NOW, &engine("b", "z1"), rest(ms(60_000)));
    for number in 0..3 {
        let ranking = control.place(NOW, ask(&format!("r{number}"))).unwrap();
        assert_ne!(ranking.backup.unwrap().id, "b");
        assert!(ranking.replicas.iter().all(|replica| replica.id != "b"));
    }
    let moves = control.leaves(NOW, &engine("a", "z1").server_life(), true);
    assert!(moves.unwrap().iter().all(|moving| moving.target.id != "b"));
    control.set_list_stale(true);
    let asked = control.engine_checks(NOW).ask;
    assert!(asked.iter().all(|engine| engine.id != "b"));
}

#[test]
fn a_rest_is_no_failure() {
    let mut control = control_with(&["a"]);
    for number in 0..5 {
        let at = NOW + ms(number * 600);
        let request = format!("r{number}");
        assert!(chosen(&mut control, at, &request).is_some(), "{request}");
        notice(&mut control, at, &engine("a", "z1"), rest(ms(500)));
        control.ended(at, &request, RunEnd::Refused);
    }
}

/// None ever takes it back; only another life serves.
#[test_case(ReplicaChange::Listed(born("a", 1)), false; "written again as it was")]
#[test_case(ReplicaChange::Listed(born("a", 2)), true; "another life")]
fn a_life_that_said_it_leaves_stays_leaving(change: ReplicaChange, serves: bool) {
    let mut control = control_with_lives(&["a"]);
    notice(&mut control, NOW, &born("a", 1), LEAVES);
    control.change_replicas(NOW, 11, vec![ReplicaChange::Removed("a".to_owned())]);
    control.change_replicas(NOW + ms(100), 12, vec![change]);
    assert_eq!(chosen(&mut control, NOW + ms(200), "r1").is_some(), serves);
}

/// Its entry went while the platform was away, and counts as there for a while.
#[test]
fn a_life_whose_entry_lapsed_may_say_that_it_leaves() {
    let mut control = control_with_lives(&["a"]);
    control.outage_ended(NOW);
    control.change_replicas(NOW, 11, vec![ReplicaChange::Removed("a".to_owned())]);
    assert_eq!(control.list().state("a"), ListedState::Expired);
    notice(&mut control, NOW, &born("a", 1), LEAVES);
    assert_eq!(chosen(&mut control, NOW + ms(10), "r1"), None);
    let again = vec![ReplicaChange::Listed(born("a", 1))];
    control.change_replicas(NOW + ms(1_000), 12, again);
    assert_eq!(chosen(&mut control, NOW + ms(1_100), "r2"), None);
}

#[test]
fn an_entry_that_said_draining_is_not_taken_back() {
    let mut control = control_with_lives(&[]);
    let drains = Replica {
        leaving: true,
        ..born("a", 1)
    };
    control.change_replicas(NOW, 11, vec![ReplicaChange::Listed(drains)]);
    control.change_replicas(NOW, 12, vec![ReplicaChange::Listed(born("a", 1))]);
    assert_eq!(chosen(&mut control, NOW, "r1"), None);
}

/// Where entries tell no lives, one that is listed anew may be another life.
#[test]
fn without_lives_an_entry_that_is_listed_anew_serves() {
    let mut control = control_with(&["a"]);
    notice(&mut control, NOW, &engine("a", "z1"), LEAVES);
    assert_eq!(chosen(&mut control, NOW, "r1"), None);
    control.change_replicas(NOW, 2, vec![ReplicaChange::Removed("a".to_owned())]);
    let again = vec![ReplicaChange::Listed(engine("a", "z1"))];
    control.change_replicas(NOW, 3, again);
    assert!(chosen(&mut control, NOW, "r2").is_some());
    let drains = vec![ReplicaChange::Listed(leaving("a", "z1"))];
    control.change_replicas(NOW, 4, drains);
    assert_eq!(chosen(&mut control, NOW, "r3"), None);
}

/// The list may be late: the life that spoke isn't listed yet.
#[test]
fn words_of_a_life_that_is_not_listed_yet_count_once_it_is() {
    let mut control = control_with_lives(&["a"]);
    notice(&mut control, NOW, &born("a", 2), LEAVES);
    assert!(chosen(&mut control, NOW, "r1").is_some());
    assert!(
        control.said_leaving(NOW, true).is_empty(),
        "it is told nobody"
    );
    let listed = vec![ReplicaChange::Listed(born("a", 2))];
    control.change_replicas(NOW, 11, listed);
    assert_eq!(chosen(&mut control, NOW, "r2"), None);
}

/// Whoever starts and fetches the list hears of it as well.
#[test]
fn a_list_that_is_handed_on_tells_who_leaves() {
    let mut control = control_with_lives(&["a", "b"]);
    notice(&mut control, NOW, &born("a", 1), LEAVES);
    let mut other = control_with(&[]);
    other.apply_peer_list(NOW, control.list().told(NOW));
    assert_eq!(other.list().state("a"), ListedState::Leaving);
    assert_eq!(other.list().state("b"), ListedState::Serving);
}

/// Traffic tasks check it before each send.
#[test]
fn what_may_not_be_sent_is_told() {
    let mut control = control_with_lives(&["a", "b"]);
    notice(&mut control, NOW, &born("a", 1), LEAVES);
    notice(&mut control, NOW, &born("b", 1), rest(ms(500)));
    let stops = control.send_restrictions(NOW);
    assert!(stops.leaving.contains(&born("a", 1).life()));
    let until = stops.backoff_until(NOW + ms(499), born("b", 1).life());
    assert_eq!(until, Some(NOW + ms(500)));
    assert_eq!(
        stops.backoff_until(NOW + ms(500), born("b", 1).life()),
        None
    );
    assert_eq!(control.resting(NOW), 1);
}

/// Marks of what is long gone don't pile up.
#[test]
fn what_is_gone_is_forgotten() {
    let mut control = control_with_lives(&["a", "b"]);
    notice(&mut control, NOW, &born("a", 1), LEAVES);
    notice(&mut control, NOW, &born("b", 1), rest(ms(500)));
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

/// After a long rest they needn't be spread for as long again.
#[test]
fn callers_are_not_told_to_stay_away_much_longer_than_a_long_rest() {
    let mut control = control_with(&["a"]);
    notice(&mut control, NOW, &engine("a", "z1"), rest(ms(600_000)));
    for number in 0..20 {
        let refusal = control.place(NOW, ask(&format!("r{number}"))).unwrap_err();
        assert!((ms(600_000)..=ms(605_000)).contains(&refusal.retry_after));
    }
}
