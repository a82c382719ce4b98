//! One run of a call to a plain service: the next runner to try, and the outcome to report.

use std::collections::VecDeque;

use crate::BackendId;
use crate::Now;
use crate::Outcome;

/// Maximum number of tries of a call that may be repeated.
const MAX_TRIES: u32 = 3;

/// Result of one try.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendResult {
    /// No connection: no byte was written.
    NotConnected,
    /// The connection was lost or stalled after bytes may have been written.
    Lost,
    /// The runner answered that it did not run the call.
    SaidNotRun,
    /// The runner failed without stating whether it ran the call.
    Failed,
    /// The runner answered the call.
    Answered,
}

impl SendResult {
    /// Returns the form used in metrics and logs.
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

/// Why a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// The last try returned an answer that is forwarded to the caller.
    Answer,
    /// No runner could be connected to.
    NoRunner,
    /// The deadline passed before the request was sent.
    Deadline,
    /// The last try got no answer.
    Lost,
}

/// Next step of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallStep {
    /// Send the call to this runner immediately.
    Send(BackendId),
    /// End the run and report the outcome to the caller.
    End {
        /// Whether the call was executed.
        outcome: Outcome,
        /// Why it ended.
        end: CallEnd,
    },
}

/// Retry decisions of one call. A call that may not be repeated is retried only if no byte of the
/// previous try was written. A repeatable call is also retried after any other failure.
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
    /// Creates a run over `runners`, best first. The request must be sent before `deadline`.
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

    /// Sets the maximum number of tries.
    pub fn with_tries(mut self, tries: u32) -> Self {
        self.tries_left = tries;
        self
    }

    /// Whether another try may follow the last one.
    pub fn may_go_on(&self, now: Now) -> bool {
        now < self.deadline && self.last.is_none_or(|result| self.may_try_again(result))
    }

    /// Puts a runner before all others, for the next try.
    pub fn prefer(&mut self, runner: BackendId) {
        self.runners.retain(|known| *known != runner);
        self.runners.push_front(runner);
    }

    /// Records the result of the current try.
    pub fn sent(&mut self, result: SendResult) {
        let may_have_executed = matches!(result, SendResult::Lost | SendResult::Failed);
        self.may_have_run |= may_have_executed;
        self.last = Some(result);
        self.tries_left = self.tries_left.saturating_sub(1);
    }

    /// Returns the next step. Must be called immediately before the request is sent, so that a
    /// process that was suspended does not send after the deadline.
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

    /// Ends the run with the last result, when the retry budget allows no further try.
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

    /// Reports `not_run` only if no try can have executed the call.
    fn end(&self, end: CallEnd) -> CallStep {
        let outcome = match self.may_have_run {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        };
        CallStep::End { outcome, end }
    }
}
