//! State recorded for one incarnation of a backend server must not apply to a later one, in
//! whatever order updates arrive. If state were keyed by ID alone, a restarted engine would get no
//! requests because of failures of its earlier incarnation, and sessions and backups that were lost
//! with it would still be expected there.
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

/// A gateway with engine `a` alone, in its first incarnation.
fn one_engine() -> GatewayControl {
    let mut control = control_with(&[]);
    control.offer_replicas(NOW, 2, vec![born("a", 1)]);
    control
}

fn incarnation(born_ms: u64) -> ServerLife {
    born("a", born_ms).server_life()
}

/// State recorded for the first incarnation.
#[derive(Clone, Copy)]
enum EarlierState {
    Failed,
    Unreachable,
    Leaves,
}

fn record(control: &mut GatewayControl, earlier: EarlierState) {
    match earlier {
        EarlierState::Failed => (0..6).for_each(|_| control.failed(NOW, "a")),
        EarlierState::Unreachable => control.unreachable(NOW, "a"),
        EarlierState::Leaves => drop(control.report_draining(NOW, &incarnation(1), true)),
    }
}

/// How the list announces the second incarnation.
#[derive(Clone, Copy)]
enum Announcement {
    /// The entry is updated within one heartbeat, without being removed.
    Updated,
    /// The entry is removed and listed again within one answer.
    RemovedAndListed,
    /// The full list is read.
    FullList,
    /// The list is received from a peer.
    FromPeer,
}

fn restart(control: &mut GatewayControl, announcement: Announcement, born_ms: u64) {
    let (now, back) = (NOW + ms(500), born("a", born_ms));
    let revision = control.list().revision().count + 10;
    let listed = ReplicaChange::Listed(back.clone());
    match announcement {
        Announcement::Updated => drop(control.change_replicas(now, revision, vec![listed])),
        Announcement::RemovedAndListed => {
            let gone = ReplicaChange::Removed("a".to_owned());
            control.change_replicas(now, revision, vec![gone, listed]);
        }
        Announcement::FullList => drop(control.offer_replicas(now, revision, vec![back])),
        Announcement::FromPeer => {
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

/// The current list plus a second engine, so that `a` isn't the only choice.
fn with_spare(control: &GatewayControl) -> Vec<Replica> {
    let a = control.list().replica("a").unwrap().clone();
    vec![a, engine("spare", "z1")]
}

#[test_case(EarlierState::Failed, Announcement::Updated)]
#[test_case(EarlierState::Failed, Announcement::RemovedAndListed)]
#[test_case(EarlierState::Unreachable, Announcement::Updated)]
#[test_case(EarlierState::Unreachable, Announcement::FullList)]
#[test_case(EarlierState::Leaves, Announcement::Updated)]
#[test_case(EarlierState::Leaves, Announcement::RemovedAndListed)]
#[test_case(EarlierState::Leaves, Announcement::FromPeer)]
fn a_new_incarnation_takes_requests_at_once(earlier: EarlierState, announcement: Announcement) {
    let mut control = one_engine();
    record(&mut control, earlier);
    assert!(!takes_requests(&mut control), "the earlier state applies");
    restart(&mut control, announcement, 2);
    assert!(takes_requests(&mut control));
    restart(&mut control, announcement, 3);
    assert!(takes_requests(&mut control), "after a second restart");
}

/// An update of the entry of the same incarnation keeps the state.
#[test]
fn state_survives_an_update_of_the_same_incarnation() {
    let mut control = one_engine();
    record(&mut control, EarlierState::Unreachable);
    restart(&mut control, Announcement::Updated, 1);
    assert!(!takes_requests(&mut control));
}

/// A heartbeat of a peer or the result of a long attempt may refer to the earlier incarnation.
#[test]
fn late_updates_of_an_earlier_incarnation_are_detected() {
    let mut control = one_engine();
    assert!(control.is_current(&incarnation(1)));
    restart(&mut control, Announcement::Updated, 2);
    assert!(!control.is_current(&incarnation(1)));
    assert!(control.is_current(&incarnation(2)));
    control.change_replicas(NOW, 900, vec![ReplicaChange::Removed("a".to_owned())]);
    assert!(
        control.is_current(&incarnation(2)),
        "an incarnation that isn't listed may be new"
    );
}

#[test]
fn advertised_servers_name_the_incarnation() {
    let mut control = one_engine();
    record(&mut control, EarlierState::Leaves);
    let told = control.incarnations_of(control.said_leaving(NOW, false));
    assert_eq!(told, [incarnation(1)]);
    restart(&mut control, Announcement::Updated, 2);
    assert!(control.said_leaving(NOW, false).is_empty());
}

#[test_case(Announcement::Updated)]
#[test_case(Announcement::RemovedAndListed)]
#[test_case(Announcement::FullList)]
fn sessions_are_orphaned_by_a_restart(announcement: Announcement) {
    let mut control = one_engine();
    control.place(NOW, ask("running")).unwrap();
    restart(&mut control, Announcement::Updated, 1);
    assert!(control.take_orphaned().is_empty());
    restart(&mut control, announcement, 2);
    assert_eq!(control.take_orphaned(), ["running"]);
    assert!(control.take_orphaned().is_empty(), "returned once");
}

#[test]
fn backups_are_lost_by_a_restart() {
    let mut control = control_with(&[]);
    control.offer_replicas(NOW, 2, vec![born("a", 1), born("b", 1)]);
    let ranking = control.place(NOW, ask("running")).unwrap();
    let backup = ranking.backup.unwrap();
    let back = born(&backup.id, 2);
    control.change_replicas(NOW, 3, vec![ReplicaChange::Listed(back)]);
    assert!(control.fail_over(NOW, "running").is_none());
    assert!(
        control.take_orphaned().is_empty(),
        "the session runs on the other engine"
    );
}
