//! Detection of updates that must be fetched because they did not arrive by themselves.

use iristhread_core::KnownVersions;
use iristhread_core::Revision;
use test_case::test_case;

const fn at(config: u64, list: u64) -> KnownVersions {
    KnownVersions {
        config,
        list: Revision {
            era: 0,
            count: list,
        },
    }
}

#[test_case(at(1, 5), at(1, 5), at(2, 5), true; "the configuration is stuck")]
#[test_case(at(1, 5), at(1, 9), at(2, 9), true; "the configuration is stuck while the list changes")]
#[test_case(at(1, 5), at(1, 5), at(1, 6), true; "the list is stuck")]
#[test_case(at(1, 5), at(2, 5), at(2, 6), true; "the list is stuck while the configuration changes")]
#[test_case(at(1, 5), at(2, 5), at(2, 5), false; "the configuration arrived")]
#[test_case(at(1, 5), at(1, 6), at(1, 6), false; "the list arrived")]
#[test_case(at(1, 5), at(1, 6), at(1, 7), false; "the list arrives a little late")]
#[test_case(at(1, 5), at(2, 6), at(3, 7), false; "both arrive a little late")]
#[test_case(at(0, 0), at(0, 0), at(0, 0), false; "no instance has anything")]
fn a_stuck_version_is_detected(
    before: KnownVersions,
    own: KnownVersions,
    peers: KnownVersions,
    expected: bool,
) {
    assert_eq!(before.is_stuck(&own, &peers), expected);
}
