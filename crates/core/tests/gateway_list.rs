//! The list of backend servers as instances advertise it: in full, or as a delta.
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
fn only_changes_are_advertised() {
    let mut source = fleet_of(3_000);
    let mut behind = ReplicaList::default();
    behind.hear(NOW, source.delta_since(NOW, 0));
    source.change(NOW, 11, listed_change(leaving("e7", "z1")));
    source.change(NOW, 12, vec![ReplicaChange::Removed("e8".to_owned())]);
    source.change(NOW, 13, listed_change(engine("new", "z1")));
    let advertised = source.delta_since(NOW, behind.revision());
    assert_eq!(
        (advertised.replicas.len(), advertised.removed.len()),
        (2, 1)
    );
    assert!(behind.hear(NOW, advertised));
    assert_eq!(listed(&behind, NOW), listed(&source, NOW));
    assert_eq!(behind.state("e8"), ListedState::Removed);
}

#[test]
fn an_instance_without_a_list_gets_the_full_list() {
    let source = fleet_of(5);
    let advertised = source.delta_since(NOW, 0);
    assert_eq!((advertised.above, advertised.replicas.len()), (0.into(), 5));
}

#[test]
fn a_revision_before_the_first_of_the_source_gets_the_full_list() {
    let source = fleet_of(5);
    assert_eq!(source.delta_since(NOW, 9).above, 0.into());
    assert_eq!(source.delta_since(NOW, 10).above, 10.into());
}

#[test]
fn a_delta_above_an_unknown_revision_is_ignored() {
    let mut source = fleet_of(5);
    let mut behind = ReplicaList::default();
    behind.hear(NOW, source.told(NOW));
    source.change(NOW, 11, vec![ReplicaChange::Removed("e1".to_owned())]);
    source.change(NOW, 12, vec![ReplicaChange::Removed("e2".to_owned())]);
    assert!(!behind.hear(NOW, source.delta_since(NOW, 11)));
    assert_eq!(behind.revision(), 10.into());
    assert_eq!(behind.state("e1"), ListedState::Serving);
}

/// An entry that expired during an outage of the platform is also expired and then removed at
/// instances that receive the list later, and one that was rewritten is serving.
#[test]
fn expired_entries_are_advertised_as_such() {
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

/// Returns one random change of the platform's list.
fn change_of(random: &mut Pcg32, number: u32) -> ReplicaChange {
    let id = format!("e{}", random.next_u32() % 40);
    match random.next_u32() % 4 {
        0 => ReplicaChange::Removed(id),
        1 => ReplicaChange::Listed(leaving(&id, "z1")),
        2 => ReplicaChange::Listed(engine(&format!("n{number}"), "z2")),
        _ => ReplicaChange::Listed(engine(&id, "z1")),
    }
}

/// After each answer, the receiver has the same list as the source, whether the source read
/// changes or a full list. Answers that arrive late don't change that.
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
            let receiver = random.next_u32() as usize % others.len();
            let advertised = source.delta_since(NOW, others[receiver].revision());
            if random.next_u32().is_multiple_of(3) {
                late.push((receiver, advertised));
                continue;
            }
            assert!(others[receiver].hear(NOW, advertised), "seed {seed}");
            assert_eq!(
                listed(&others[receiver], NOW),
                listed(&source, NOW),
                "seed {seed}"
            );
            for (receiver, advertised) in late.split_off(late.len() / 2) {
                others[receiver].hear(NOW, advertised);
            }
        }
    }
}
