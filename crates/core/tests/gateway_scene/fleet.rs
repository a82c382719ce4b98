//! Instances that receive each other's heartbeats.

use std::net::SocketAddr;

use iristhread_core::FleetMembers;
use iristhread_core::MemberState;
use iristhread_core::Now;

use super::ms;

pub fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7_000).into()
}

pub fn state(number: u8, zone: &str, list_confirmed_at: Option<Now>) -> MemberState {
    MemberState {
        instance: format!("i{number}"),
        incarnation: "life".to_owned(),
        sequence: 1,
        sent_at: ms(1_000),
        zone: zone.to_owned(),
        core_millis: 120,
        has_relays: false,
        config_version: 1,
        config_confirmed_at: list_confirmed_at,
        list_revision: 1.into(),
        list_confirmed_at,
        can_read: true,
    }
}

pub fn members(number: u8) -> FleetMembers {
    FleetMembers::new(
        format!("i{number}"),
        "z1".to_owned(),
        120,
        address(number),
        vec![address(1)],
    )
}

/// Creates instances of one zone that have received each other's heartbeats.
pub fn zone_of(count: u8, now: Now) -> Vec<FleetMembers> {
    (1..=count)
        .map(|own| {
            let mut fleet = members(own);
            for other in (1..=count).filter(|other| *other != own) {
                fleet.apply_heartbeat(now, address(other), state(other, "z1", Some(now)));
            }
            fleet
        })
        .collect()
}
