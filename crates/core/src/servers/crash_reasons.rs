//! Concludes from crashes which of several suspects caused them.

use crate::Now;
use crate::ServerCrash;
use crate::Suspect;
use crate::servers::quarantine::INITIAL_QUARANTINE;
use crate::servers::quarantine::Quarantine;
use crate::servers::suspect::CRASH_BURST_WINDOW;
use crate::servers::suspect::crash_bursts;

/// Number of crashes without another explanation that quarantine a suspect. With one, every request
/// that ran next to the real cause would be quarantined; a stream that fails over to a backup engine
/// is involved in two if that engine crashes, too.
pub(super) const QUARANTINE_CRASHES: usize = 3;

/// Returns the quarantine that follows from what this instance knows, or the longer one that
/// others advertised. `others` are the suspects that share crashes with this one. The crashes that led to
/// a quarantine stay its reason: crashes of other suspects that come later end it only if they
/// explain all of them.
pub(super) fn quarantine(suspect: &Suspect, others: &[&Suspect]) -> Option<Quarantine> {
    let crashes = suspect.crashes();
    let is_beside = |crash: &ServerCrash| {
        let mut others = others.iter();
        others.any(|other| other.explains(suspect, crash, crashes.len(), Now::MAX))
    };
    if crashes.iter().all(is_beside) {
        return None;
    }
    let concluded = concluded_quarantine(suspect, others);
    let quarantines = concluded.into_iter().chain(suspect.received_quarantine());
    quarantines.max_by_key(Quarantine::until)
}

/// Returns until when requests are sent one at a time, because one more crash would quarantine them:
/// instances that send at one moment would crash a server each before they hear of each other. What
/// ran well lately is sent by many callers and soon runs well again; it is sent as ever.
pub(super) fn last_chance_until(suspect: &Suspect, others: &[&Suspect]) -> Option<Now> {
    if suspect.lately_good_at().is_some() {
        return None;
    }
    let crashes = suspect.crashes();
    let reasons = unexplained(suspect, others, crashes.len());
    let last = reasons.last()?;
    let is_close = suspect.weight(&reasons) + 1 == QUARANTINE_CRASHES;
    is_close.then(|| last.at + INITIAL_QUARANTINE)
}

/// Returns the quarantine that follows from the crashes of a suspect. It begins at the first crash by
/// which there were enough that no other suspect explained by then: requests that only ran next to
/// the real cause are distinguished from it by their crashes.
fn concluded_quarantine(suspect: &Suspect, others: &[&Suspect]) -> Option<Quarantine> {
    let crashes = suspect.crashes();
    let counts = QUARANTINE_CRASHES..=crashes.len();
    let (count, mut reasons) = counts
        .map(|count| (count, unexplained(suspect, others, count)))
        .find(|(_, reasons)| suspect.weight(reasons) >= QUARANTINE_CRASHES)?;
    reasons.extend_from_slice(&crashes[count..]);
    Some(Quarantine {
        bursts: u32::try_from(crash_bursts(&reasons)).unwrap_or(u32::MAX),
        last: *reasons.last()?,
    })
}

/// Returns those of the first `count` crashes that no other suspect explained at the last of them.
fn unexplained(suspect: &Suspect, others: &[&Suspect], count: usize) -> Vec<ServerCrash> {
    let (known, _) = suspect.crashes().split_at(count);
    let at = known.last().map_or(Now::ZERO, |crash| crash.at) + CRASH_BURST_WINDOW;
    let is_explained = |crash: &&ServerCrash| {
        let mut others = others.iter();
        others.any(|other| other.explains(suspect, crash, count, at))
    };
    let unexplained = known.iter().filter(|crash| !is_explained(crash));
    unexplained.copied().collect()
}
