//! What a directory that came back from a copy says is newer, whatever it counts; what it
//! lacks or brings back cuts nobody's work.
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

/// Decisions that have read nothing of the directory.
fn fresh() -> GatewayControl {
    let mut control = gateway_scene::control();
    control.offer_config(Arc::new(config(1)));
    control
}

fn lists(control: &mut GatewayControl, revision: Revision, replicas: &[Replica]) {
    control.offer_replicas(NOW, revision, replicas.to_vec());
}

#[test_case(at(1, 3), at(0, 900), true; "a later era counts from lower")]
#[test_case(at(0, 900), at(1, 3), false; "an earlier era has counted higher")]
#[test_case(at(2, 4), at(2, 3), true; "one era")]
fn which_is_newer(one: Revision, other: Revision, is_newer: bool) {
    assert_eq!(one > other, is_newer);
}

#[test]
fn news_of_an_earlier_era_undo_nothing() {
    let mut control = fresh();
    lists(&mut control, at(2, 5), &[born("a", 1)]);
    lists(&mut control, at(1, 900), &[]);
    control.change_replicas(NOW, at(1, 901), vec![removed("a")]);
    // Nor do changes of a later one, before which the whole list is missing.
    control.change_replicas(NOW, at(3, 1), vec![removed("a")]);
    assert_eq!(control.list().state("a"), ListedState::Serving);
    assert_eq!(control.list().revision(), at(2, 5));
}

#[test]
fn what_a_copy_lacks_has_lapsed() {
    let mut control = fresh();
    lists(&mut control, at(1, 9), &[born("a", 1), born("b", 1)]);
    lists(&mut control, at(2, 3), &[born("a", 1)]);
    assert_eq!(control.list().state("b"), ListedState::Expired);
    assert_eq!(control.list().lapsed(), ["b"]);
    control.change_replicas(NOW + ms(1_500), at(2, 4), listed(born("b", 1)));
    control.tick(NOW + ms(5_000));
    assert_eq!(control.list().state("b"), ListedState::Serving);
}

#[test]
fn what_a_copy_lacks_is_gone_unless_it_is_written_again() {
    let mut control = fresh();
    lists(&mut control, at(1, 9), &[born("a", 1), born("b", 1)]);
    lists(&mut control, at(2, 3), &[born("a", 1)]);
    control.tick(NOW + ms(2_001));
    assert_eq!(control.list().state("b"), ListedState::Removed);
}

/// A copy that brings an entry back is no proof that its server lives.
#[test]
fn a_server_that_was_gone_is_not_used_at_once() {
    let mut control = fresh();
    lists(&mut control, at(1, 8), &[born("a", 1)]);
    control.change_replicas(NOW, at(1, 9), vec![removed("a")]);
    lists(&mut control, at(2, 3), &[born("a", 1)]);
    assert!(control.place(NOW + ms(100), ask("r1")).is_err());
    assert_eq!(control.list().unconfirmed(NOW + ms(100)), ["a"]);
    assert!(
        control.place(NOW + ms(4_100), ask("r2")).is_ok(),
        "it stayed"
    );
}

/// Whatever it writes itself proves it.
#[test]
fn a_server_that_was_gone_is_used_once_it_writes_again() {
    let mut control = fresh();
    lists(&mut control, at(1, 8), &[born("a", 1)]);
    control.change_replicas(NOW, at(1, 9), vec![removed("a")]);
    lists(&mut control, at(2, 3), &[born("a", 1)]);
    control.change_replicas(NOW + ms(200), at(2, 4), listed(born("a", 1)));
    assert!(control.place(NOW + ms(300), ask("r1")).is_ok());
}

/// The copy knows an earlier life: sessions of the later one are not looked for anew.
#[test]
fn an_earlier_life_in_a_copy_replaces_no_later_one() {
    let mut control = fresh();
    lists(&mut control, at(1, 8), &[born("a", 1)]);
    lists(&mut control, at(1, 9), &[born("a", 2)]);
    control.take_orphaned();
    control.place(NOW, ask("r1")).unwrap();
    lists(&mut control, at(2, 3), &[born("a", 1)]);
    assert!(control.take_orphaned().is_empty());
    assert_eq!(control.list().replica("a").unwrap().born_ms, Some(2));
    assert_eq!(control.list().state("a"), ListedState::Expired);
}

#[test]
fn an_instance_of_an_earlier_era_gets_the_whole_list() {
    let mut source = ReplicaList::default();
    source.snapshot(NOW, at(1, 9), vec![born("a", 1)]);
    source.snapshot(NOW, at(2, 3), vec![born("a", 1), born("b", 1)]);
    let told = source.delta_since(NOW, at(1, 9));
    assert!(told.above.is_none());
    let mut behind = ReplicaList::default();
    behind.snapshot(NOW, at(1, 9), vec![born("a", 1)]);
    assert!(behind.hear(NOW, told));
    assert_eq!(behind.state("b"), ListedState::Serving);
}

fn zones(revision: Revision, zones: &[&str]) -> EvacuationUpdate {
    EvacuationUpdate::Whole(AdvertisedEvacuations {
        revision,
        zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
    })
}

/// Sending there would break the order; it is written again within two seconds.
#[test]
fn an_evacuation_that_a_copy_lacks_holds_until_it_is_ordered_again() {
    let mut evacuations = ZoneEvacuations::default();
    evacuations
        .take(NOW, zones(at(1, 9), &["z1", "z2"]))
        .unwrap();
    evacuations.take(NOW, zones(at(2, 3), &[])).unwrap();
    assert!(evacuations.is_evacuated("z1"));
    assert!(evacuations.told().zones.is_empty(), "nobody is told of it");
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

/// Found by a generated schedule: the entry went and came as it was, and the teller, which
/// took a whole list, had seen neither. Who had read in between never got it.
#[test]
fn an_entry_that_went_and_came_unseen_is_told() {
    let mut teller = ReplicaList::default();
    teller.snapshot(NOW, at(1, 2), vec![born("a", 1)]);
    let mut behind = ReplicaList::default();
    behind.snapshot(NOW, at(1, 3), Vec::new());
    teller.snapshot(NOW, at(1, 4), vec![born("a", 1)]);
    behind.hear(NOW, teller.delta_since(NOW, behind.revision()));
    assert_eq!(behind.state("a"), ListedState::Serving);
}

fn listed(replica: Replica) -> Vec<ReplicaChange> {
    vec![ReplicaChange::Listed(replica)]
}

fn removed(id: &str) -> ReplicaChange {
    ReplicaChange::Removed(id.to_owned())
}

/// Found so as well: the teller heard that an entry was written as it was.
#[test]
fn an_entry_that_was_written_as_it_was_is_told_on() {
    let mut teller = ReplicaList::default();
    teller.snapshot(NOW, at(1, 2), vec![born("a", 1)]);
    teller.change(NOW, at(1, 4), listed(born("a", 1)));
    let mut behind = ReplicaList::default();
    behind.snapshot(NOW, at(1, 3), Vec::new());
    behind.hear(NOW, teller.delta_since(NOW, behind.revision()));
    assert_eq!(behind.state("a"), ListedState::Serving);
}

/// And so: the teller heard of a removal of what it had never seen.
#[test]
fn a_removal_of_what_was_never_seen_is_told_on() {
    let mut teller = ReplicaList::default();
    teller.snapshot(NOW, at(1, 1), Vec::new());
    teller.change(NOW, at(1, 3), vec![removed("a")]);
    let mut behind = ReplicaList::default();
    behind.snapshot(NOW, at(1, 2), vec![born("a", 1)]);
    behind.hear(NOW, teller.delta_since(NOW, behind.revision()));
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
    Copy,
    ComeBack,
    /// An instance reads the whole list, or what changed.
    Read {
        instance: usize,
    },
    /// An instance hears the list of another.
    Hear {
        from: usize,
        to: usize,
    },
    /// An instance hears an old telling again.
    HearLate {
        to: usize,
        place: usize,
    },
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
        1 => proptest::prelude::Just(Step::ComeBack),
        4 => instance().prop_map(|instance| Step::Read { instance }),
        3 => (instance(), instance()).prop_map(|(from, to)| Step::Hear { from, to }),
        2 => (instance(), any::<usize>()).prop_map(|(to, place)| Step::HearLate { to, place }),
        2 => (0_u64..5_000).prop_map(|ms| Step::Pass { ms }),
    ]
}

/// A directory that may come back from a copy, and what happened in this era.
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

    /// As a reader does: what changed where that can be told, else all.
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

/// Schedules in CI; `PROPTEST_CASES` gives more by hand.
const SCHEDULES: u32 = 512;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("PROPTEST_CASES")
            .ok()
            .and_then(|cases| cases.parse().ok())
            .unwrap_or(SCHEDULES),
        // The same schedules each time.
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Once all is quiet every instance holds what the directory holds, whatever came late,
    /// twice or from others, and no instance went back on the way.
    #[test]
    fn all_hold_what_the_directory_holds_in_the_end(steps in vec(step(), 1..60)) {
        let mut directory = Directory { revision: at(1, 1), ..Directory::default() };
        let mut copy = directory.clone();
        let mut lists = vec![ReplicaList::default(); 3];
        let mut told = Vec::new();
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
                Step::ComeBack => {
                    let era = directory.revision.era + 1;
                    directory = copy.clone();
                    directory.revision.era = era;
                    directory.log.clear();
                }
                Step::Read { instance } => directory.read(now, &mut lists[instance]),
                Step::Hear { from, to } => {
                    let telling = lists[from].delta_since(now, lists[to].revision());
                    lists[to].hear(now, telling.clone());
                    told.push(telling);
                }
                Step::HearLate { to, place } if !told.is_empty() => {
                    let late = told[place % told.len()].clone();
                    lists[to].hear(now, late);
                }
                Step::HearLate { .. } => {}
                Step::Pass { ms } => now += Duration::from_millis(ms),
            }
            for (list, before) in lists.iter().zip(before) {
                assert!(list.revision() >= before, "it went back");
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
