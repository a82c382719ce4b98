//! A backend server that is back under its id knows nothing of before: what was believed
//! of its earlier life never speaks of the later one, in whatever order news arrive.
//! Beliefs went by the id alone, so that an engine that was back was left alone for what
//! its past life did, and sessions and copies were looked for that had gone with it.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway_scene;

use std::time::Duration;

use iristhread_core::GatewayControl;
use iristhread_core::Now;
use iristhread_core::Replica;
use iristhread_core::ReplicaChange;
use iristhread_core::ServerLife;
use test_case::test_case;

use gateway_scene::ask;
use gateway_scene::control_with;
use gateway_scene::engine;
use gateway_scene::ms;

const NOW: Now = Duration::from_secs(10);

fn born(id: &str, born_ms: u64) -> Replica {
    Replica {
        born_ms: Some(born_ms),
        ..engine(id, "z1")
    }
}

/// Engine `a` alone, in its first life.
fn one_engine() -> GatewayControl {
    let mut control = control_with(&[]);
    control.offer_replicas(NOW, 2, vec![born("a", 1)]);
    control
}

fn life(born_ms: u64) -> ServerLife {
    born("a", born_ms).server_life()
}

/// What was believed of the first life.
#[derive(Clone, Copy)]
enum ServerView {
    Failed,
    Unreachable,
    Leaves,
}

fn believe(control: &mut GatewayControl, belief: ServerView) {
    match belief {
        ServerView::Failed => (0..6).for_each(|_| control.failed(NOW, "a")),
        ServerView::Unreachable => control.unreachable(NOW, "a"),
        ServerView::Leaves => drop(control.leaves(NOW, &life(1), true)),
    }
}

/// How the list tells of the second life.
#[derive(Clone, Copy)]
enum News {
    /// Within one heartbeat: the entry never went.
    Written,
    /// The entry went and came within one answer.
    GoneAndWritten,
    /// The whole list was read.
    Whole,
    /// It was told by a peer.
    Told,
}

fn is_back(control: &mut GatewayControl, news: News, born_ms: u64) {
    let (now, back) = (NOW + ms(500), born("a", born_ms));
    let revision = control.list().revision().count + 10;
    let listed = ReplicaChange::Listed(back.clone());
    match news {
        News::Written => drop(control.change_replicas(now, revision, vec![listed])),
        News::GoneAndWritten => {
            let gone = ReplicaChange::Removed("a".to_owned());
            control.change_replicas(now, revision, vec![gone, listed]);
        }
        News::Whole => drop(control.offer_replicas(now, revision, vec![back])),
        News::Told => {
            let mut other = control_with(&[]);
            other.offer_replicas(now, revision, vec![back]);
            control.apply_peer_list(now, other.list().told(now));
        }
    }
}

fn takes_requests(control: &mut GatewayControl) -> bool {
    let now = NOW + ms(600);
    control.offer_replicas(now, 1_000, with_spare(control));
    let ranking = control.place(now, ask("new")).unwrap();
    control.ended(now, "new", iristhread_core::RunEnd::Withdrawn);
    ranking.replicas.iter().any(|replica| replica.id == "a")
}

/// The list as it is, with an engine beside so that `a` isn't the last resort.
fn with_spare(control: &GatewayControl) -> Vec<Replica> {
    let a = control.list().replica("a").unwrap().clone();
    vec![a, engine("spare", "z1")]
}

#[test_case(ServerView::Failed, News::Written)]
#[test_case(ServerView::Failed, News::GoneAndWritten)]
#[test_case(ServerView::Unreachable, News::Written)]
#[test_case(ServerView::Unreachable, News::Whole)]
#[test_case(ServerView::Leaves, News::Written)]
#[test_case(ServerView::Leaves, News::GoneAndWritten)]
#[test_case(ServerView::Leaves, News::Told)]
fn it_takes_requests_at_once(belief: ServerView, news: News) {
    let mut control = one_engine();
    believe(&mut control, belief);
    assert!(!takes_requests(&mut control), "the belief holds");
    is_back(&mut control, news, 2);
    assert!(takes_requests(&mut control));
    is_back(&mut control, news, 3);
    assert!(takes_requests(&mut control), "twice in a row");
}

/// The same life is written again and again.
#[test]
fn a_belief_outlasts_an_entry_of_the_same_life() {
    let mut control = one_engine();
    believe(&mut control, ServerView::Unreachable);
    is_back(&mut control, News::Written, 1);
    assert!(!takes_requests(&mut control));
}

/// A peer's heartbeat, or a try that took long, speaks of the life before.
#[test]
fn late_news_of_an_earlier_life_are_told_from_it() {
    let mut control = one_engine();
    assert!(control.is_current(&life(1)));
    is_back(&mut control, News::Written, 2);
    assert!(!control.is_current(&life(1)));
    assert!(control.is_current(&life(2)));
    control.change_replicas(NOW, 900, vec![ReplicaChange::Removed("a".to_owned())]);
    assert!(
        control.is_current(&life(2)),
        "what isn't listed may be news"
    );
}

#[test]
fn what_peers_are_told_names_the_life() {
    let mut control = one_engine();
    believe(&mut control, ServerView::Leaves);
    let told = control.incarnations_of(control.said_leaving(NOW, false));
    assert_eq!(told, [life(1)]);
    is_back(&mut control, News::Written, 2);
    assert!(control.said_leaving(NOW, false).is_empty());
}

#[test_case(News::Written)]
#[test_case(News::GoneAndWritten)]
#[test_case(News::Whole)]
fn its_sessions_are_gone_with_it(news: News) {
    let mut control = one_engine();
    control.place(NOW, ask("running")).unwrap();
    is_back(&mut control, News::Written, 1);
    assert!(control.take_orphaned().is_empty());
    is_back(&mut control, news, 2);
    assert_eq!(control.take_orphaned(), ["running"]);
    assert!(control.take_orphaned().is_empty(), "told once");
}

#[test]
fn its_copies_are_gone_with_it() {
    let mut control = control_with(&[]);
    control.offer_replicas(NOW, 2, vec![born("a", 1), born("b", 1)]);
    let ranking = control.place(NOW, ask("running")).unwrap();
    let keeper = ranking.backup.unwrap();
    let back = born(&keeper.id, 2);
    control.change_replicas(NOW, 3, vec![ReplicaChange::Listed(back)]);
    assert!(control.fail_over(NOW, "running").is_none());
    assert!(
        control.take_orphaned().is_empty(),
        "the session runs elsewhere"
    );
}
