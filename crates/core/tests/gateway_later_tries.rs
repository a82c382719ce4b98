//! Tries that are sent later than their placement: each is decided by what is known when it is sent.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway_scene;

use std::net::SocketAddr;

use iristhread_core::GatewayControl;
use iristhread_core::Now;
use iristhread_core::Replica;
use iristhread_core::ReplicaChange;
use iristhread_core::RunEnd;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::prop_assert_eq;
use proptest::prelude::prop_oneof;
use proptest::proptest;
use test_case::test_case;

use gateway_scene::ask;
use gateway_scene::control_with;
use gateway_scene::engine;
use gateway_scene::leaving;
use gateway_scene::ms;

const PLACED: Now = ms(1_000);
const LATER: Now = ms(4_000);

fn change(control: &mut GatewayControl, revision: u64, changes: Vec<ReplicaChange>) {
    control.change_replicas(LATER, revision, changes);
}

fn accepts(control: &GatewayControl, replica: &Replica) -> bool {
    let restrictions = control.send_restrictions(LATER);
    restrictions.accepts_new_work(replica)
}

fn moved(id: &str) -> Replica {
    Replica {
        address: SocketAddr::from(([10, 0, 0, 2], 8_000)),
        ..engine(id, "z1")
    }
}

fn again(id: &str) -> Replica {
    Replica {
        born_ms: Some(7),
        ..engine(id, "z1")
    }
}

/// Guards against a later try at an engine that left after the placement, however it is known.
#[test_case(ReplicaChange::Listed(leaving("a", "z1")); "its entry says draining, without a start time")]
#[test_case(ReplicaChange::Removed("a".to_owned()); "its entry is removed")]
#[test_case(ReplicaChange::Unusable("a".to_owned()); "its entry can't be used any more")]
#[test_case(ReplicaChange::Listed(moved("a")); "its address is another")]
#[test_case(ReplicaChange::Listed(again("a")); "another life has its id")]
fn nothing_new_goes_to_an_engine_that_left_since(left: ReplicaChange) {
    let mut control = control_with(&["a", "b"]);
    let ranking = control.place(PLACED, ask("r1")).unwrap();
    let placed = ranking.replicas.iter().find(|r| r.id == "a").unwrap();
    assert!(accepts(&control, placed));
    let before = control.restrictions_version();
    change(&mut control, 2, vec![left]);
    assert!(control.restrictions_version() > before);
    assert!(!accepts(&control, placed));
}

/// A missing entry shows nothing while the directory settles after an outage.
#[test]
fn an_entry_that_lapsed_in_an_outage_still_accepts() {
    let mut control = control_with(&["a", "b"]);
    control.outage_ended(LATER);
    change(
        &mut control,
        2,
        vec![ReplicaChange::Removed("a".to_owned())],
    );
    assert!(accepts(&control, &engine("a", "z1")));
    control.tick(LATER + ms(2_500));
    assert!(!accepts(&control, &engine("a", "z1")));
}

/// Guards against losing a request whose ranking holds no sound engine, beside one that is new.
#[test]
fn a_later_try_goes_to_an_engine_that_is_new() {
    let mut control = control_with(&["a", "b"]);
    let ranking = control.place(PLACED, ask("r1")).unwrap();
    let tried = &ranking.replicas[..1];
    let other = ranking.replicas[1].id.clone();
    let new = ReplicaChange::Listed(engine("new", "z1"));
    change(&mut control, 2, vec![ReplicaChange::Removed(other), new]);
    let target = control.place_again(LATER, "r1", tried).unwrap();
    assert_eq!(target.replica.id, "new");
    assert_eq!(target.from, ranking.replicas[0].id);
    // Its load counts there from now on.
    assert!(control.shares().contains_key("new"));
    control.ended(LATER, "r1", RunEnd::Answered);
    assert!(control.place_again(LATER, "r1", tried).is_none());
}

#[test]
fn a_later_try_goes_to_no_engine_that_was_tried() {
    let mut control = control_with(&["a", "b"]);
    let ranking = control.place(PLACED, ask("r1")).unwrap();
    let tried = &ranking.replicas;
    assert!(control.place_again(LATER, "r1", tried).is_none());
    let one = control.place_again(LATER, "r1", &tried[..1]).unwrap();
    assert_eq!(one.replica.id, ranking.replicas[1].id);
}

/// Another server under the id of one that was tried has not been tried.
#[test_case(again("a"); "another life")]
#[test_case(moved("a"); "at another address")]
fn another_server_under_a_tried_id_may_be_tried(other: Replica) {
    let mut control = control_with(&["a"]);
    let ranking = control.place(PLACED, ask("r1")).unwrap();
    let tried = &ranking.replicas[..1];
    change(&mut control, 2, vec![ReplicaChange::Listed(other.clone())]);
    let target = control.place_again(LATER, "r1", tried).unwrap();
    assert!(target.replica.is_same_server(&other));
}

const IDS: [&str; 3] = ["a", "b", "c"];

fn any_change() -> impl Strategy<Value = ReplicaChange> {
    (0..IDS.len()).prop_flat_map(|index| {
        let id = IDS[index];
        prop_oneof![
            proptest::strategy::Just(ReplicaChange::Listed(engine(id, "z1"))),
            proptest::strategy::Just(ReplicaChange::Listed(leaving(id, "z1"))),
            proptest::strategy::Just(ReplicaChange::Listed(moved(id))),
            proptest::strategy::Just(ReplicaChange::Listed(again(id))),
            proptest::strategy::Just(ReplicaChange::Removed(id.to_owned())),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Whatever the list went through between placement and send, a send goes exactly to what is
    /// listed then.
    #[test]
    fn a_send_follows_the_list_in_force(changes in vec(any_change(), 1..12)) {
        let mut control = control_with(&IDS);
        let placed = control.place(PLACED, ask("r1")).unwrap().replicas;
        for (step, written) in changes.into_iter().enumerate() {
            change(&mut control, step as u64 + 2, vec![written]);
            for replica in &placed {
                let listed = control.list().replica(&replica.id);
                let expected = listed.is_some_and(|listed| {
                    !listed.leaving
                        && listed.life() == replica.life()
                        && listed.address == replica.address
                });
                prop_assert_eq!(accepts(&control, replica), expected);
            }
            let again = control.place_again(LATER, "r1", &[]);
            if let Some(target) = again {
                assert!(accepts(&control, &target.replica));
            }
        }
    }
}
