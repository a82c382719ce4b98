//! What one instance knows of the directory's answers, its own and those that
//! peers told of.

use std::collections::VecDeque;
use std::time::Duration;

use iristhread_core::Now;

use crate::heartbeat::ListNews;

/// Changes of the list that are told again with each heartbeat, so that a lost
/// datagram does no harm.
const NEWS_KEPT: usize = 12;

/// How long changes are told.
const NEWS_LIFETIME: Duration = Duration::from_secs(3);

/// Time for which a peer may have a newer configuration until this instance
/// reads by itself: a fetch from a peer takes less, and the users' bound for a
/// configuration is two seconds.
const READ_ALONE_BEHIND: Duration = Duration::from_millis(700);

/// When the directory answered last about what, and what is told of it.
#[derive(Debug)]
pub struct DirectoryKnowledge {
    list_confirmed_at: Option<Now>,
    config_confirmed_at: Option<Now>,
    config_behind_since: Option<Now>,
    can_read: bool,
    news: VecDeque<(Now, ListNews)>,
}

impl Default for DirectoryKnowledge {
    fn default() -> Self {
        DirectoryKnowledge {
            list_confirmed_at: None,
            config_confirmed_at: None,
            config_behind_since: None,
            can_read: true,
            news: VecDeque::new(),
        }
    }
}

impl DirectoryKnowledge {
    /// Notes an answer about the list, with what changed.
    pub fn list_read(&mut self, now: Now, news: Option<ListNews>) {
        self.list_confirmed_at = Some(now);
        self.can_read = true;
        if let Some(news) = news {
            self.news.push_back((now, news));
            let surplus = self.news.len().saturating_sub(NEWS_KEPT);
            self.news.drain(..surplus);
        }
    }

    /// Notes an answer about the configuration.
    pub fn config_read(&mut self, now: Now) {
        self.config_confirmed_at = Some(now);
        self.can_read = true;
    }

    /// Notes that the directory can't be read.
    pub fn unreadable(&mut self) {
        self.can_read = false;
    }

    /// Whether the directory answered when it was asked last.
    pub fn can_read(&self) -> bool {
        self.can_read
    }

    /// When the directory answered last about the list.
    pub fn list_confirmed_at(&self) -> Option<Now> {
        self.list_confirmed_at
    }

    /// When the directory answered last about the configuration.
    pub fn config_confirmed_at(&self) -> Option<Now> {
        self.config_confirmed_at
    }

    /// Notes whether a peer has a newer configuration; returns whether that has
    /// lasted too long.
    pub fn config_is_behind(&mut self, now: Now, is_behind: bool) -> bool {
        if !is_behind {
            self.config_behind_since = None;
            return false;
        }
        let since = *self.config_behind_since.get_or_insert(now);
        now.saturating_sub(since) >= READ_ALONE_BEHIND
    }

    /// The latest changes of the list, as they are told now.
    pub fn told_news(&mut self, now: Now) -> Vec<ListNews> {
        let is_told = |at: Now| now.saturating_sub(at) < NEWS_LIFETIME;
        self.news.retain(|(at, _)| is_told(*at));
        let news = self.news.iter();
        news.map(|(at, news)| news.aged(now.saturating_sub(*at)))
            .collect()
    }
}
