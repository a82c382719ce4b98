//! Memory that is kept free for requests of a more urgent rank.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway_scene;

use std::collections::BTreeMap;
use std::time::Duration;

use iristhread_core::GatewayControl;
use iristhread_core::GatewayParameters;
use iristhread_core::LoadShare;
use iristhread_core::PlacementRequest;
use iristhread_core::RunEnd;
use rand_core::Rng;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use test_case::test_case;

use gateway_scene::MEMORY_TOKENS;
use gateway_scene::ask;
use gateway_scene::control_with;
use gateway_scene::ms;
use gateway_scene::terms;
use gateway_scene::told;

const ENGINES: [&str; 4] = ["e1", "e2", "e3", "e4"];
const PLAY_MS: u64 = 60_000;
const STEP_MS: u64 = 10;

/// Requests that arrive at random.
#[derive(Clone, Copy)]
struct Stream {
    rank: u8,
    per_s: f64,
    prompt_tokens: u32,
    held: Duration,
}

/// Urgent short streams, which need a twentieth of the memory on average.
const SHORT: Stream = Stream {
    rank: 0,
    per_s: 8.0,
    prompt_tokens: 500,
    held: ms(500),
};

/// Long streams, which ask for a little more than the whole memory.
const LONG: Stream = Stream {
    rank: 2,
    per_s: 5.0,
    prompt_tokens: 700,
    held: ms(12_000),
};

#[derive(Default)]
struct Played {
    /// Requests placed and refused by rank, from the time on at which the engines are full.
    counts: BTreeMap<u8, (u32, u32)>,
    /// Mean fraction of the memory in use from that time on.
    memory: f64,
    /// First choices, and `None` for refusals.
    choices: Vec<Option<String>>,
}

fn request(stream: &Stream, id: &str) -> PlacementRequest {
    let mut ask = ask(id);
    ask.prompt_tokens = stream.prompt_tokens;
    ask.expected_tokens = Some(0);
    ask.level.rank.route = stream.rank;
    ask
}

fn control(rank_reserve: bool) -> GatewayControl {
    let mut control = control_with(&ENGINES);
    control.set_terms(GatewayParameters {
        rank_reserve,
        ..terms()
    });
    control
}

fn play(rank_reserve: bool, streams: &[Stream]) -> Played {
    let mut control = control(rank_reserve);
    let mut random = Pcg32::seed_from_u64(7);
    let mut ends: BTreeMap<u64, Vec<String>> = BTreeMap::new();
    let mut played = Played::default();
    let full_from = PLAY_MS / 3;
    for at in (0..PLAY_MS).step_by(STEP_MS as usize) {
        for id in ends.remove(&at).unwrap_or_default() {
            control.ended(ms(at), &id, RunEnd::Answered);
        }
        for stream in streams {
            let chance = f64::from(random.next_u32()) / f64::from(u32::MAX);
            if chance >= stream.per_s * STEP_MS as f64 / 1_000.0 {
                continue;
            }
            let id = format!("r{}-{at}", stream.rank);
            let placed = control.place(ms(at), request(stream, &id)).ok();
            let (count, refused) = played.counts.entry(stream.rank).or_default();
            *count += u32::from(at >= full_from && placed.is_some());
            *refused += u32::from(at >= full_from && placed.is_none());
            if placed.is_some() {
                let end = at + stream.held.as_millis() as u64;
                ends.entry(end).or_default().push(id);
            }
            let choice = placed.map(|ranking| ranking.replicas[0].id.clone());
            played.choices.push(choice);
        }
        if at >= full_from {
            let shares = control.shares();
            let used: u64 = shares.values().map(|share| share.session_tokens).sum();
            let capacity = MEMORY_TOKENS * ENGINES.len() as u64;
            let steps = (PLAY_MS - full_from) / STEP_MS;
            played.memory += used as f64 / (capacity * steps) as f64;
        }
    }
    played
}

/// Long streams that fill the memory leave no room to short and more urgent ones, which are then
/// refused although they need a twentieth of it.
#[test]
fn urgent_requests_find_room_beside_long_streams() {
    let without = play(false, &[SHORT, LONG]);
    let with = play(true, &[SHORT, LONG]);
    let (_, refused) = without.counts[&SHORT.rank];
    assert!(refused > 20, "only {refused} refused without headroom");
    let (placed, refused) = with.counts[&SHORT.rank];
    assert!(refused * 50 < placed, "{refused} refused");
    // The room that is kept free is what the urgent requests vary by, not more.
    let memory = with.memory;
    assert!(memory > 0.75, "{memory} of the memory were used");
    let long = |played: &Played| f64::from(played.counts[&LONG.rank].0);
    let (before, after) = (long(&without), long(&with));
    assert!(after > before * 0.75, "{before} then {after}");
}

/// Without requests of a more urgent rank, and with the setting off, decisions are those of a
/// gateway without headroom.
#[test_case(&[LONG]; "one rank")]
#[test_case(&[SHORT]; "urgent requests alone")]
fn nothing_is_kept_free_for_nobody(streams: &[Stream]) {
    let (without, with) = (play(false, streams), play(true, streams));
    assert_eq!(without.choices, with.choices);
    let mut control = control(true);
    let limit = control.placement_limit(ms(0), &request(&LONG, "r"));
    assert_eq!(limit, terms().memory_limit);
}

/// An instance sees the requests of some callers. What it keeps free follows from those of all, or
/// each instance of a fleet would keep a part of the room that is needed.
#[test]
fn the_requests_of_all_instances_count() {
    let headroom = |instances: u64| {
        let mut control = control(true);
        for peer in 1..instances {
            let load = told(&format!("peer{peer}"), 1, BTreeMap::new());
            control.apply_peer_load(ms(0), load);
        }
        // Ten requests a second at all instances together.
        for number in 0..300 / instances {
            let (at, id) = (ms(number * 100 * instances), format!("r{number}"));
            control.place(at, request(&SHORT, &id)).unwrap();
            control.ended(at + ms(50), &id, RunEnd::Answered);
        }
        control.rank_headroom(ms(30_000), &request(&LONG, "long"))
    };
    let (alone, shared) = (headroom(1), headroom(6));
    assert!(shared > alone * 0.8, "{alone} alone, {shared} in a fleet");
    assert!(shared < alone * 1.3, "{alone} alone, {shared} in a fleet");
}

/// Room that urgent requests needed once is used again when they no longer come.
#[test]
fn headroom_ends_with_the_urgent_requests() {
    let mut control = control(true);
    for number in 0..200_u64 {
        let (at, id) = (ms(number * 50), format!("r{number}"));
        control.place(at, request(&SHORT, &id)).unwrap();
        control.ended(at + ms(50), &id, RunEnd::Answered);
    }
    let long = request(&LONG, "long");
    assert!(control.rank_headroom(ms(10_000), &long) > 0.02);
    assert!(control.rank_headroom(ms(70_000), &long) < 0.005);
}

/// Loads the engines by a fraction of their memory.
fn load_engines(control: &mut GatewayControl, now: Duration, engines: &[(&str, f64)]) {
    let load = |fraction: f64| LoadShare {
        session_tokens: (MEMORY_TOKENS as f64 * fraction) as u64,
        ..LoadShare::default()
    };
    let shares = engines
        .iter()
        .map(|(id, part)| ((*id).to_owned(), load(*part)));
    control.apply_peer_load(now, told("i2", 1, shares.collect()));
}

/// While the engines have enough free on average, urgent requests find their room on another engine:
/// keeping it free on each would only move long streams to engines that serve them worse.
#[test]
fn nothing_is_kept_free_while_the_engines_have_room() {
    let mut control = control(true);
    for number in 0..200_u64 {
        let (at, id) = (ms(number * 50), format!("r{number}"));
        control.place(at, request(&SHORT, &id)).unwrap();
        control.ended(at + ms(50), &id, RunEnd::Answered);
    }
    let (now, long) = (ms(10_000), request(&LONG, "long"));
    let headroom = control.rank_headroom(now, &long);
    assert!(headroom > 0.02);
    load_engines(&mut control, now, &[("e1", 0.98), ("e2", 0.3)]);
    assert_eq!(control.placement_limit(now, &long), 1.0);
    // The load of a peer that is silent by then is forgotten.
    let now = now + ms(4_000);
    control.tick(now);
    load_engines(&mut control, now, &ENGINES.map(|id| (id, 0.98)));
    assert!(control.placement_limit(now, &long) < 1.0);
}

/// Urgent requests that ask for more than the whole memory leave half of it to the other ranks, and
/// a request larger than that half may still use an engine without load.
#[test]
fn no_rank_starves() {
    let mut control = control(true);
    let mut huge = request(&SHORT, "huge");
    huge.prompt_tokens = 9_000;
    for number in 0..40_u64 {
        let at = ms(number * 500);
        control.place(at, huge.clone()).unwrap();
        control.ended(at + ms(9_000), &huge.request, RunEnd::Answered);
    }
    let now = ms(20_000);
    let mut largest = request(&LONG, "largest");
    largest.prompt_tokens = 8_000;
    load_engines(&mut control, now, &[("e1", 0.9), ("e2", 0.9), ("e3", 0.9)]);
    assert_eq!(control.rank_headroom(now, &largest), 0.5);
    assert_eq!(control.placement_limit(now, &request(&LONG, "r")), 0.5);
    assert!(control.place(now, largest).is_ok());
}
