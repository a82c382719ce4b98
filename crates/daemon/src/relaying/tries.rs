//! The tries of one request, up to the first part of an answer: which backend server is next, and
//! whether another try is allowed.

use iristhread_core::BackendId;
use iristhread_core::CallEnd;
use iristhread_core::CallRun;
use iristhread_core::CallStep;
use iristhread_core::Outcome;
use iristhread_core::Ranking;
use iristhread_core::Replica;
use iristhread_core::SendResult;

use crate::gateway::gateway_message::GatewayMessage;
use crate::relaying::exchange::Exchange;

/// Maximum number of backend servers that are tried for one request.
const MAX_TRIED: usize = 4;

/// A try at one backend server.
pub struct ServerTry {
    /// The server to send to.
    pub replica: Replica,
    /// The engine that is to hold the backup of the session, if any.
    pub backup: Option<Replica>,
}

/// Why there is no other try.
pub struct TriesEnd {
    /// Whether the request was executed.
    pub outcome: Outcome,
    /// Why the tries ended.
    pub end: CallEnd,
}

/// The tries of one request. The first follows its placement at once. Each later one may come
/// seconds after it, so it is placed again; the rest of the first ranking is the last resort.
pub struct Tries<'a> {
    exchange: &'a Exchange,
    decisions: CallRun,
    /// The replicas of all placements, the latest last.
    replicas: Vec<Replica>,
    backup: Option<Replica>,
    tried: Vec<Replica>,
    previous: Option<SendResult>,
}

impl<'a> Tries<'a> {
    /// Returns the tries of a request that was placed.
    pub fn new(exchange: &'a Exchange, ranking: &Ranking, may_repeat: bool) -> Self {
        let names = ranking.replicas.iter().map(|r| r.id.clone()).collect();
        let max_attempts = exchange.route.max_attempts.max(1);
        Tries {
            exchange,
            decisions: CallRun::new(may_repeat, names, exchange.answer_deadline)
                .with_tries(max_attempts),
            replicas: ranking.replicas.clone(),
            backup: ranking.backup.clone(),
            tried: Vec::new(),
            previous: None,
        }
    }

    /// Returns the next try, to be sent immediately.
    ///
    /// # Errors
    ///
    /// [`TriesEnd`] if no other try follows.
    pub async fn next(&mut self) -> Result<ServerTry, TriesEnd> {
        if let Some(previous) = self.previous
            && self.decisions.may_go_on(self.exchange.app.clock.now())
        {
            if self.tried.len() >= MAX_TRIED || !self.exchange.may_retry(previous).await {
                return Err(self.give_up());
            }
            self.place_again().await;
        }
        loop {
            let name = match self.decisions.next(self.exchange.app.clock.now()) {
                CallStep::Send(name) => name,
                CallStep::End { outcome, end } => return Err(TriesEnd { outcome, end }),
            };
            if let Some(replica) = self.replica(&name) {
                return Ok(self.try_at(replica));
            }
        }
    }

    /// Records the result of the current try.
    pub fn sent(&mut self, result: SendResult) {
        self.decisions.sent(result);
        self.previous = Some(result);
    }

    async fn place_again(&mut self) {
        let placed = self.exchange.place_again(self.tried.clone()).await;
        let Some(target) = placed else {
            return;
        };
        self.decisions.prefer(target.replica.id.clone());
        self.replicas.push(target.replica);
        self.backup = target.backup;
    }

    fn replica(&self, name: &BackendId) -> Option<Replica> {
        let mut latest_first = self.replicas.iter().rev();
        latest_first.find(|replica| replica.id == *name).cloned()
    }

    fn try_at(&mut self, replica: Replica) -> ServerTry {
        if self.previous.is_some() {
            self.exchange.app.control.tell(GatewayMessage::Moved {
                request: self.exchange.head.request.clone(),
                replica: replica.id.clone(),
            });
        }
        self.tried.push(replica.clone());
        let backup = self.backup.clone().filter(|b| b.id != replica.id);
        ServerTry { replica, backup }
    }

    fn give_up(&self) -> TriesEnd {
        match self.decisions.give_up() {
            CallStep::End { outcome, end } => TriesEnd { outcome, end },
            CallStep::Send(_) => TriesEnd {
                outcome: Outcome::Unknown,
                end: CallEnd::Lost,
            },
        }
    }
}
