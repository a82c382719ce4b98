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

/// Limits for callers.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum size of a request's headers, in bytes.
    pub max_header_bytes: usize,
    /// Maximum number of connections of callers.
    pub max_connections: usize,
    /// Maximum number of streams and calls at once.
    pub max_streams: usize,
    /// Maximum time in which a caller sends the headers.
    pub header_timeout: Duration,
    /// Maximum time in which a caller sends the body.
    pub body_timeout: Duration,
    /// Maximum time in which a caller may read nothing of its stream.
    pub write_timeout: Duration,
    /// Maximum wait for the start of a request.
    pub start_timeout: Duration,
    /// Maximum wait for the answer of a plain service.
    pub call_timeout: Duration,
    /// Time in which a disconnected caller may reconnect before its generation is cancelled.
    pub caller_grace: Duration,
}

/// A peer named in the settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeedPeer {
    /// Name of the peer.
    pub instance: InstanceId,
    /// Address that it listens on for peers.
    pub address: SocketAddr,
}

/// Validated settings of one instance.
#[derive(Clone)]
pub struct Settings {
    /// Name of the instance, as the platform lists it.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Address for the other instances.
    pub peer_address: SocketAddr,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// StatsD address that metrics are sent to over UDP, if any.
    pub metrics_address: Option<SocketAddr>,
    /// Peers to contact at the start, in case the platform is unavailable.
    pub seed_peers: Vec<SeedPeer>,
    /// Keys shared by all instances, for messages between peers, cursors and tickets.
    pub keyring: Keyring,
    /// Lowest level that is logged.
    pub log_level: slog::Level,
    /// Policy that chooses engines.
    pub routing_policy: RoutingPolicy,
    /// Number of threads for traffic.
    pub traffic_threads: usize,
    /// Maximum number of requests of one workspace that wait for an engine.
    pub max_queued: usize,
    /// Maximum number of records in the timeline.
    pub timeline_records: usize,
    /// Time in which a ticket can be spent.
    pub ticket_lifetime: Duration,
    /// Maximum number of spent tickets that are remembered.
    pub max_tickets: usize,
    /// Time between the stop signal and the refusal of new connections.
    pub stop_linger: Duration,
    /// Maximum time that streams and calls have to finish at a planned stop.
    pub stop_timeout: Duration,
    /// Limits for callers.
    pub limits: Limits,
}

impl Settings {
    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// All faults found in the settings.
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
