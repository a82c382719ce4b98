//! What one instance knows of the directory's answers, its own and those that
//! peers told of.

use std::collections::VecDeque;
use std::time::Duration;

use iristhread_core::Now;

use crate::peers::heartbeat::ListNews;

/// Changes of the list that are told again with each heartbeat, so that a lost
/// datagram does no harm.
const NEWS_KEPT: usize = 12;

/// How long changes are told.
const NEWS_LIFETIME: Duration = Duration::from_secs(3);

/// How long a relay tells other zones what it heard itself: two heartbeats to each
/// of their relays. They usually read it themselves at the same time.
const HEARD_LIFETIME: Duration = Duration::from_millis(700);

/// When the directory answered last about what, and what is told of it.
#[derive(Debug)]
pub struct DirectoryKnowledge {
    list_confirmed_at: Option<Now>,
    config_confirmed_at: Option<Now>,
    can_read: bool,
    news: VecDeque<(Now, ListNews)>,
    heard_news: VecDeque<(Now, ListNews)>,
}

impl Default for DirectoryKnowledge {
    fn default() -> Self {
        DirectoryKnowledge {
            list_confirmed_at: None,
            config_confirmed_at: None,
            can_read: true,
            news: VecDeque::new(),
            heard_news: VecDeque::new(),
        }
    }
}

impl DirectoryKnowledge {
    /// Notes an answer about the list as it was at a moment, with what changed.
    pub fn list_read(&mut self, now: Now, confirmed_at: Now, news: Option<ListNews>) {
        self.list_confirmed_at = self.list_confirmed_at.max(Some(confirmed_at));
        self.can_read = true;
        if let Some(news) = news {
            self.keep(now, news);
        }
    }

    /// Takes changes that a peer told, to be told again by a relay. Returns whether
    /// they are new here.
    pub fn list_heard(&mut self, now: Now, news: &ListNews) -> bool {
        let known = self.news.iter().chain(&self.heard_news);
        let mut known = known.map(|(_, told)| told.revision);
        if known.any(|revision| revision >= news.revision) {
            return false;
        }
        self.heard_news.push_back((now, news.clone()));
        true
    }

    fn keep(&mut self, now: Now, news: ListNews) {
        self.news.push_back((now, news));
        let surplus = self.news.len().saturating_sub(NEWS_KEPT);
        self.news.drain(..surplus);
    }

    /// Notes an answer about the configuration as it was at a moment.
    pub fn config_read(&mut self, confirmed_at: Now) {
        self.config_confirmed_at = self.config_confirmed_at.max(Some(confirmed_at));
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

    /// The latest changes of the list that this instance read, as they are told now.
    pub fn told_news(&mut self, now: Now) -> Vec<ListNews> {
        told(&mut self.news, now, NEWS_LIFETIME)
    }

    /// The same with those that it heard, for the relays of other zones.
    pub fn news_for_far(&mut self, now: Now) -> Vec<ListNews> {
        let mut news = told(&mut self.heard_news, now, HEARD_LIFETIME);
        news.extend(told(&mut self.news, now, NEWS_LIFETIME));
        news.sort_by_key(|news| news.revision);
        news
    }
}

fn told(news: &mut VecDeque<(Now, ListNews)>, now: Now, lifetime: Duration) -> Vec<ListNews> {
    news.retain(|(at, _)| now.saturating_sub(*at) < lifetime);
    let news = news.iter();
    news.map(|(at, news)| news.aged(now.saturating_sub(*at)))
        .collect()
}
