//! One simulated instance: its members, its reader of the directory, and its fetches from peers.

use std::net::SocketAddr;
use std::time::Duration;

use iristhread_core::Arrival;
use iristhread_core::ConfigLag;
use iristhread_core::ConfigVersion;
use iristhread_core::FleetMembers;
use iristhread_core::MemberState;
use iristhread_core::Now;
use iristhread_core::WatchCycle;
use iristhread_core::read_timing::ANSWER_TIMEOUT;
use iristhread_core::read_timing::FETCH_TIMEOUT;
use iristhread_core::read_timing::FIRST_PAUSE;
use iristhread_core::read_timing::LONGEST_PAUSE;
use iristhread_core::read_timing::MAX_FETCH_DELAY;
use iristhread_core::read_timing::READ_CHECK_INTERVAL;
use iristhread_core::read_timing::RETRY_JITTER;
use rand_core::Rng;
use rand_pcg::Pcg32;

use super::calls::Call;
use super::calls::Connection;
use super::calls::Pool;

/// Idle time after which a connection of a watch is not reused.
const MAX_IDLE: Duration = Duration::from_millis(300);

/// Time in which updates are collected before a heartbeat advertises them.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// A heartbeat.
#[derive(Clone)]
pub struct Heartbeat {
    address: SocketAddr,
    state: MemberState,
    config_age: Option<Duration>,
    addresses: Vec<SocketAddr>,
    pass_on: bool,
}

/// State of the reader.
#[derive(Clone, Copy, Debug)]
enum Reader {
    Idle(Now),
    Calling(Call),
    BackingOff(Now),
}

/// State of the fetching task.
#[derive(Clone, Copy, Debug)]
enum Fetch {
    Idle,
    Delayed { until: Now, had: ConfigVersion },
    Fetching { until: Now },
}

pub struct Instance {
    pub own: usize,
    pub zone: String,
    pub number_of_zones: usize,
    pub version: ConfigVersion,
    pub down_until: Now,
    pub frozen_until: Now,
    pub no_store_until: Now,
    pub no_peers_until: Now,
    /// End of its last fault.
    pub fault_ended: Now,
    members: FleetMembers,
    reader: Reader,
    fetch: Fetch,
    pool: Pool,
    cycle: WatchCycle,
    confirmed_at: Option<Now>,
    lag: ConfigLag,
    can_read: bool,
    /// Whether the last call failed.
    has_failed: bool,
    /// Retry delay after the next failure.
    pause: Duration,
    watched: Option<ConfigVersion>,
    start_ms: u64,
    sequence: u64,
    next_heartbeat: Now,
    held: Vec<Heartbeat>,
    bundle: Vec<Heartbeat>,
}

pub fn address(number: usize) -> SocketAddr {
    ([10, 0, 0, number as u8], 7_000).into()
}

fn number(address: &SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("the environment has IPv4 only");
    };
    usize::from(address.ip().octets()[3])
}

pub fn zone_of(own: usize, zones: usize) -> String {
    format!("z{}", own % zones)
}

fn below(random: &mut Pcg32, most: u64) -> u64 {
    u64::from(random.next_u32()) % most.max(1)
}

impl Instance {
    /// Starts a process without any state.
    pub fn start(own: usize, zones: usize, at: Now, random: &mut Pcg32) -> Instance {
        let zone = zone_of(own, zones);
        let seeds = (0..3).map(address).collect();
        let members = FleetMembers::new(format!("i{own}"), zone.clone(), 250, address(own), seeds);
        let mut pool = Pool::default();
        // The connection of the reader of the list, idle once it leaves reading to others.
        pool.put_back(at, Connection::new(at));
        Instance {
            own,
            zone,
            number_of_zones: zones,
            version: 0,
            down_until: at,
            frozen_until: Now::ZERO,
            no_store_until: Now::ZERO,
            no_peers_until: Now::ZERO,
            fault_ended: at,
            members,
            reader: Reader::Idle(at + Duration::from_millis(below(random, 100))),
            fetch: Fetch::Idle,
            pool,
            cycle: WatchCycle::default(),
            confirmed_at: None,
            lag: ConfigLag::default(),
            can_read: true,
            has_failed: false,
            pause: FIRST_PAUSE,
            watched: None,
            start_ms: at.as_millis() as u64,
            sequence: 0,
            next_heartbeat: at + Duration::from_millis(below(random, 200)),
            held: Vec::new(),
            bundle: Vec::new(),
        }
    }

    /// Restarts the instance after its process was killed.
    pub fn restart(own: usize, zones: usize, at: Now, random: &mut Pcg32) -> Instance {
        Instance::start(own, zones, at, random)
    }

    pub fn is_up(&self, now: Now) -> bool {
        now >= self.down_until && now >= self.frozen_until
    }

    pub fn is_reading(&self) -> bool {
        matches!(self.reader, Reader::Calling(_))
    }

    pub fn freeze(&mut self, until: Now) {
        self.frozen_until = self.frozen_until.max(until);
        self.fault_ended = self.fault_ended.max(until);
    }

    /// Cuts the instance off from the directory: the call in flight gets no answer.
    pub fn cut_off(&mut self, until: Now) {
        self.fault_ended = self.fault_ended.max(until);
        self.call_hangs();
    }

    /// Lets the call in flight get no answer.
    pub fn call_hangs(&mut self) {
        if let Reader::Calling(call) = &mut self.reader {
            call.hangs = true;
        }
    }

    /// Stalls all its open connections.
    pub fn stall_connections(&mut self, now: Now) {
        if now < self.down_until {
            // The next process has no connections yet.
            return;
        }
        self.pool.stall();
        self.cut_off(now);
    }

    /// Advances the reader; returns the number of calls that it made.
    pub fn read(
        &mut self,
        now: Now,
        acked: &[(ConfigVersion, Now)],
        is_reachable: bool,
        random: &mut Pcg32,
    ) -> u64 {
        for beat in std::mem::take(&mut self.held) {
            self.receive(now, beat, random);
        }
        if let Reader::Calling(call) = self.reader {
            self.receive_answer(now, call, acked, random);
        }
        match self.reader {
            Reader::Idle(at) | Reader::BackingOff(at) if now >= at => {
                self.check_read(now, is_reachable)
            }
            _ => 0,
        }
    }

    fn check_read(&mut self, now: Now, is_reachable: bool) -> u64 {
        if !self.reads(now) {
            self.watched = None;
            self.reader = Reader::Idle(now + READ_CHECK_INTERVAL);
            return 0;
        }
        let after = self.watched.filter(|_| !self.has_failed);
        let connection = match after {
            Some(_) => self.pool.take(now, MAX_IDLE),
            None => Connection::new(now),
        };
        self.reader = Reader::Calling(Call {
            sent: now,
            after,
            wait: after.map_or(Duration::ZERO, |_| self.cycle.next_wait(now)),
            connection,
            hangs: !is_reachable || connection.is_stalled(),
        });
        1
    }

    fn receive_answer(
        &mut self,
        now: Now,
        call: Call,
        acked: &[(ConfigVersion, Now)],
        random: &mut Pcg32,
    ) {
        let (answered_at, version) = call.answer(acked);
        if !call.hangs && now >= answered_at {
            if call.after.is_some() {
                self.pool.put_back(now, call.connection);
            }
            self.version = self.version.max(version);
            let is_quiet = call.after == Some(version);
            let quiet_for = is_quiet.then_some(call.wait);
            self.confirmed_at = Some(self.cycle.answered(call.sent, quiet_for, now));
            self.watched = Some(version);
            self.can_read = true;
            self.has_failed = false;
            self.pause = FIRST_PAUSE;
            self.next_heartbeat = self.next_heartbeat.min(now + BATCH_DELAY);
            self.reader = Reader::Idle(now);
        } else if now >= call.sent + call.wait + ANSWER_TIMEOUT {
            self.can_read = false;
            self.has_failed = true;
            let width = RETRY_JITTER.end - RETRY_JITTER.start;
            let factor = RETRY_JITTER.start + width * below(random, 1_000) as f64 / 1_000.0;
            let pause = self.pause.mul_f64(factor);
            self.pause = (self.pause * 2).min(LONGEST_PAUSE);
            self.reader = Reader::BackingOff(now + pause);
        }
    }

    fn known_confirmed_at(&self, now: Now) -> Option<Now> {
        let received = self.members.config_confirmed_at(now, self.version);
        self.confirmed_at.max(received)
    }

    fn reads(&mut self, now: Now) -> bool {
        if self.version == 0 {
            return true;
        }
        let confirmed_at = self.known_confirmed_at(now);
        let is_ahead = self.members.is_ahead_in_config(now, self.version);
        self.lag.note(now, is_ahead);
        let is_stuck = self.lag.is_overdue(now, &self.members.waits(now));
        let for_others = is_ahead && self.members.is_relay(now);
        is_stuck || for_others || self.members.reads(now, confirmed_at, self.can_read)
    }

    /// Returns the peer that is queried for a newer version now, if any.
    pub fn peer_to_query(&mut self, now: Now) -> Option<usize> {
        let Fetch::Delayed { until, had } = self.fetch else {
            if matches!(self.fetch, Fetch::Fetching { until } if now >= until) {
                self.fetch = Fetch::Idle;
            }
            return None;
        };
        if now < until {
            return None;
        }
        self.fetch = Fetch::Idle;
        let sources = self.members.sources(now, self.version, 0.into());
        let index = self.sequence as usize % sources.len().max(1);
        let (address, _) = sources.get(index)?;
        (self.version == had).then(|| number(address))
    }

    /// Applies the answer of a queried peer.
    pub fn apply_answer(&mut self, now: Now, answer: Option<ConfigVersion>) {
        match answer {
            Some(version) => self.version = self.version.max(version),
            None => {
                self.fetch = Fetch::Fetching {
                    until: now + FETCH_TIMEOUT,
                };
            }
        }
    }

    /// Returns the heartbeats that the instance sends now, with their receivers.
    pub fn heartbeats(&mut self, now: Now, random: &mut Pcg32) -> Vec<(usize, Heartbeat)> {
        let mut sent = Vec::new();
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.members.heartbeat_interval(now);
            let fan_out = self.members.fan_out(now, random);
            let mut beat = self.own_heartbeat(now, random);
            for to in &fan_out.direct {
                sent.push((number(to), beat.clone()));
            }
            beat.pass_on = true;
            for to in fan_out.relay.iter().chain(&fan_out.remote_relays) {
                sent.push((number(to), beat.clone()));
            }
            if fan_out.forwards_to_zone {
                self.bundle.push(beat);
            }
        }
        for mut beat in std::mem::take(&mut self.bundle) {
            beat.pass_on = false;
            for to in self.members.neighbours(now) {
                sent.push((number(&to), beat.clone()));
            }
        }
        sent
    }

    fn own_heartbeat(&mut self, now: Now, random: &mut Pcg32) -> Heartbeat {
        self.sequence += 1;
        let confirmed_at = self.known_confirmed_at(now);
        Heartbeat {
            address: address(self.own),
            state: MemberState {
                instance: format!("i{}", self.own),
                incarnation: format!("life {}", self.start_ms),
                sequence: self.sequence,
                sent_at: now,
                zone: self.zone.clone(),
                core_millis: 250,
                has_relays: self.members.has_relays(),
                config_version: self.version,
                config_confirmed_at: None,
                list_revision: 0.into(),
                list_confirmed_at: None,
                can_read: self.can_read,
            },
            config_age: confirmed_at.map(|at| now.saturating_sub(at)),
            addresses: self.members.advertised_addresses(now, random),
            pass_on: false,
        }
    }

    /// Receives a heartbeat; a suspended process holds it until it resumes.
    pub fn receive(&mut self, now: Now, beat: Heartbeat, random: &mut Pcg32) {
        if now < self.frozen_until {
            self.held.push(beat);
            return;
        }
        if beat.address == address(self.own) {
            return;
        }
        let mut state = beat.state.clone();
        state.config_confirmed_at = beat
            .config_age
            .map(|age| FleetMembers::confirmed_at(now, age));
        let is_ahead = state.config_version > self.version;
        let arrival = self.members.apply_heartbeat(now, beat.address, state);
        if arrival == Arrival::Old {
            return;
        }
        for address in &beat.addresses {
            self.members.learn_address(now, *address);
        }
        if arrival == Arrival::FirstOfIncarnation {
            self.members.queue_immediate_heartbeat(beat.address);
            self.next_heartbeat = self.next_heartbeat.min(now + BATCH_DELAY);
        }
        if is_ahead && matches!(self.fetch, Fetch::Idle) {
            self.fetch = Fetch::Delayed {
                until: now
                    + Duration::from_millis(below(random, MAX_FETCH_DELAY.as_millis() as u64)),
                had: self.version,
            };
        }
        if beat.pass_on {
            self.bundle.push(beat);
        }
    }
}
