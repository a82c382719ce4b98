//! The users' measures of one run.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Gaps up to this are the model's own pace.
const PACE: Duration = Duration::from_millis(200);

/// A first token later than this is not on time.
const START_LIMIT: Duration = Duration::from_secs(5);

/// A gap longer than this is not on time.
const GAP_LIMIT: Duration = Duration::from_secs(2);

/// Factor of the standard error for an interval of 95% with ten runs.
const T_95: f64 = 2.26;

/// Sums over one run.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Sessions that arrived.
    pub sessions: u64,
    /// Sessions answered whole.
    pub whole: u64,
    /// Sessions refused at once.
    pub refused: u64,
    /// Times a session was displaced.
    pub preemptions: u64,
    offered_worth: f64,
    served_worth: f64,
    stall: Duration,
    gaps_ms: Histogram<u64>,
    starts_ms: Histogram<u64>,
    served_by_workspace: Vec<(f64, f64)>,
}

/// What one session went through.
#[derive(Clone, Debug, Default)]
pub struct SessionStory {
    /// From arrival to first token.
    pub start: Option<Duration>,
    /// Longest gap after it.
    pub longest_gap: Duration,
    /// Time in gaps beyond the model's own pace, and the start's wait.
    pub stall: Duration,
    /// Whether the last token came.
    pub is_whole: bool,
}

impl SessionStory {
    /// Notes a gap between two tokens.
    pub fn gap(&mut self, gap: Duration) {
        self.longest_gap = self.longest_gap.max(gap);
        self.stall += gap.saturating_sub(PACE);
    }

    fn is_on_time(&self) -> bool {
        let started = self.start.is_some_and(|start| start <= START_LIMIT);
        self.is_whole && started && self.longest_gap <= GAP_LIMIT
    }
}

impl Figures {
    /// Nothing yet, for a number of workspaces.
    pub fn new(workspaces: usize) -> Self {
        Figures {
            sessions: 0,
            whole: 0,
            refused: 0,
            preemptions: 0,
            offered_worth: 0.0,
            served_worth: 0.0,
            stall: Duration::ZERO,
            gaps_ms: histogram(),
            starts_ms: histogram(),
            served_by_workspace: vec![(0.0, 0.0); workspaces],
        }
    }

    /// Adds a gap between two tokens.
    pub fn gap(&mut self, gap: Duration) {
        self.gaps_ms.saturating_record(gap.as_millis() as u64);
    }

    /// Adds a session at its end.
    pub fn add(&mut self, workspace: usize, worth: f64, story: &SessionStory) {
        self.sessions += 1;
        self.offered_worth += worth;
        self.served_by_workspace[workspace].1 += 1.0;
        if let Some(start) = story.start {
            self.starts_ms.saturating_record(start.as_millis() as u64);
        }
        self.stall += story.stall;
        self.whole += u64::from(story.is_whole);
        if story.is_on_time() {
            self.served_worth += worth;
            self.served_by_workspace[workspace].0 += 1.0;
        }
    }

    /// Displacements per thousand sessions.
    pub fn preemptions_per_1000(&self) -> f64 {
        self.preemptions as f64 * 1e3 / (self.sessions as f64).max(1.0)
    }

    /// Mean time without progress after the first token, milliseconds.
    pub fn mean_stall_ms(&self) -> f64 {
        self.stall.as_secs_f64() * 1e3 / (self.sessions as f64).max(1.0)
    }

    /// Quantile of the time between tokens, milliseconds.
    pub fn gap_ms(&self, quantile: f64) -> f64 {
        self.gaps_ms.value_at_quantile(quantile) as f64
    }

    /// Quantile of the time to the first token, milliseconds.
    pub fn start_ms(&self, quantile: f64) -> f64 {
        self.starts_ms.value_at_quantile(quantile) as f64
    }

    /// Share of the offered worth that was answered whole and on time.
    pub fn served_share(&self) -> f64 {
        self.served_worth / self.offered_worth.max(1e-9)
    }

    /// Worth answered whole and on time.
    pub fn served_worth(&self) -> f64 {
        self.served_worth
    }

    /// Jain's index of the shares served between workspaces.
    pub fn fairness(&self) -> f64 {
        let share = |(served, offered): &(f64, f64)| served / offered.max(1.0);
        let shares: Vec<f64> = self.served_by_workspace.iter().map(share).collect();
        let sum: f64 = shares.iter().sum();
        let squares: f64 = shares.iter().map(|share| share * share).sum();
        sum * sum / (shares.len() as f64 * squares).max(1e-9)
    }
}

fn histogram() -> Histogram<u64> {
    let created = Histogram::new_with_bounds(1, 600_000, 3);
    created.unwrap_or_else(|_| unreachable!("the bounds are constant"))
}

/// Mean and half width of the 95% interval over runs.
pub fn interval(values: &[f64]) -> (f64, f64) {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    let deviation = (squares / (count - 1.0).max(1.0)).sqrt();
    (mean, T_95 * deviation / count.sqrt())
}
