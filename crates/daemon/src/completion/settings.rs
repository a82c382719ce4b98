//! Settings of one instance.

use std::net::SocketAddr;
use std::time::Duration;

use iristhread_core::InstanceId;
use iristhread_core::Keyring;
use iristhread_core::RoutingPolicy;
use iristhread_core::ZoneId;

use crate::process::settings_reader::SettingsFault;
use crate::process::settings_reader::SettingsReader;
use crate::process::settings_reader::read_keyring;
use crate::process::settings_reader::read_level;
use crate::process::settings_reader::read_name;

const HOUR_MS: u64 = 3_600_000;
const MIB: u64 = 1 << 20;

/// Limits towards callers.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most bytes of a request body.
    pub max_body_bytes: u64,
    /// Most bytes of a request's headers.
    pub max_header_bytes: usize,
    /// Most connections of callers.
    pub max_connections: usize,
    /// Most streams and calls at once.
    pub max_streams: usize,
    /// Longest time to send the headers.
    pub header_timeout: Duration,
    /// Longest time to send the body.
    pub body_timeout: Duration,
    /// Longest time in which a caller reads nothing of its stream.
    pub write_timeout: Duration,
    /// Longest wait for the start of a request.
    pub start_timeout: Duration,
    /// Longest wait for the answer of a plain service.
    pub call_timeout: Duration,
    /// Time in which a lost caller may come back before its generation is
    /// cancelled.
    pub caller_grace: Duration,
}

/// A peer known from the settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeedPeer {
    /// Its name.
    pub instance: InstanceId,
    /// Where it listens for peers.
    pub address: SocketAddr,
}

/// Settings of one instance, checked.
#[derive(Clone)]
pub struct Settings {
    /// Name of the instance, as the platform lists it.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// Where the other instances connect.
    pub peer_address: SocketAddr,
    /// The platform.
    pub platform_address: SocketAddr,
    /// Where metrics go, if anywhere.
    pub metrics_address: Option<SocketAddr>,
    /// Peers to ask at the start, for when the platform is down.
    pub seed_peers: Vec<SeedPeer>,
    /// Keys shared by all instances.
    pub keyring: Keyring,
    /// Least level that is logged.
    pub log_level: slog::Level,
    /// How engines are chosen.
    pub routing_policy: RoutingPolicy,
    /// Threads for traffic.
    pub traffic_threads: usize,
    /// Requests of one workspace that may wait.
    pub max_queued: usize,
    /// Records of the time line.
    pub timeline_records: usize,
    /// How long a ticket may be spent.
    pub ticket_lifetime: Duration,
    /// Spent tickets remembered at once.
    pub max_tickets: usize,
    /// Time between the stop signal and the end of accepting.
    pub stop_linger: Duration,
    /// Longest time that streams get to finish at a planned stop.
    pub stop_timeout: Duration,
    /// Limits towards callers.
    pub limits: Limits,
}

impl Settings {
    /// Reads settings from a file's text.
    ///
    /// # Errors
    ///
    /// Every fault found.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<SettingsFault>> {
        let mut reader = SettingsReader::new(file, text);
        let settings = Settings {
            instance: read_name(&mut reader, "instance"),
            zone: read_name(&mut reader, "availability_zone"),
            caller_address: reader.address("caller_address"),
            operator_address: reader.address("operator_address"),
            peer_address: reader.address("peer_address"),
            platform_address: reader.address("platform_address"),
            metrics_address: reader.address_or_none("metrics_address"),
            seed_peers: read_seed_peers(&mut reader),
            keyring: read_keyring(&mut reader),
            log_level: read_level(&mut reader),
            routing_policy: read_policy(&mut reader),
            traffic_threads: reader.number("traffic_threads", 2, 1..=256) as usize,
            max_queued: reader.number("max_queued", 256, 1..=100_000) as usize,
            timeline_records: reader.number("timeline_records", 20_000, 100..=1_000_000) as usize,
            ticket_lifetime: reader.time_ms("ticket_lifetime_ms", 120_000, 1_000..=HOUR_MS),
            max_tickets: reader.number("max_tickets", 100_000, 100..=10_000_000) as usize,
            stop_linger: reader.time_ms("stop_linger_ms", 2_000, 0..=60_000),
            stop_timeout: reader.time_ms("stop_timeout_ms", 600_000, 0..=HOUR_MS),
            limits: read_limits(&mut reader),
        };
        let faults = reader.finish();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(faults)
        }
    }
}

fn read_limits(reader: &mut SettingsReader) -> Limits {
    Limits {
        max_body_bytes: reader.number("limits.max_body_bytes", MIB, 1_024..=64 * MIB),
        max_header_bytes: reader.number("limits.max_header_bytes", 16_384, 8_192..=MIB) as usize,
        max_connections: reader.number("limits.max_connections", 10_000, 1..=1_000_000) as usize,
        max_streams: reader.number("limits.max_streams", 4_096, 1..=1_000_000) as usize,
        header_timeout: reader.time_ms("limits.header_timeout_ms", 10_000, 100..=HOUR_MS),
        body_timeout: reader.time_ms("limits.body_timeout_ms", 10_000, 100..=HOUR_MS),
        write_timeout: reader.time_ms("limits.write_timeout_ms", 30_000, 100..=HOUR_MS),
        start_timeout: reader.time_ms("limits.start_timeout_ms", 30_000, 100..=HOUR_MS),
        call_timeout: reader.time_ms("limits.call_timeout_ms", 30_000, 100..=HOUR_MS),
        caller_grace: reader.time_ms("limits.caller_grace_ms", 5_000, 0..=HOUR_MS),
    }
}

fn read_seed_peers(reader: &mut SettingsReader) -> Vec<SeedPeer> {
    let fix = "list peers as \"INSTANCE@IP:PORT\"";
    let mut seeds = Vec::new();
    for text in reader.texts_or_none("seed_peers", fix) {
        let parsed = text.split_once('@').and_then(|(instance, address)| {
            Some(SeedPeer {
                instance: instance.to_owned(),
                address: address.parse().ok()?,
            })
        });
        match parsed {
            Some(seed) => seeds.push(seed),
            None => reader.fault("seed_peers", &format!("{text:?}"), fix),
        }
    }
    seeds
}

fn read_policy(reader: &mut SettingsReader) -> RoutingPolicy {
    let fix =
        "use one of predictive, predictive_no_hold, round_robin, least_outstanding, two_choices";
    let text = reader.text_or("routing_policy", "predictive", fix);
    let parsed = serde_json::from_value(serde_json::Value::String(text.clone()));
    parsed.unwrap_or_else(|_| {
        reader.fault("routing_policy", &format!("{text:?}"), fix);
        RoutingPolicy::default()
    })
}
