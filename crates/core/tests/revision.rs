//! State of a directory that was restored from a copy is newer, whatever its count. Entries that
//! the copy lacks or brings back interrupt no work.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway_scene;

use std::sync::Arc;
use std::time::Duration;

use iristhread_core::AdvertisedEvacuations;
use iristhread_core::EvacuationChange;
use iristhread_core::EvacuationUpdate;
use iristhread_core::GatewayControl;
use iristhread_core::ListedState;
use iristhread_core::Now;
use iristhread_core::Replica;
use iristhread_core::ReplicaChange;
use iristhread_core::ReplicaList;
use iristhread_core::Revision;
use iristhread_core::ZoneEvacuations;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::Config as ProptestConfig;
use proptest::test_runner::RngSeed;
use test_case::test_case;

use gateway_scene::ask;
use gateway_scene::config;
use gateway_scene::engine;
use gateway_scene::ms;

const NOW: Now = ms(60_000);

const fn at(era: u64, count: u64) -> Revision {
    Revision { era, count }
}

fn born(id: &str, born_ms: u64) -> Replica {
    Replica {
        born_ms: Some(born_ms),
        ..engine(id, "z1")
    }
}

/// Returns a control that has read nothing from the directory.
fn new_control() -> GatewayControl {
    let mut control = gateway_scene::control();
    control.offer_config(Arc::new(config(1)));
    control
}

fn offer_list(control: &mut GatewayControl, revision: Revision, replicas: &[Replica]) {
    control.offer_replicas(NOW, revision, replicas.to_vec());
}

#[test_case(at(1, 3), at(0, 900), true; "a later era with a lower count")]
#[test_case(at(0, 900), at(1, 3), false; "an earlier era with a higher count")]
#[test_case(at(2, 4), at(2, 3), true; "the same era")]
fn the_era_is_compared_before_the_count(one: Revision, other: Revision, is_newer: bool) {
    assert_eq!(one > other, is_newer);
}

#[test]
fn an_update_of_an_earlier_era_is_ignored() {
    let mut control = new_control();
    offer_list(&mut control, at(2, 5), &[born("a", 1)]);
    offer_list(&mut control, at(1, 900), &[]);
    control.change_replicas(NOW, at(1, 901), vec![removed("a")]);
    // Changes of a later era are ignored, too, since its full list is missing.
    control.change_replicas(NOW, at(3, 1), vec![removed("a")]);
    assert_eq!(control.list().state("a"), ListedState::Serving);
    assert_eq!(control.list().revision(), at(2, 5));
}

#[test]
fn entries_that_a_copy_lacks_are_expired() {
    let mut control = new_control();
    offer_list(&mut control, at(1, 9), &[born("a", 1), born("b", 1)]);
    offer_list(&mut control, at(2, 3), &[born("a", 1)]);
    assert_eq!(control.list().state("b"), ListedState::Expired);
    assert_eq!(control.list().lapsed(), ["b"]);
    control.change_replicas(NOW + ms(1_500), at(2, 4), listed(born("b", 1)));
    control.tick(NOW + ms(5_000));
    assert_eq!(control.list().state("b"), ListedState::Serving);
}

#[test]
fn entries_that_a_copy_lacks_are_removed_unless_rewritten() {
    let mut control = new_control();
    offer_list(&mut control, at(1, 9), &[born("a", 1), born("b", 1)]);
    offer_list(&mut control, at(2, 3), &[born("a", 1)]);
    control.tick(NOW + ms(2_001));
    assert_eq!(control.list().state("b"), ListedState::Removed);
}

/// An entry that a copy brings back does not prove that its server is running.
#[test]
fn a_removed_server_that_a_copy_brings_back_is_not_used_at_once() {
    let mut control = new_control();
    offer_list(&mut control, at(1, 8), &[born("a", 1)]);
    control.change_replicas(NOW, at(1, 9), vec![removed("a")]);
    offer_list(&mut control, at(2, 3), &[born("a", 1)]);
    assert!(control.place(NOW + ms(100), ask("r1")).is_err());
    assert_eq!(control.list().unconfirmed(NOW + ms(100)), ["a"]);
    assert!(
        control.place(NOW + ms(4_100), ask("r2")).is_ok(),
        "the entry is still listed"
    );
}

/// An entry that the server itself rewrites proves that it is running.
#[test]
fn a_removed_server_is_used_once_it_rewrites_its_entry() {
    let mut control = new_control();
    offer_list(&mut control, at(1, 8), &[born("a", 1)]);
    control.change_replicas(NOW, at(1, 9), vec![removed("a")]);
    offer_list(&mut control, at(2, 3), &[born("a", 1)]);
    control.change_replicas(NOW + ms(200), at(2, 4), listed(born("a", 1)));
    assert!(control.place(NOW + ms(300), ask("r1")).is_ok());
}

/// The copy lists an earlier incarnation: the sessions of the later one are not orphaned.
#[test]
fn an_earlier_incarnation_in_a_copy_replaces_no_later_one() {
    let mut control = new_control();
    offer_list(&mut control, at(1, 8), &[born("a", 1)]);
    offer_list(&mut control, at(1, 9), &[born("a", 2)]);
    control.take_orphaned();
    control.place(NOW, ask("r1")).unwrap();
    offer_list(&mut control, at(2, 3), &[born("a", 1)]);
    assert!(control.take_orphaned().is_empty());
    assert_eq!(control.list().replica("a").unwrap().born_ms, Some(2));
    assert_eq!(control.list().state("a"), ListedState::Expired);
}

#[test]
fn an_instance_of_an_earlier_era_gets_the_full_list() {
    let mut source = ReplicaList::default();
    source.snapshot(NOW, at(1, 9), vec![born("a", 1)]);
    source.snapshot(NOW, at(2, 3), vec![born("a", 1), born("b", 1)]);
    let advertised = source.delta_since(NOW, at(1, 9));
    assert!(advertised.above.is_none());
    let mut behind = ReplicaList::default();
    behind.snapshot(NOW, at(1, 9), vec![born("a", 1)]);
    assert!(behind.hear(NOW, advertised));
    assert_eq!(behind.state("b"), ListedState::Serving);
}

fn zones(revision: Revision, zones: &[&str]) -> EvacuationUpdate {
    EvacuationUpdate::Whole(AdvertisedEvacuations {
        revision,
        zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
    })
}

/// Sending to the zone would break the order, which is rewritten within two seconds.
#[test]
fn an_evacuation_that_a_copy_lacks_holds_until_it_is_ordered_again() {
    let mut evacuations = ZoneEvacuations::default();
    evacuations
        .take(NOW, zones(at(1, 9), &["z1", "z2"]))
        .unwrap();
    evacuations.take(NOW, zones(at(2, 3), &[])).unwrap();
    assert!(evacuations.is_evacuated("z1"));
    assert!(evacuations.told().zones.is_empty(), "it is not advertised");
    let again = EvacuationUpdate::Changed {
        after: at(2, 3),
        revision: at(2, 4),
        changes: vec![EvacuationChange::Began("z1".to_owned())],
    };
    evacuations.take(NOW + ms(500), again).unwrap();
    let ended = evacuations.expire(NOW + ms(2_000));
    assert_eq!(ended, [EvacuationChange::Ended("z2".to_owned())]);
    assert!(evacuations.is_evacuated("z1"));
}

/// Guards against a lost entry, found by a generated schedule: the entry was removed and rewritten
/// unchanged, and the source, which took a full list, saw neither change. An instance that had
/// read the directory in between never received the entry.
#[test]
fn an_entry_removed_and_rewritten_unseen_is_advertised() {
    let mut source = ReplicaList::default();
    source.snapshot(NOW, at(1, 2), vec![born("a", 1)]);
    let mut behind = ReplicaList::default();
    behind.snapshot(NOW, at(1, 3), Vec::new());
    source.snapshot(NOW, at(1, 4), vec![born("a", 1)]);
    behind.hear(NOW, source.delta_since(NOW, behind.revision()));
    assert_eq!(behind.state("a"), ListedState::Serving);
}

fn listed(replica: Replica) -> Vec<ReplicaChange> {
    vec![ReplicaChange::Listed(replica)]
}

fn removed(id: &str) -> ReplicaChange {
    ReplicaChange::Removed(id.to_owned())
}

/// Guards against a lost entry, found by a generated schedule: the source received the change of
/// an entry that was rewritten unchanged.
#[test]
fn an_entry_rewritten_unchanged_is_advertised() {
    let mut source = ReplicaList::default();
    source.snapshot(NOW, at(1, 2), vec![born("a", 1)]);
    source.change(NOW, at(1, 4), listed(born("a", 1)));
    let mut behind = ReplicaList::default();
    behind.snapshot(NOW, at(1, 3), Vec::new());
    behind.hear(NOW, source.delta_since(NOW, behind.revision()));
    assert_eq!(behind.state("a"), ListedState::Serving);
}

/// Guards against a removal that is not advertised, found by a generated schedule: the source
/// received the removal of an entry that it had never seen.
#[test]
fn the_removal_of_an_entry_never_seen_is_advertised() {
    let mut source = ReplicaList::default();
    source.snapshot(NOW, at(1, 1), Vec::new());
    source.change(NOW, at(1, 3), vec![removed("a")]);
    let mut behind = ReplicaList::default();
    behind.snapshot(NOW, at(1, 2), vec![born("a", 1)]);
    behind.hear(NOW, source.delta_since(NOW, behind.revision()));
    assert_eq!(behind.state("a"), ListedState::Removed);
}

/// A step of the directory or of one of three instances.
#[derive(Clone, Debug)]
enum Step {
    Write {
        id: u8,
        born_ms: u64,
    },
    Remove {
        id: u8,
    },
    /// The directory is copied.
    Copy,
    /// The directory is restored from the last copy.
    Restore,
    /// An instance reads the full list or the changes.
    Read {
        instance: usize,
    },
    /// An instance receives the list of another.
    Receive {
        from: usize,
        to: usize,
    },
    /// An instance receives an earlier list again.
    ReceiveLate {
        to: usize,
        place: usize,
    },
    /// Time passes.
    Pass {
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let instance = || 0_usize..3;
    proptest::prop_oneof![
        4 => (0_u8..5, 1_u64..4).prop_map(|(id, born_ms)| Step::Write { id, born_ms }),
        2 => (0_u8..5).prop_map(|id| Step::Remove { id }),
        1 => proptest::prelude::Just(Step::Copy),
        1 => proptest::prelude::Just(Step::Restore),
        4 => instance().prop_map(|instance| Step::Read { instance }),
        3 => (instance(), instance()).prop_map(|(from, to)| Step::Receive { from, to }),
        2 => (instance(), any::<usize>()).prop_map(|(to, place)| Step::ReceiveLate { to, place }),
        2 => (0_u64..5_000).prop_map(|ms| Step::Pass { ms }),
    ]
}

/// A directory that can be restored from a copy, with the changes of its era.
#[derive(Clone, Default)]
struct Directory {
    revision: Revision,
    entries: std::collections::BTreeMap<String, Replica>,
    log: Vec<(u64, ReplicaChange)>,
}

impl Directory {
    fn write(&mut self, change: ReplicaChange) {
        self.revision.count += 1;
        match &change {
            ReplicaChange::Listed(replica) => {
                self.entries.insert(replica.id.clone(), replica.clone());
            }
            ReplicaChange::Removed(id) | ReplicaChange::Unusable(id) => {
                self.entries.remove(id);
            }
        }
        self.log.push((self.revision.count, change));
    }

    /// Reads as a reader does: the changes if they are known, the full list otherwise.
    fn read(&self, now: Now, list: &mut ReplicaList) {
        let known = list.revision();
        if known.is_none() || known.era != self.revision.era {
            let all = self.entries.values().cloned().collect();
            list.snapshot(now, self.revision, all);
            return;
        }
        let new = self.log.iter().filter(|(count, _)| *count > known.count);
        let changes = new.map(|(_, change)| change.clone()).collect();
        list.change(now, self.revision, changes);
    }
}

/// Default number of schedules; `PROPTEST_CASES` overrides it.
const SCHEDULES: u32 = 512;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("PROPTEST_CASES")
            .ok()
            .and_then(|cases| cases.parse().ok())
            .unwrap_or(SCHEDULES),
        // The same schedules in each run.
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// In the end every instance holds the entries of the directory, whatever arrived late, twice
    /// or from other instances, and the revision of no instance ever decreases.
    #[test]
    fn all_instances_converge_on_the_directory(steps in vec(step(), 1..60)) {
        let mut directory = Directory { revision: at(1, 1), ..Directory::default() };
        let mut copy = directory.clone();
        let mut lists = vec![ReplicaList::default(); 3];
        let mut sent = Vec::new();
        let mut now = NOW;
        for step in steps {
            let before: Vec<Revision> = lists.iter().map(ReplicaList::revision).collect();
            match step {
                Step::Write { id, born_ms } => {
                    let replica = born(&format!("s{id}"), born_ms);
                    directory.write(ReplicaChange::Listed(replica));
                }
                Step::Remove { id } => directory.write(ReplicaChange::Removed(format!("s{id}"))),
                Step::Copy => copy = directory.clone(),
                Step::Restore => {
                    let era = directory.revision.era + 1;
                    directory = copy.clone();
                    directory.revision.era = era;
                    directory.log.clear();
                }
                Step::Read { instance } => directory.read(now, &mut lists[instance]),
                Step::Receive { from, to } => {
                    let list = lists[from].delta_since(now, lists[to].revision());
                    lists[to].hear(now, list.clone());
                    sent.push(list);
                }
                Step::ReceiveLate { to, place } if !sent.is_empty() => {
                    let late = sent[place % sent.len()].clone();
                    lists[to].hear(now, late);
                }
                Step::ReceiveLate { .. } => {}
                Step::Pass { ms } => now += Duration::from_millis(ms),
            }
            for (list, before) in lists.iter().zip(before) {
                assert!(list.revision() >= before, "the revision decreased");
            }
        }
        for list in &mut lists {
            directory.read(now, list);
            list.expire(now + ms(10_000));
            let now = now + ms(10_000);
            let held: Vec<&Replica> = list.serving(now + ms(10_000)).collect();
            let expected: Vec<&Replica> = directory.entries.values().collect();
            assert_eq!(held, expected);
        }
    }
}
