//! One run of a call to a plain service: which runner next, and what may be
//! said of it at the end.

use std::collections::VecDeque;

use crate::BackendId;
use crate::Now;
use crate::Outcome;

/// Runners tried for a call that may be repeated.
const MAX_TRIES: u32 = 3;

/// What became of one try.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendResult {
    /// No connection: no byte was written.
    NotConnected,
    /// The connection broke or fell silent after bytes may have been written.
    Lost,
    /// The runner said that it did not run the call.
    SaidNotRun,
    /// The runner failed with no word about whether it ran the call.
    Failed,
    /// The runner's own answer.
    Answered,
}

impl SendResult {
    /// The form used in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            SendResult::NotConnected => "not_connected",
            SendResult::Lost => "lost",
            SendResult::SaidNotRun => "said_not_run",
            SendResult::Failed => "failed",
            SendResult::Answered => "answered",
        }
    }
}

/// Why a run ended without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// The last try has an answer to pass on.
    Answer,
    /// No runner could be connected to.
    NoRunner,
    /// The deadline passed before the bytes left.
    Deadline,
    /// The last try got no answer.
    Lost,
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallStep {
    /// Send to this runner, now.
    Send(BackendId),
    /// Tell the caller.
    End {
        /// Whether the call ran.
        outcome: Outcome,
        /// Why it ended.
        end: CallEnd,
    },
}

/// Decides about tries. A call that may not be repeated is tried again only
/// after a try of which no byte was written; one that may be is also tried
/// again after any other failure.
#[derive(Clone, Debug)]
pub struct CallRun {
    repeatable: bool,
    runners: VecDeque<BackendId>,
    deadline: Now,
    tries_left: u32,
    last: Option<SendResult>,
    may_have_run: bool,
}

impl CallRun {
    /// A run over `runners`, the best first. The bytes must leave before
    /// `deadline`.
    pub fn new(repeatable: bool, runners: Vec<BackendId>, deadline: Now) -> Self {
        CallRun {
            repeatable,
            runners: runners.into(),
            deadline,
            tries_left: MAX_TRIES,
            last: None,
            may_have_run: false,
        }
    }

    /// The same with another number of tries.
    pub fn with_tries(mut self, tries: u32) -> Self {
        self.tries_left = tries;
        self
    }

    /// Notes what became of the try under way.
    pub fn sent(&mut self, result: SendResult) {
        let may_have_executed = matches!(result, SendResult::Lost | SendResult::Failed);
        self.may_have_run |= may_have_executed;
        self.last = Some(result);
        self.tries_left = self.tries_left.saturating_sub(1);
    }

    /// The next step. Ask just before the bytes leave: a process that was
    /// paused must not send late.
    pub fn next(&mut self, now: Now) -> CallStep {
        if let Some(result) = self.last
            && !self.may_try_again(result)
        {
            return self.end_after(result);
        }
        if now >= self.deadline {
            return self.end(CallEnd::Deadline);
        }
        match self.runners.pop_front() {
            Some(runner) => CallStep::Send(runner),
            None => self.last.map_or_else(
                || self.end(CallEnd::NoRunner),
                |result| self.end_after(result),
            ),
        }
    }

    /// Ends the run where it stands, when no further try may be paid for.
    pub fn give_up(&self) -> CallStep {
        match self.last {
            Some(result) => self.end_after(result),
            None => self.end(CallEnd::NoRunner),
        }
    }

    fn may_try_again(&self, result: SendResult) -> bool {
        match result {
            SendResult::Answered => false,
            SendResult::NotConnected => true,
            SendResult::Lost | SendResult::SaidNotRun | SendResult::Failed => {
                self.repeatable && self.tries_left > 0
            }
        }
    }

    fn end_after(&self, result: SendResult) -> CallStep {
        match result {
            SendResult::Answered => CallStep::End {
                outcome: Outcome::Ran,
                end: CallEnd::Answer,
            },
            SendResult::NotConnected => self.end(CallEnd::NoRunner),
            SendResult::Lost => self.end(CallEnd::Lost),
            SendResult::SaidNotRun | SendResult::Failed => self.end(CallEnd::Answer),
        }
    }

    /// Not run is said only when no try can have run it.
    fn end(&self, end: CallEnd) -> CallStep {
        let outcome = match self.may_have_run {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        };
        CallStep::End { outcome, end }
    }
}
