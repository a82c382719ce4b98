//! Histories of concurrent deliveries, crashes, pauses and lost answers,
//! checked by a library checker: each ticket runs at most once, `not_run` means
//! zero executions, and `ran` returns that execution's own answer.

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
const TICKETS_AT_ONCE: usize = 100;

/// Deviations that the checker must catch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Variant {
    AsBuilt,
    RetryAfterBytesWereSent,
    TicketHonouredByNewIncarnation,
}

/// What happened to one ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Operation {
    Execute(u64),
    Told(Outcome, u64),
}

struct AtMostOnce;

/// A ticket is fresh, was executed, or was said not to have run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum TicketState {
    Fresh,
    Executed(u64),
    SaidNotRun,
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
            (Operation::Told(Outcome::Unknown, _), state) => (true, state),
            (Operation::Told(Outcome::Ran, value), state) => {
                (state == TicketState::Executed(*value), state)
            }
            (Operation::Told(Outcome::NotRun, _), TicketState::Executed(value)) => {
                (false, TicketState::Executed(value))
            }
            (Operation::Told(Outcome::NotRun, _), _) => (true, TicketState::SaidNotRun),
        }
    }
}

/// A run under way at the instance that its ticket names.
struct Run {
    ticket: usize,
    decisions: CallRun,
    in_flight: bool,
}

struct Instance {
    life: u32,
    book: TicketStore,
    runs: Vec<Run>,
    answers: HashMap<usize, (Outcome, u64)>,
}

/// A delivery that waits for its answer: its instance, ticket and start.
struct Delivery {
    owner: usize,
    ticket: usize,
    began: usize,
}

struct World {
    variant: Variant,
    random: Pcg32,
    now: Duration,
    instances: Vec<Instance>,
    tickets: Vec<(Ticket, usize)>,
    waiting: Vec<Delivery>,
    /// Calls that left their instance and may still be executed.
    on_the_wire: Vec<usize>,
    executions: u64,
    moment: usize,
    /// Per ticket: begin, end and operation.
    history: Vec<Vec<(usize, usize, Operation)>>,
}

impl World {
    fn new(variant: Variant, seed: u64) -> Self {
        let mut world = World {
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
            moment: 0,
            history: vec![Vec::new(); TICKETS],
        };
        for number in 0..TICKETS {
            let owner = world.draw(INSTANCES);
            let book = &world.instances[owner].book;
            let ticket = book.issue(world.now, number.to_string(), "slots");
            world.tickets.push((ticket, owner));
        }
        world
    }

    fn draw(&mut self, below: usize) -> usize {
        self.random.next_u32() as usize % below
    }

    fn run(mut self) -> Self {
        for _ in 0..STEPS {
            self.moment += 1;
            match self.draw(10) {
                0..=2 => self.deliver(),
                3..=5 => self.advance_a_run(),
                6..=7 => self.service_executes(),
                8 => self.now += Duration::from_millis(700),
                _ => self.crash(),
            }
        }
        self.settle()
    }

    /// Any instance may get it; it is always decided by the owner.
    fn deliver(&mut self) {
        let number = self.draw(TICKETS);
        let (mut ticket, owner) = self.tickets[number].clone();
        let began = self.moment;
        let instance = &mut self.instances[owner];
        if self.variant == Variant::TicketHonouredByNewIncarnation {
            ticket.incarnation = instance.life.to_string();
        }
        let verdict = instance.book.spend(self.now, &ticket);
        let waits = matches!(verdict, SpendVerdict::Run { .. } | SpendVerdict::SameRun);
        match verdict {
            SpendVerdict::Run { send_before } => instance.runs.push(Run {
                ticket: number,
                decisions: CallRun::new(false, vec!["r1".into(), "r2".into()], send_before),
                in_flight: false,
            }),
            SpendVerdict::SameRun => {}
            SpendVerdict::Expired | SpendVerdict::Full => {
                self.tell(number, began, Outcome::NotRun, 0)
            }
            SpendVerdict::Unknown | SpendVerdict::Forward { .. } => {
                self.tell(number, began, Outcome::Unknown, 0);
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

    fn advance_a_run(&mut self) {
        let owner = self.draw(INSTANCES);
        if self.instances[owner].runs.is_empty() {
            return;
        }
        let chosen = self.draw(self.instances[owner].runs.len());
        let luck = self.draw(4);
        let now = self.now;
        let variant = self.variant;
        let run = &mut self.instances[owner].runs[chosen];
        if run.in_flight {
            return;
        }
        match run.decisions.next(now) {
            CallStep::Send(_) if luck == 0 => run.decisions.sent(SendResult::NotConnected),
            CallStep::Send(_) if luck == 1 => {
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
        let moment = self.moment;
        self.history[ticket].push((moment, moment, Operation::Execute(value)));
        self.moment += 1;
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
            self.tell(delivery.ticket, delivery.began, outcome, value);
        }
    }

    /// A new life with an empty memory; what is on the wire stays there.
    fn crash(&mut self) {
        let owner = self.draw(INSTANCES);
        let life = self.instances[owner].life + 1;
        self.instances[owner] = Instance::new(owner, life);
        let (cut, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|d| d.owner == owner);
        self.waiting = rest;
        for delivery in cut {
            self.tell(delivery.ticket, delivery.began, Outcome::Unknown, 0);
        }
    }

    fn tell(&mut self, ticket: usize, began: usize, outcome: Outcome, value: u64) {
        let told = Operation::Told(outcome, value);
        self.history[ticket].push((began, self.moment, told));
    }

    /// What is still on the wire gets executed; who still waits hears nothing.
    fn settle(mut self) -> Self {
        while !self.on_the_wire.is_empty() {
            self.moment += 1;
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
    fn new(number: usize, life: u32) -> Self {
        let name = number.to_string();
        Instance {
            book: TicketStore::new(name, life.to_string(), LIFETIME, TICKETS_AT_ONCE),
            life,
            runs: Vec::new(),
            answers: HashMap::new(),
        }
    }
}

/// Each operation is a process of its own.
fn to_history(operations: &[(usize, usize, Operation)]) -> History<Operation> {
    let mut actions = Vec::new();
    for (process, (began, ended, operation)) in operations.iter().enumerate() {
        actions.push((began * 2, (process, Action::Call(*operation))));
        actions.push((ended * 2 + 1, (process, Action::Response(*operation))));
    }
    actions.sort_by_key(|(moment, _)| *moment);
    History::from_actions(actions.into_iter().map(|(_, action)| action).collect())
}

#[test]
fn every_ticket_runs_at_most_once() {
    let mut told = HashMap::new();
    for seed in 0..SEEDS {
        let world = World::new(Variant::AsBuilt, seed).run();
        assert!(world.is_correct(), "seed {seed}: {:?}", world.history);
        for (_, _, operation) in world.history.iter().flatten() {
            if let Operation::Told(outcome, _) = operation {
                *told.entry(outcome.as_str()).or_insert(0) += 1;
            }
        }
    }
    println!("told over {SEEDS} seeds: {told:?}");
    assert!(told["ran"] > 0 && told["not_run"] > 0 && told["unknown"] > 0);
}

#[test_case(Variant::RetryAfterBytesWereSent)]
#[test_case(Variant::TicketHonouredByNewIncarnation)]
fn the_checker_catches(variant: Variant) {
    let wrong = (0..SEEDS).filter(|seed| !World::new(variant, *seed).run().is_correct());
    assert!(wrong.count() > 0);
}
