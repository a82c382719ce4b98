//! The list of backend servers as instances hand it on: whole, or what has changed.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway_scene;

use std::time::Duration;

use gateway_scene::engine;
use gateway_scene::leaving;
use gateway_scene::ms;
use iristhread_core::ListedState;
use iristhread_core::Now;
use iristhread_core::Replica;
use iristhread_core::ReplicaChange;
use iristhread_core::ReplicaList;
use rand_core::Rng;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;

const NOW: Now = Duration::from_secs(10);

fn listed(list: &ReplicaList, now: Now) -> Vec<Replica> {
    list.told(now).replicas
}

fn fleet_of(count: usize) -> ReplicaList {
    let mut list = ReplicaList::default();
    let engines = (0..count).map(|number| engine(&format!("e{number}"), "z1"));
    list.snapshot(NOW, 10, engines.collect());
    list
}

fn listed_change(replica: Replica) -> Vec<ReplicaChange> {
    vec![ReplicaChange::Listed(replica)]
}

#[test]
fn only_what_has_changed_is_handed_on() {
    let mut source = fleet_of(3_000);
    let mut behind = ReplicaList::default();
    behind.hear(NOW, source.delta_since(NOW, 0));
    source.change(NOW, 11, listed_change(leaving("e7", "z1")));
    source.change(NOW, 12, vec![ReplicaChange::Removed("e8".to_owned())]);
    source.change(NOW, 13, listed_change(engine("new", "z1")));
    let told = source.delta_since(NOW, behind.revision());
    assert_eq!((told.replicas.len(), told.removed.len()), (2, 1));
    assert!(behind.hear(NOW, told));
    assert_eq!(listed(&behind, NOW), listed(&source, NOW));
    assert_eq!(behind.state("e8"), ListedState::Removed);
}

#[test]
fn who_knows_nothing_gets_the_whole_list() {
    let source = fleet_of(5);
    let told = source.delta_since(NOW, 0);
    assert_eq!((told.above, told.replicas.len()), (0.into(), 5));
}

#[test]
fn a_change_from_before_the_source_knew_the_list_makes_it_whole() {
    let source = fleet_of(5);
    assert_eq!(source.delta_since(NOW, 9).above, 0.into());
    assert_eq!(source.delta_since(NOW, 10).above, 10.into());
}

#[test]
fn changes_after_what_one_does_not_have_change_nothing() {
    let mut source = fleet_of(5);
    let mut behind = ReplicaList::default();
    behind.hear(NOW, source.told(NOW));
    source.change(NOW, 11, vec![ReplicaChange::Removed("e1".to_owned())]);
    source.change(NOW, 12, vec![ReplicaChange::Removed("e2".to_owned())]);
    assert!(!behind.hear(NOW, source.delta_since(NOW, 11)));
    assert_eq!(behind.revision(), 10.into());
    assert_eq!(behind.state("e1"), ListedState::Serving);
}

/// An entry that lapsed while the platform was away is removed for whoever hears of it
/// later, too, and one that came back is there.
#[test]
fn entries_that_lapsed_are_handed_on_as_such() {
    let mut source = fleet_of(3);
    let mut behind = ReplicaList::default();
    behind.hear(NOW, source.told(NOW));
    source.outage_ended(NOW);
    source.change(NOW, 11, vec![ReplicaChange::Removed("e1".to_owned())]);
    source.change(NOW, 12, vec![ReplicaChange::Removed("e2".to_owned())]);
    source.change(NOW + ms(900), 13, listed_change(engine("e2", "z1")));
    behind.hear(NOW + ms(950), source.delta_since(NOW + ms(950), 10));
    assert_eq!(behind.state("e1"), ListedState::Expired);
    assert_eq!(behind.state("e2"), ListedState::Serving);
    assert_eq!(behind.expire(NOW + ms(2_000)), ["e1"]);
}

/// One random change of what the platform lists.
fn change_of(random: &mut Pcg32, number: u32) -> ReplicaChange {
    let id = format!("e{}", random.next_u32() % 40);
    match random.next_u32() % 4 {
        0 => ReplicaChange::Removed(id),
        1 => ReplicaChange::Listed(leaving(&id, "z1")),
        2 => ReplicaChange::Listed(engine(&format!("n{number}"), "z2")),
        _ => ReplicaChange::Listed(engine(&id, "z1")),
    }
}

/// Whoever asks at whatever moment has the same list as the source afterwards, whether
/// the source read changes or anew, and however late the answer comes.
#[test]
fn lists_agree_after_each_answer() {
    for seed in 0..300_u64 {
        let mut random = Pcg32::seed_from_u64(seed);
        let mut source = fleet_of(40);
        let mut others = vec![ReplicaList::default(); 3];
        let mut late = Vec::new();
        for step in 1..60_u32 {
            let revision = 10 + u64::from(step) * 3;
            if random.next_u32().is_multiple_of(9) {
                let mut replicas = listed(&source, NOW);
                replicas.retain(|_| !random.next_u32().is_multiple_of(5));
                source.snapshot(NOW, revision, replicas);
            } else {
                let change = change_of(&mut random, step);
                source.change(NOW, revision, vec![change]);
            }
            let place = random.next_u32() as usize % others.len();
            let told = source.delta_since(NOW, others[place].revision());
            if random.next_u32().is_multiple_of(3) {
                late.push((place, told));
                continue;
            }
            assert!(others[place].hear(NOW, told), "seed {seed}");
            assert_eq!(
                listed(&others[place], NOW),
                listed(&source, NOW),
                "seed {seed}"
            );
            for (place, told) in late.split_off(late.len() / 2) {
                others[place].hear(NOW, told);
            }
        }
    }
}
