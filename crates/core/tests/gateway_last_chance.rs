//! Requests that one more crash would quarantine are sent one at a time.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod ending_scene;
mod gateway_scene;

use iristhread_core::RefusalKind;
use iristhread_core::RunEnd;

use ending_scene::NOW;
use ending_scene::crash_engine;
use ending_scene::fleet;
use ending_scene::poison;
use ending_scene::refusal;
use gateway_scene::ms;

/// Guards against a request with two crashes that all instances sent at one moment, when the servers
/// of its service were back.
#[test]
fn one_instance_at_a_time_sends_what_one_more_crash_would_quarantine() {
    let mut fleet = fleet();
    for number in 0..2 {
        let request = format!("end-{number}");
        crash_engine(&mut fleet[0], NOW + ms(number * 300), &request);
    }
    let suspects = fleet[0].advertised_suspects(NOW + ms(500));
    for control in &mut fleet[1..] {
        control.apply_peer_suspects(NOW + ms(500), &suspects);
    }
    let back = NOW + ms(3_000);
    let refused = fleet.iter_mut().map(|control| refusal(control, back));
    assert_eq!(refused.flatten().count(), 3, "one instance sends");
    let again = fleet
        .iter_mut()
        .map(|control| refusal(control, back + ms(10)));
    assert_eq!(again.flatten().count(), 4, "one request at a time");
    let sender = fleet.iter().position(|c| c.running() > 0).unwrap();
    fleet[sender].ended(back + ms(50), "one more", RunEnd::Refused);
    assert_eq!(refusal(&mut fleet[sender], back + ms(60)), None);
    // Soon all may send it again, whether or not they hear of that one.
    let later = fleet
        .iter_mut()
        .map(|control| refusal(control, NOW + ms(5_500)));
    assert_eq!(later.flatten().count(), 0);
}

/// What many callers send is served by all instances between two bursts of crashes.
#[test]
fn what_ran_well_lately_is_sent_as_ever_after_two_crashes() {
    let mut fleet = fleet();
    for control in &mut fleet {
        control.place(NOW, poison("good")).unwrap();
        control.ended(NOW + ms(50), "good", RunEnd::Answered);
    }
    for number in 1..3 {
        let request = format!("end-{number}");
        crash_engine(&mut fleet[0], NOW + ms(number * 400), &request);
    }
    let suspects = fleet[0].advertised_suspects(NOW + ms(1_000));
    for control in &mut fleet {
        control.apply_peer_suspects(NOW + ms(1_000), &suspects);
        assert_eq!(refusal(control, NOW + ms(1_100)), None);
    }
}

/// An instance that hears nobody sends one at a time, too: nobody would send it otherwise.
#[test]
fn an_isolated_instance_sends_one_at_a_time_after_two_crashes() {
    let mut fleet = fleet();
    let isolated = &mut fleet[0];
    isolated.tick(NOW + ms(200_000));
    for number in 0..2 {
        let now = NOW + ms(200_000 + number * 300);
        crash_engine(isolated, now, &format!("end-{number}"));
    }
    assert_eq!(refusal(isolated, NOW + ms(201_000)), None);
    let second = refusal(isolated, NOW + ms(201_010));
    assert_eq!(second, Some(RefusalKind::Quarantined));
}
