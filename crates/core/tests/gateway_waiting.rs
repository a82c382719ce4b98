//! Requests that wait for room: order, shares of workspaces and instances, and their ends.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway_scene;

use std::collections::BTreeMap;
use std::time::Duration;

use iristhread_core::AdvertisedCrash;
use iristhread_core::AdvertisedSuspect;
use iristhread_core::AdvertisedTotals;
use iristhread_core::GatewayControl;
use iristhread_core::GatewayParameters;
use iristhread_core::LoadShare;
use iristhread_core::PlacementAdmission as Admission;
use iristhread_core::PlacementRequest;
use iristhread_core::RefusalKind;
use iristhread_core::ReplicaChange;
use iristhread_core::RunEnd;
use iristhread_core::Totals;
use iristhread_core::WorkspaceShares;
use iristhread_core::WorkspaceUse;

use gateway_scene::MEMORY_TOKENS;
use gateway_scene::ask;
use gateway_scene::engine;
use gateway_scene::instance;
use gateway_scene::ms;
use gateway_scene::terms;
use gateway_scene::told;

/// Time at which the engine of [`full`] is full.
const START_MS: u64 = 40_000;

/// A request for a tenth of an engine that can wait for 4 s.
fn request(id: &str, workspace: &str, at_ms: u64) -> PlacementRequest {
    let mut ask = ask(id);
    ask.expected_tokens = Some(0);
    ask.level.rank.route = 1;
    ask.level.workspace = Some(workspace.to_owned());
    ask.level.arrived = ms(at_ms);
    ask.level.objective = ms(4_000);
    ask
}

fn control(max_waiting: usize, seed: usize) -> GatewayControl {
    let mut control = instance(seed, &[engine("e1", "z1")]);
    control.set_terms(GatewayParameters {
        max_waiting,
        ..terms()
    });
    control
}

/// A gateway whose only engine is full at [`START_MS`]. One of ten sessions, `old30` to `old39`,
/// ends each second.
fn full(max_waiting: usize, seed: usize) -> GatewayControl {
    let mut control = control(max_waiting, seed);
    for second in 0..START_MS / 1_000 {
        let at = ms(second * 1_000);
        if second >= 10 {
            control.ended(at, &format!("old{}", second - 10), RunEnd::Answered);
        }
        let old = request(&format!("old{second}"), "old", second * 1_000);
        control.place(at, old).unwrap();
    }
    control
}

fn waits(control: &mut GatewayControl, ask: PlacementRequest) -> bool {
    let arrived = ask.level.arrived;
    matches!(control.admit(arrived, ask), Admission::Waiting { .. })
}

/// The requests that are placed now.
fn placed(control: &mut GatewayControl, at_ms: u64) -> Vec<String> {
    let decided = control.admit_waiting(ms(at_ms)).into_iter();
    let placed = decided.filter(|(_, admission)| matches!(admission, Admission::Placed(_)));
    placed.map(|(request, _)| request).collect()
}

/// Number of requests of each workspace that are placed within their objective, while one sends one
/// and the other twenty requests a second to an engine that bears five.
fn served(max_waiting: usize) -> BTreeMap<String, u32> {
    let mut control = control(max_waiting, 1);
    let mut ends: BTreeMap<u64, Vec<String>> = BTreeMap::new();
    let mut served: BTreeMap<String, u32> = BTreeMap::new();
    for at in (0..40_000).step_by(10) {
        for id in ends.remove(&at).unwrap_or_default() {
            control.ended(ms(at), &id, RunEnd::Answered);
        }
        let mut placed = placed(&mut control, at);
        for (workspace, every) in [("large", 50), ("small", 1_000)] {
            if at % every == 0 {
                let id = format!("{workspace} {at}");
                let ask = request(&id, workspace, at);
                if let Admission::Placed(_) = control.admit(ms(at), ask) {
                    placed.push(id);
                }
            }
        }
        for id in placed {
            let workspace = id.split(' ').next().unwrap().to_owned();
            *served.entry(workspace).or_default() += 1;
            ends.entry(at + 2_000).or_default().push(id);
        }
    }
    served
}

/// A workspace that sends twenty times as much as another must not take its room.
#[test]
fn a_small_workspace_is_served_beside_a_large_one() {
    let (without, with) = (served(0), served(50));
    assert!(without["small"] < 30, "{without:?}");
    assert!(with["small"] >= 38, "{with:?}");
    let sum = |served: &BTreeMap<String, u32>| served.values().sum::<u32>();
    assert!(sum(&with) + 5 >= sum(&without), "{without:?} then {with:?}");
}

/// Urgent requests that arrive later are placed first, then the workspace that uses least.
#[test]
fn urgent_requests_come_before_others() {
    let mut control = full(10, 1);
    assert!(waits(&mut control, request("old", "old", START_MS)));
    assert!(waits(&mut control, request("new", "new", START_MS + 1)));
    let mut urgent = request("urgent", "old", START_MS + 2);
    urgent.level.rank.route = 0;
    assert!(waits(&mut control, urgent));
    let mut order = Vec::new();
    for second in 0..3 {
        let at = START_MS + 100 + second * 1_000;
        control.ended(ms(at), &format!("old{}", second + 30), RunEnd::Answered);
        order.extend(placed(&mut control, at));
    }
    assert_eq!(order, ["urgent", "new", "old"]);
}

/// A caller that has left must not be given room, nor be counted ahead of others.
#[test]
fn a_request_whose_caller_left_is_not_placed() {
    let mut control = full(10, 1);
    assert!(waits(&mut control, request("r1", "one", START_MS)));
    control.withdraw_waiting("r1");
    control.ended(ms(START_MS + 10), "old30", RunEnd::Answered);
    assert!(placed(&mut control, START_MS + 10).is_empty());
}

/// A request that waits longer than it can be served in time holds its caller for nothing.
#[test]
fn no_request_waits_beyond_its_time() {
    let mut control = full(3, 1);
    let admitted = control.admit(ms(START_MS), request("r0", "one", START_MS));
    let Admission::Waiting { until } = admitted else {
        panic!("{admitted:?}");
    };
    assert_eq!(until, ms(START_MS + 4_000));
    assert!(waits(&mut control, request("r1", "one", START_MS)));
    assert!(waits(&mut control, request("r2", "one", START_MS)));
    // Room for a fourth is expected after four seconds, which is too late.
    assert!(!waits(&mut control, request("r3", "one", START_MS)));
    assert!(control.admit_waiting(until - ms(1)).is_empty());
    let refused = control.admit_waiting(until);
    assert_eq!(refused.len(), 3);
    for (_, admission) in refused {
        let Admission::Refused(refusal) = admission else {
            panic!("{admission:?}");
        };
        assert_eq!(refusal.kind, RefusalKind::Deadline);
        assert!(refusal.retry_after > Duration::ZERO);
    }
    assert_eq!(control.running(), 10);
}

/// Requests that no engine will have room for in time, and those beyond the bound, are refused at
/// once.
#[test]
fn a_request_waits_only_for_expected_room() {
    let mut control = full(1, 1);
    let mut hurried = request("r0", "one", START_MS);
    hurried.level.objective = ms(500);
    assert!(!waits(&mut control, hurried));
    assert!(waits(&mut control, request("r1", "one", START_MS)));
    assert!(!waits(&mut control, request("r2", "one", START_MS)));
    assert!(!waits(&mut full(0, 1), request("r3", "one", START_MS)));
    // Nothing has ended here yet.
    let mut control = self::control(10, 1);
    for number in 0..10 {
        let old = request(&format!("old{number}"), "old", 0);
        control.place(ms(0), old).unwrap();
    }
    assert!(!waits(&mut control, request("r4", "one", 0)));
}

/// A request under whose content servers crash must not be sent after it has waited.
#[test]
fn the_quarantine_applies_to_waiting_requests() {
    let mut control = full(10, 1);
    let ask = request("r1", "one", START_MS);
    let ends = [1_000, 2_000, 3_000].map(|age_ms| AdvertisedCrash {
        life: age_ms,
        age_ms,
    });
    let suspect = AdvertisedSuspect {
        fingerprint: ask.fingerprint,
        ends: ends.to_vec(),
        proof_age_ms: None,
        quarantine: None,
        part: None,
    };
    assert!(waits(&mut control, ask));
    control.apply_peer_suspects(ms(START_MS), &[suspect]);
    let decided = control.admit_waiting(ms(START_MS + 60));
    assert_eq!(decided.len(), 1);
    let (_, Admission::Refused(refusal)) = &decided[0] else {
        panic!("{decided:?}");
    };
    assert_eq!(refusal.kind, RefusalKind::Quarantined);
}

/// What some workspaces don't ask for is shared by the others.
#[test]
fn fair_shares_are_max_min() {
    let used = |running_tokens, waiting_tokens| WorkspaceUse {
        running_tokens,
        waiting_tokens,
    };
    let uses = [
        ("a", used(1_000, 1_000)),
        ("b", used(2_000, 9_000)),
        ("c", used(6_000, 0)),
    ];
    let uses = uses.map(|(name, used)| (name.to_owned(), used));
    let shares = WorkspaceShares::new(10_000.0, &BTreeMap::from(uses));
    // The first gets the 2,000 tokens that it asks for, the others 4,000 each.
    let parts = ["a", "b", "c", "d"].map(|workspace| shares.part_in_use(workspace));
    assert_eq!(parts, [0.25, 0.5, 1.5, 0.0]);
}

/// An instance that stops refuses what waits, and nothing of it was sent.
#[test]
fn a_stop_refuses_all_waiting_requests() {
    let mut control = full(10, 1);
    let load = control.shares();
    assert!(waits(&mut control, request("r1", "one", START_MS)));
    assert!(waits(&mut control, request("r2", "two", START_MS)));
    let refused = control.refuse_waiting(ms(START_MS));
    let names: Vec<&str> = refused
        .iter()
        .map(|(request, _)| request.as_str())
        .collect();
    assert_eq!(names, ["r1", "r2"]);
    assert_eq!((control.waiting(), control.running()), (0, 10));
    assert_eq!(control.shares(), load);
    control.ended(ms(START_MS), "old30", RunEnd::Answered);
    assert!(placed(&mut control, START_MS + 1_000).is_empty());
}

fn waiting_elsewhere(instance: &str, tokens: u64) -> AdvertisedTotals {
    let used = WorkspaceUse {
        running_tokens: 0,
        waiting_tokens: tokens,
    };
    let key = ("engines".to_owned(), "other".to_owned());
    AdvertisedTotals {
        instance: instance.to_owned(),
        zone: "z1".to_owned(),
        totals: Totals {
            workspaces: BTreeMap::from([(key, used)]),
            ..Totals::default()
        },
        is_zone_sum: false,
    }
}

/// All instances see an engine that comes back at the same time. If each placed what it has waiting,
/// the engine would get 2.4 times its memory.
#[test]
fn an_engine_that_comes_back_is_not_overfilled() {
    const TRIALS: usize = 40;
    let mut sum = 0;
    for seed in 0..8 * TRIALS {
        let mut control = full(10, seed);
        for number in 0..3 {
            let ask = request(&format!("r{number}"), "one", START_MS);
            assert!(waits(&mut control, ask));
        }
        for peer in 0..7 {
            let totals = waiting_elsewhere(&format!("p{peer}"), 3_000);
            control.apply_peer_totals(ms(START_MS), totals);
        }
        let changes = vec![ReplicaChange::Listed(engine("e2", "z1"))];
        control.change_replicas(ms(START_MS), 2, changes);
        for at in [0, 60, 120] {
            placed(&mut control, START_MS + at);
        }
        let load = control.shares().remove("e2").unwrap_or_default();
        // An eighth of the memory, which is one request and a quarter.
        assert!((1_000..=2_000).contains(&load.session_tokens));
        sum += load.session_tokens;
    }
    let mean = sum / TRIALS as u64;
    let expected = MEMORY_TOKENS * 9 / 10..=MEMORY_TOKENS * 11 / 10;
    assert!(expected.contains(&mean), "{mean}");
}

/// New requests would otherwise take the room before those that wait at other instances.
#[test]
fn new_requests_take_their_part_as_well() {
    let placed = (0..40).filter(|seed| {
        let mut control = full(10, *seed);
        control.apply_peer_totals(ms(START_MS), waiting_elsewhere("p1", 9_000));
        control.ended(ms(START_MS), "old30", RunEnd::Answered);
        let admitted = control.admit(ms(START_MS), request("new", "one", START_MS));
        matches!(admitted, Admission::Placed(_))
    });
    // A tenth of all that wait.
    assert!((1..=10).contains(&placed.count()));
    let mut control = full(10, 1);
    control.apply_peer_totals(ms(START_MS), waiting_elsewhere("p1", 100_000_000));
    control.ended(ms(START_MS), "old30", RunEnd::Answered);
    let mut urgent = request("urgent", "one", START_MS);
    urgent.level.rank.route = 0;
    let admitted = control.admit(ms(START_MS), urgent);
    assert!(matches!(admitted, Admission::Placed(_)), "{admitted:?}");
}

/// What an instance that fell silent had waiting must not keep room from the others for long.
#[test]
fn the_part_of_a_silent_peer_is_used_again() {
    let mut control = full(10, 1);
    assert!(waits(&mut control, request("r1", "one", START_MS)));
    control.apply_peer_totals(ms(START_MS), waiting_elsewhere("p1", 100_000_000));
    control.ended(ms(START_MS + 10), "old30", RunEnd::Answered);
    control.tick(ms(START_MS + 2_900));
    assert!(placed(&mut control, START_MS + 2_900).is_empty());
    control.tick(ms(START_MS + 3_100));
    assert_eq!(placed(&mut control, START_MS + 3_100), ["r1"]);
}

/// Instances tell each other the memory of workspaces only while requests wait, so that heartbeats
/// are no larger otherwise.
#[test]
fn workspaces_are_advertised_while_requests_wait() {
    let mut control = full(10, 1);
    assert!(control.advertised_totals(ms(START_MS)).is_none());
    assert!(waits(&mut control, request("r1", "one", START_MS)));
    let totals = control.advertised_totals(ms(START_MS)).unwrap();
    let of = |workspace: &str| totals.workspaces[&("engines".to_owned(), workspace.to_owned())];
    assert_eq!(of("old").running_tokens, MEMORY_TOKENS);
    assert_eq!(of("one").waiting_tokens, 1_000);
    control.withdraw_waiting("r1");
    let totals = control.advertised_totals(ms(START_MS + 1_000)).unwrap();
    assert!(totals.is_empty());
    control.apply_peer_totals(ms(START_MS + 1_000), waiting_elsewhere("p1", 1_000));
    let load = BTreeMap::from([("e1".to_owned(), LoadShare::default())]);
    control.apply_peer_load(ms(START_MS + 1_000), told("p1", 1, load));
    let totals = control.advertised_totals(ms(START_MS + 2_000)).unwrap();
    assert!(!totals.is_empty());
}

/// The forecast in the log line of a wait counted the request itself among those before it, so that
/// it seemed to wait although room was expected too late.
#[test]
fn forecast_of_waiting_request_leaves_itself_out() {
    let mut control = full(10, 1);
    let ask = request("r1", "w1", START_MS);
    assert!(waits(&mut control, ask.clone()));
    let forecast = control.wait_forecast(ms(START_MS), &ask);
    assert_eq!(forecast.tokens_ahead, 0.0);
    assert!(ms(START_MS) + forecast.wait.unwrap() < forecast.until);
    let next = control.wait_forecast(ms(START_MS), &request("r2", "w1", START_MS));
    assert!(next.tokens_ahead > 0.0);
}
