//! Whether something must be fetched, because it did not come by itself.

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

#[test_case(at(1, 5), at(1, 5), at(2, 5), true; "the configuration does not come")]
#[test_case(at(1, 5), at(1, 9), at(2, 9), true; "nor while the list changes all the time")]
#[test_case(at(1, 5), at(1, 5), at(1, 6), true; "the list does not come")]
#[test_case(at(1, 5), at(2, 5), at(2, 6), true; "nor while the configuration changes")]
#[test_case(at(1, 5), at(2, 5), at(2, 5), false; "the configuration came")]
#[test_case(at(1, 5), at(1, 6), at(1, 6), false; "the list came")]
#[test_case(at(1, 5), at(1, 6), at(1, 7), false; "the list comes, a little late")]
#[test_case(at(1, 5), at(2, 6), at(3, 7), false; "both come, a little late")]
#[test_case(at(0, 0), at(0, 0), at(0, 0), false; "nobody has anything")]
fn what_is_lacking_must_be_fetched(
    before: KnownVersions,
    own: KnownVersions,
    peers: KnownVersions,
    expected: bool,
) {
    assert_eq!(before.is_stuck(&own, &peers), expected);
}
