//! State that one instance keeps about the directory's answers: when the directory confirmed
//! the list and the configuration, and the list updates to advertise.

use std::collections::VecDeque;
use std::time::Duration;

use iristhread_core::Now;

use crate::peers::heartbeat::ListUpdate;

/// Number of list updates of its own that an instance repeats in every heartbeat, so that the
/// loss of a datagram does no harm.
const MAX_RECENT_UPDATES: usize = 12;

/// Time for which an instance advertises a list update that it read.
const UPDATE_LIFETIME: Duration = Duration::from_secs(3);

/// Time for which a relay advertises updates of peers to other zones: two heartbeats to each of
/// their relays. Those zones usually read the same updates themselves at the same time.
const PEER_UPDATE_LIFETIME: Duration = Duration::from_millis(700);

/// Times of the directory's last answers, and the list updates to advertise.
#[derive(Debug)]
pub struct DirectoryState {
    list_confirmed_at: Option<Now>,
    config_confirmed_at: Option<Now>,
    can_read: bool,
    recent_updates: VecDeque<(Now, ListUpdate)>,
    peer_updates: VecDeque<(Now, ListUpdate)>,
}

impl Default for DirectoryState {
    fn default() -> Self {
        DirectoryState {
            list_confirmed_at: None,
            config_confirmed_at: None,
            can_read: true,
            recent_updates: VecDeque::new(),
            peer_updates: VecDeque::new(),
        }
    }
}

impl DirectoryState {
    /// Records that the directory answered about the list as of `confirmed_at`, with the changes
    /// that it returned.
    pub fn record_list_confirmed(
        &mut self,
        now: Now,
        confirmed_at: Now,
        update: Option<ListUpdate>,
    ) {
        self.list_confirmed_at = self.list_confirmed_at.max(Some(confirmed_at));
        self.can_read = true;
        if let Some(update) = update {
            self.push_update(now, update);
        }
    }

    /// Records an update advertised by a peer, which a relay advertises to other zones. Returns
    /// whether the update is new here.
    pub fn record_peer_update(&mut self, now: Now, update: &ListUpdate) -> bool {
        let known = self.recent_updates.iter().chain(&self.peer_updates);
        let mut known = known.map(|(_, known)| known.revision);
        if known.any(|revision| revision >= update.revision) {
            return false;
        }
        self.peer_updates.push_back((now, update.clone()));
        true
    }

    fn push_update(&mut self, now: Now, update: ListUpdate) {
        self.recent_updates.push_back((now, update));
        let surplus = self.recent_updates.len().saturating_sub(MAX_RECENT_UPDATES);
        self.recent_updates.drain(..surplus);
    }

    /// Records that the directory answered about the configuration as of `confirmed_at`.
    pub fn record_config_confirmed(&mut self, confirmed_at: Now) {
        self.config_confirmed_at = self.config_confirmed_at.max(Some(confirmed_at));
        self.can_read = true;
    }

    /// Records that a call to the directory failed.
    pub fn record_unreadable(&mut self) {
        self.can_read = false;
    }

    /// Returns whether the last call to the directory succeeded.
    pub fn can_read(&self) -> bool {
        self.can_read
    }

    /// Time of the list that the directory confirmed last to this instance.
    pub fn list_confirmed_at(&self) -> Option<Now> {
        self.list_confirmed_at
    }

    /// Time of the configuration that the directory confirmed last to this instance.
    pub fn config_confirmed_at(&self) -> Option<Now> {
        self.config_confirmed_at
    }

    /// Returns the latest list updates that this instance read, aged to `now`, to advertise in
    /// its zone.
    pub fn recent_updates(&mut self, now: Now) -> Vec<ListUpdate> {
        unexpired(&mut self.recent_updates, now, UPDATE_LIFETIME)
    }

    /// Returns these updates and those of peers, by revision, for the relays of other zones.
    pub fn updates_for_remote_zones(&mut self, now: Now) -> Vec<ListUpdate> {
        let mut updates = unexpired(&mut self.peer_updates, now, PEER_UPDATE_LIFETIME);
        updates.extend(unexpired(&mut self.recent_updates, now, UPDATE_LIFETIME));
        updates.sort_by_key(|update| update.revision);
        updates
    }
}

/// Drops the updates older than `lifetime` and returns the others, aged to `now`.
fn unexpired(
    updates: &mut VecDeque<(Now, ListUpdate)>,
    now: Now,
    lifetime: Duration,
) -> Vec<ListUpdate> {
    updates.retain(|(at, _)| now.saturating_sub(*at) < lifetime);
    let updates = updates.iter();
    updates
        .map(|(at, update)| update.aged(now.saturating_sub(*at)))
        .collect()
}
