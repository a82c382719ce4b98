//! Parts of prompts that crash engines: few engines crash under a bad part, whatever disturbs the
//! instances, and requests without it are served as before.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway_scene;
mod poison_scene;

use std::time::Duration;

use test_case::test_case;

use gateway_scene::ms;
use poison_scene::Caller;
use poison_scene::Counts;
use poison_scene::PoisonedFleet;

/// The shortest contact time that a deployment sets.
const CONTACT: Duration = ms(3_000);

/// Crashes under one part, and sends of it after that, that the users' rules allow.
const MOST_CRASHES: usize = 5;
const MOST_SENDS_AFTER: usize = 3;

/// Share of the sound requests that have to be placed at the first try.
const SERVED: f64 = 0.95;

const SOUND: Caller = Caller {
    workspace: "one",
    parts: &["system", "catalogue"],
    per_s: 8.0,
};

const OTHER_SOUND: Caller = Caller {
    workspace: "two",
    parts: &["system", "prices"],
    per_s: 8.0,
};

const BAD: Caller = Caller {
    workspace: "one",
    parts: &["system", "bad"],
    per_s: 6.0,
};

/// A bad part before one that others share.
const BAD_FIRST: Caller = Caller {
    parts: &["bad", "catalogue"],
    ..BAD
};

/// What disturbs an instance while the bad part appears.
#[derive(Clone, Copy)]
enum Trouble {
    None,
    Loss,
    Starts,
    Frozen,
    CutOff,
}

/// Sends only sound requests for some seconds, then those with a bad part as well.
fn poisoned(instances: usize, trouble: Trouble, bad: &Caller, seed: u64) -> PoisonedFleet {
    let mut fleet = PoisonedFleet::start(instances, seed);
    fleet.run(ms(3_000), &[SOUND, OTHER_SOUND]);
    fleet.bad_parts = vec!["bad"];
    match trouble {
        Trouble::None | Trouble::Starts => {}
        Trouble::Loss => fleet.loses_one_in = 4,
        Trouble::Frozen => fleet.instances[4].frozen_until = fleet.now + ms(2_500),
        Trouble::CutOff => fleet.instances[4].cut_off_until = fleet.now + ms(5_000),
    }
    let callers = [SOUND, OTHER_SOUND, bad.clone()];
    fleet.run(ms(2_000), &callers);
    if matches!(trouble, Trouble::Starts) {
        fleet.restart(4);
    }
    fleet.run(ms(5_000), &callers);
    fleet.sound = Counts::default();
    fleet.run(ms(3_000), &callers);
    fleet
}

/// Requests that share only a bad part were each suspected by themselves, and crashed engine after
/// engine.
#[test_case(9, Trouble::None, &BAD)]
#[test_case(9, Trouble::None, &BAD_FIRST; "bad part first")]
#[test_case(9, Trouble::Loss, &BAD; "a quarter of the heartbeats lost")]
#[test_case(9, Trouble::Starts, &BAD; "an instance starts")]
#[test_case(9, Trouble::Frozen, &BAD; "an instance stands still")]
#[test_case(9, Trouble::CutOff, &BAD; "an instance is cut off")]
#[test_case(40, Trouble::None, &BAD; "relays")]
#[test_case(40, Trouble::Loss, &BAD; "relays, a quarter of the heartbeats lost")]
#[test_case(40, Trouble::Frozen, &BAD; "relays, one of them stands still")]
#[test_case(300, Trouble::Loss, &BAD; "300 instances")]
fn few_engines_crash_under_a_bad_part(instances: usize, trouble: Trouble, bad: &Caller) {
    for seed in 0..3 {
        let fleet = poisoned(instances, trouble, bad, seed);
        let disconnected: &[usize] = match trouble {
            Trouble::CutOff => &[4],
            _ => &[],
        };
        assert_bounded(&fleet, disconnected, &format!("seed {seed}"));
    }
}
/// Checks the users' bounds: five crashes, three further sends later than the contact time after the
/// fifth, and sound requests served as before.
fn assert_bounded(fleet: &PoisonedFleet, disconnected: &[usize], what: &str) {
    let after = fleet.late_sends(MOST_CRASHES, CONTACT, disconnected);
    assert!(after <= MOST_SENDS_AFTER, "{what}: {after} sends after");
    let crashes = fleet.connected_crashes(disconnected) - after;
    assert!(crashes <= MOST_CRASHES, "{what}: {crashes} crashes");
    let sound = fleet.sound;
    assert_eq!(sound.quarantined, 0, "{what}");
    let served = sound.placed as f64 / sound.sent as f64;
    assert!(served >= SERVED, "{what}: {sound:?}");
}

/// Each of two bad parts is found by itself, although a part that they share with sound requests was
/// at all crashes of both.
#[test]
fn two_bad_parts_at_once_are_told_apart() {
    for seed in 0..5 {
        let mut fleet = PoisonedFleet::start(9, seed);
        fleet.run(ms(3_000), &[SOUND, OTHER_SOUND]);
        fleet.bad_parts = vec!["bad", "worse"];
        let worse = Caller {
            parts: &["system", "worse"],
            ..BAD
        };
        fleet.run(ms(10_000), &[SOUND, OTHER_SOUND, BAD, worse]);
        let crashes = fleet.crashes.len();
        assert!(
            crashes <= 2 * MOST_CRASHES,
            "seed {seed}: {crashes} crashes"
        );
        assert_eq!(fleet.sound.quarantined, 0, "seed {seed}");
    }
}

/// A part that is bad in all workspaces costs few engines, not as many for each of them.
#[test]
fn a_part_in_several_workspaces_is_found_once() {
    const WORKSPACES: [&str; 6] = ["one", "two", "three", "four", "five", "six"];
    for seed in 0..5 {
        let mut fleet = PoisonedFleet::start(9, seed);
        fleet.run(ms(3_000), &[SOUND, OTHER_SOUND]);
        fleet.bad_parts = vec!["bad"];
        for workspace in WORKSPACES {
            let bad = Caller { workspace, ..BAD };
            fleet.run(ms(2_000), &[SOUND, OTHER_SOUND, bad]);
        }
        let crashes = fleet.crashes.len();
        assert!(
            crashes <= 2 * MOST_CRASHES,
            "seed {seed}: {crashes} crashes"
        );
        assert_eq!(fleet.sound.quarantined, 0, "seed {seed}");
    }
}

/// A caller can't get a part of another workspace refused by requests that crash engines and claim
/// to have that part.
#[test]
fn crafted_requests_block_no_part_of_another_workspace() {
    let crafted = Caller {
        workspace: "three",
        parts: &["system", "catalogue", "bad"],
        per_s: 6.0,
    };
    for seed in 0..5 {
        let mut fleet = PoisonedFleet::start(9, seed);
        fleet.run(ms(3_000), &[SOUND, OTHER_SOUND]);
        fleet.bad_parts = vec!["bad"];
        fleet.run(ms(10_000), &[SOUND, OTHER_SOUND, crafted.clone()]);
        assert_eq!(fleet.sound.quarantined, 0, "seed {seed}");
    }
}

/// One instance tries the part after its quarantine, and all send it again once it runs well.
#[test]
fn a_repaired_part_is_released_by_one_probe() {
    let mut fleet = poisoned(9, Trouble::None, &BAD, 1);
    fleet.bad_parts.clear();
    let calm = Caller { per_s: 2.0, ..BAD };
    fleet.run(ms(240_000), std::slice::from_ref(&calm));
    fleet.sound = Counts::default();
    fleet.run(ms(5_000), &[calm]);
    assert!(fleet.sound.sent > 0);
    assert_eq!(fleet.sound.placed, fleet.sound.sent);
    assert_eq!(fleet.quarantined_parts(), 0);
}

/// Engines that end for another cause, beside a part that most requests have.
#[test_case(true; "the part ran well before")]
#[test_case(false; "the part is new")]
fn a_common_part_is_not_taken_for_the_cause_of_other_crashes(ran_before: bool) {
    for seed in 0..5 {
        let mut fleet = PoisonedFleet::start(9, seed);
        if ran_before {
            fleet.run(ms(3_000), &[SOUND, OTHER_SOUND]);
        }
        for _ in 0..5 {
            fleet.run(ms(700), &[SOUND, OTHER_SOUND]);
            fleet.lose_engines(5);
            fleet.run(ms(4_000), &[SOUND, OTHER_SOUND]);
        }
        assert_eq!(fleet.sound.quarantined, 0, "seed {seed}");
    }
}

/// Contents that are seen once push no part out of what the instances remember and tell.
#[test]
fn a_bad_part_is_found_beside_many_crashes_of_other_requests() {
    for seed in 0..3 {
        let mut fleet = PoisonedFleet::start(9, seed);
        let busy = Caller {
            per_s: 60.0,
            ..SOUND
        };
        let rare = Caller { per_s: 1.0, ..BAD };
        fleet.run(ms(3_000), std::slice::from_ref(&busy));
        fleet.bad_parts = vec!["bad"];
        fleet.run(ms(15_000), &[busy, rare]);
        assert_bounded(&fleet, &[], &format!("seed {seed}"));
    }
}
