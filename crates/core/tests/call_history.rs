//! Histories of concurrent deliveries, crashes, pauses and lost answers, verified by a
//! linearizability checker: each ticket runs at most once, `not_run` means zero executions, and
//! `ran` returns the answer of that execution.

use std::collections::HashMap;
use std::time::Duration;

use iristhread_core::CallRun;
use iristhread_core::CallStep;
use iristhread_core::Outcome;
use iristhread_core::SendResult;
use iristhread_core::SpendVerdict;
use iristhread_core::Ticket;
use iristhread_core::TicketStore;
use rand_core::Rng;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use test_case::test_case;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::Action;
use todc_utils::linearizability::history::History;
use todc_utils::specifications::Specification;

const INSTANCES: usize = 3;
const TICKETS: usize = 4;
const STEPS: usize = 120;
const SEEDS: u64 = 2_000;
const LIFETIME: Duration = Duration::from_secs(10);
const MAX_TICKETS: usize = 100;

/// The implementation as built, and faulty variants that the checker must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Variant {
    AsBuilt,
    RetryAfterBytesWereSent,
    TicketHonouredByNewIncarnation,
}

/// One operation on a ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Operation {
    Execute(u64),
    Reported(Outcome, u64),
}

struct AtMostOnce;

/// State of a ticket: not run yet, executed, or reported as not run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum TicketState {
    Fresh,
    Executed(u64),
    ReportedNotRun,
}

impl Specification for AtMostOnce {
    type State = TicketState;
    type Operation = Operation;

    fn init() -> TicketState {
        TicketState::Fresh
    }

    fn apply(operation: &Operation, state: &TicketState) -> (bool, TicketState) {
        match (operation, *state) {
            (Operation::Execute(value), TicketState::Fresh) => {
                (true, TicketState::Executed(*value))
            }
            (Operation::Execute(_), state) => (false, state),
            (Operation::Reported(Outcome::Unknown, _), state) => (true, state),
            (Operation::Reported(Outcome::Ran, value), state) => {
                (state == TicketState::Executed(*value), state)
            }
            (Operation::Reported(Outcome::NotRun, _), TicketState::Executed(value)) => {
                (false, TicketState::Executed(value))
            }
            (Operation::Reported(Outcome::NotRun, _), _) => (true, TicketState::ReportedNotRun),
        }
    }
}

/// A current run at the instance that its ticket names.
struct Run {
    ticket: usize,
    decisions: CallRun,
    in_flight: bool,
}

struct Instance {
    incarnation: u32,
    ticket_store: TicketStore,
    runs: Vec<Run>,
    answers: HashMap<usize, (Outcome, u64)>,
}

/// A delivery that waits for its answer, with its instance, ticket and start.
struct Delivery {
    owner: usize,
    ticket: usize,
    began: usize,
}

struct Environment {
    variant: Variant,
    random: Pcg32,
    now: Duration,
    instances: Vec<Instance>,
    tickets: Vec<(Ticket, usize)>,
    waiting: Vec<Delivery>,
    /// Calls that were sent by their instance and may still be executed.
    on_the_wire: Vec<usize>,
    executions: u64,
    step: usize,
    /// Start, end and operation for each ticket.
    history: Vec<Vec<(usize, usize, Operation)>>,
}

impl Environment {
    fn new(variant: Variant, seed: u64) -> Self {
        let mut environment = Environment {
            variant,
            random: Pcg32::seed_from_u64(seed),
            now: Duration::from_secs(1),
            instances: (0..INSTANCES)
                .map(|number| Instance::new(number, 0))
                .collect(),
            tickets: Vec::new(),
            waiting: Vec::new(),
            on_the_wire: Vec::new(),
            executions: 0,
            step: 0,
            history: vec![Vec::new(); TICKETS],
        };
        for number in 0..TICKETS {
            let owner = environment.draw(INSTANCES);
            let ticket_store = &environment.instances[owner].ticket_store;
            let ticket = ticket_store.issue(environment.now, number.to_string(), "slots");
            environment.tickets.push((ticket, owner));
        }
        environment
    }

    fn draw(&mut self, below: usize) -> usize {
        self.random.next_u32() as usize % below
    }

    fn run(mut self) -> Self {
        for _ in 0..STEPS {
            self.step += 1;
            match self.draw(10) {
                0..=2 => self.deliver(),
                3..=5 => self.advance_run(),
                6..=7 => self.service_executes(),
                8 => self.now += Duration::from_millis(700),
                _ => self.crash(),
            }
        }
        self.execute_remaining()
    }

    /// Delivers a call. Any instance may receive it; the owner of the ticket always decides.
    fn deliver(&mut self) {
        let number = self.draw(TICKETS);
        let (mut ticket, owner) = self.tickets[number].clone();
        let began = self.step;
        let instance = &mut self.instances[owner];
        if self.variant == Variant::TicketHonouredByNewIncarnation {
            ticket.incarnation = instance.incarnation.to_string();
        }
        let verdict = instance.ticket_store.spend(self.now, &ticket);
        let waits = matches!(verdict, SpendVerdict::Run { .. } | SpendVerdict::SameRun);
        match verdict {
            SpendVerdict::Run { send_before } => instance.runs.push(Run {
                ticket: number,
                decisions: CallRun::new(false, vec!["r1".into(), "r2".into()], send_before),
                in_flight: false,
            }),
            SpendVerdict::SameRun => {}
            SpendVerdict::Expired | SpendVerdict::Full => {
                self.report(number, began, Outcome::NotRun, 0)
            }
            SpendVerdict::Unknown | SpendVerdict::Forward { .. } => {
                self.report(number, began, Outcome::Unknown, 0);
            }
        }
        if waits {
            let ticket = number;
            self.waiting.push(Delivery {
                owner,
                ticket,
                began,
            });
            self.answer_waiting(owner);
        }
    }

    fn advance_run(&mut self) {
        let owner = self.draw(INSTANCES);
        if self.instances[owner].runs.is_empty() {
            return;
        }
        let chosen = self.draw(self.instances[owner].runs.len());
        let draw = self.draw(4);
        let now = self.now;
        let variant = self.variant;
        let run = &mut self.instances[owner].runs[chosen];
        if run.in_flight {
            return;
        }
        match run.decisions.next(now) {
            CallStep::Send(_) if draw == 0 => run.decisions.sent(SendResult::NotConnected),
            CallStep::Send(_) if draw == 1 => {
                // The answer is lost, whether or not the call gets executed.
                let lost = match variant {
                    Variant::RetryAfterBytesWereSent => SendResult::NotConnected,
                    _ => SendResult::Lost,
                };
                run.decisions.sent(lost);
                let ticket = run.ticket;
                self.on_the_wire.push(ticket);
            }
            CallStep::Send(_) => {
                run.in_flight = true;
                let ticket = run.ticket;
                self.on_the_wire.push(ticket);
            }
            CallStep::End { outcome, .. } => {
                let ticket = run.ticket;
                self.finish(owner, chosen, ticket, (outcome, 0));
            }
        }
    }

    fn service_executes(&mut self) {
        if self.on_the_wire.is_empty() {
            return;
        }
        let chosen = self.draw(self.on_the_wire.len());
        let ticket = self.on_the_wire.swap_remove(chosen);
        self.executions += 1;
        let value = self.executions;
        let step = self.step;
        self.history[ticket].push((step, step, Operation::Execute(value)));
        self.step += 1;
        for owner in 0..INSTANCES {
            let runs = &self.instances[owner].runs;
            let found = runs
                .iter()
                .position(|run| run.ticket == ticket && run.in_flight);
            if let Some(chosen) = found {
                self.finish(owner, chosen, ticket, (Outcome::Ran, value));
            }
        }
    }

    fn finish(&mut self, owner: usize, run: usize, ticket: usize, answer: (Outcome, u64)) {
        self.instances[owner].runs.swap_remove(run);
        self.instances[owner].answers.insert(ticket, answer);
        self.answer_waiting(owner);
    }

    fn answer_waiting(&mut self, owner: usize) {
        let answers = self.instances[owner].answers.clone();
        let is_answered = |d: &Delivery| d.owner == owner && answers.contains_key(&d.ticket);
        let (done, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(is_answered);
        self.waiting = rest;
        for delivery in done {
            let (outcome, value) = answers[&delivery.ticket];
            self.report(delivery.ticket, delivery.began, outcome, value);
        }
    }

    /// Restarts an instance as a new incarnation with an empty store. Calls on the wire stay there.
    fn crash(&mut self) {
        let owner = self.draw(INSTANCES);
        let incarnation = self.instances[owner].incarnation + 1;
        self.instances[owner] = Instance::new(owner, incarnation);
        let (lost, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|d| d.owner == owner);
        self.waiting = rest;
        for delivery in lost {
            self.report(delivery.ticket, delivery.began, Outcome::Unknown, 0);
        }
    }

    fn report(&mut self, ticket: usize, began: usize, outcome: Outcome, value: u64) {
        let reported = Operation::Reported(outcome, value);
        self.history[ticket].push((began, self.step, reported));
    }

    /// Executes all calls that are still on the wire. Deliveries that still wait get no answer.
    fn execute_remaining(mut self) -> Self {
        while !self.on_the_wire.is_empty() {
            self.step += 1;
            self.service_executes();
        }
        self
    }

    fn is_correct(&self) -> bool {
        let checked = |operations: &Vec<(usize, usize, Operation)>| {
            operations.is_empty()
                || WGLChecker::<AtMostOnce>::is_linearizable(to_history(operations))
        };
        self.history.iter().all(checked)
    }
}

impl Instance {
    fn new(number: usize, incarnation: u32) -> Self {
        let name = number.to_string();
        Instance {
            ticket_store: TicketStore::new(name, incarnation.to_string(), LIFETIME, MAX_TICKETS),
            incarnation,
            runs: Vec::new(),
            answers: HashMap::new(),
        }
    }
}

/// Converts operations to a history in which each operation is a process of its own.
fn to_history(operations: &[(usize, usize, Operation)]) -> History<Operation> {
    let mut actions = Vec::new();
    for (process, (began, ended, operation)) in operations.iter().enumerate() {
        actions.push((began * 2, (process, Action::Call(*operation))));
        actions.push((ended * 2 + 1, (process, Action::Response(*operation))));
    }
    actions.sort_by_key(|(step, _)| *step);
    History::from_actions(actions.into_iter().map(|(_, action)| action).collect())
}

#[test]
fn every_ticket_runs_at_most_once() {
    let mut reported = HashMap::new();
    for seed in 0..SEEDS {
        let environment = Environment::new(Variant::AsBuilt, seed).run();
        assert!(
            environment.is_correct(),
            "seed {seed}: {:?}",
            environment.history
        );
        for (_, _, operation) in environment.history.iter().flatten() {
            if let Operation::Reported(outcome, _) = operation {
                *reported.entry(outcome.as_str()).or_insert(0) += 1;
            }
        }
    }
    println!("reported over {SEEDS} seeds: {reported:?}");
    assert!(reported["ran"] > 0 && reported["not_run"] > 0 && reported["unknown"] > 0);
}

#[test_case(Variant::RetryAfterBytesWereSent)]
#[test_case(Variant::TicketHonouredByNewIncarnation)]
fn the_checker_detects(variant: Variant) {
    let incorrect = (0..SEEDS).filter(|seed| !Environment::new(variant, *seed).run().is_correct());
    assert!(incorrect.count() > 0);
}
