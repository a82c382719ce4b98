//! Settings of an instance that serves as a gateway.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use iristhread_core::GatewayParameters;
use iristhread_core::InstanceId;
use iristhread_core::Keyring;
use iristhread_core::RegionId;
use iristhread_core::ZoneId;

use crate::process::settings_reader::SettingsFault;
use crate::process::settings_reader::SettingsReader;
use crate::process::settings_reader::read_keyring;
use crate::process::settings_reader::read_level;
use crate::process::settings_reader::read_name;

const HOUR_MS: u64 = 3_600_000;
const MIB: u64 = 1 << 20;

/// Validated settings of one gateway instance.
#[derive(Clone)]
pub struct GatewaySettings {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address to which callers connect.
    pub caller_address: SocketAddr,
    /// Address at which the platform checks readiness for callers and reads metrics.
    pub operator_address: SocketAddr,
    /// Address to which the other instances connect, by UDP and TCP. All instances use the
    /// same port.
    pub peer_address: SocketAddr,
    /// Address at which the instance connects to backend servers for peers that can't reach them;
    /// `None` to neither offer nor use such detours. All instances use the same port.
    pub detour_address: Option<SocketAddr>,
    /// Maximum number of connections that the instance carries for peers.
    pub max_detours: usize,
    /// Additional address that serves metrics, if any.
    pub metrics_address: Option<SocketAddr>,
    /// Address of the platform's directory.
    pub directory_address: SocketAddr,
    /// Addresses of other instances that are known at the start.
    pub seed_peers: Vec<SocketAddr>,
    /// The region of each availability zone; needed if routes or workspaces have home regions.
    pub regions: BTreeMap<ZoneId, RegionId>,
    /// Thousandths of a processor core that the instance may use. The instances of a zone with
    /// the largest share relay heartbeats for the others.
    pub core_millis: u32,
    /// Bytes of memory beyond which the platform ends the process.
    pub process_memory_bytes: u64,
    /// Keys shared by all instances.
    pub keyring: Keyring,
    /// Lowest level that is logged.
    pub log_level: slog::Level,
    /// Maximum number of connections of callers.
    pub max_connections: usize,
    /// Time from the stop signal until the process must have ended.
    pub stop_grace: Duration,
    /// Retries that each request adds to the retry budget, over all instances.
    pub retry_ratio: f64,
    /// Retries that the budget allows in addition, over all instances.
    pub retry_extra: f64,
    /// Share of an engine's memory up to which new sessions start there.
    pub memory_limit: f64,
    /// Share of an engine's memory up to which it accepts new backups.
    pub copy_limit: f64,
    /// Minimum number of expected tokens for which a session gets a backup.
    pub least_copied_tokens: u32,
    /// Whether the speed of backend servers is learned and counts when one is chosen.
    pub learn_speeds: bool,
    /// Relative difference in speed up to which backend servers count as equally fast.
    pub speed_tolerance: f64,
    /// Fraction of the memory that moves have needed lately that is kept free of new sessions.
    pub move_reserve: f64,
    /// Whether memory is kept free for requests of a more urgent rank.
    pub rank_reserve: bool,
    /// Maximum number of requests that wait for room; with 0 they are refused at once.
    pub max_waiting: usize,
    /// Whether the Retry-After of refusals for lack of memory follows from a forecast of room, and
    /// retries find room before first tries.
    pub forecast_retry_after: bool,
}

impl GatewaySettings {
    /// Parses settings from `text`; `file` names the file in faults.
    ///
    /// # Errors
    ///
    /// All faults found.
    pub fn parse(file: &str, text: &str) -> Result<GatewaySettings, Vec<SettingsFault>> {
        let mut reader = SettingsReader::new(file, text);
        let settings = GatewaySettings {
            instance: read_name(&mut reader, "instance"),
            zone: read_name(&mut reader, "availability_zone"),
            caller_address: reader.address("caller_address"),
            operator_address: reader.address("operator_address"),
            peer_address: reader.address("peer_address"),
            detour_address: reader.address_or_none("detour_address"),
            // Each carried connection takes two file descriptors and two buffers of 8 KB.
            max_detours: reader.number("max_detours", 256, 1..=100_000) as usize,
            metrics_address: reader.address_or_none("metrics_address"),
            directory_address: reader.address("directory_address"),
            seed_peers: read_seeds(&mut reader),
            regions: read_regions(&mut reader),
            core_millis: (reader.share("processor_share", 1.0, 0.001..=1_000.0) * 1_000.0) as u32,
            // Without the setting, the limit of the smallest machine.
            process_memory_bytes: reader.number("process_memory_mb", 110, 48..=1_048_576) * MIB,
            keyring: read_keyring(&mut reader),
            log_level: read_level(&mut reader),
            // Leaves a quarter of the file descriptors of the smallest machine for connections
            // to engines.
            max_connections: reader.number("max_connections", 2_000, 1..=1_000_000) as usize,
            stop_grace: reader.time_ms("stop_grace_ms", 8_000, 500..=HOUR_MS),
            retry_ratio: reader.share("retry_ratio", 0.2, 0.0..=1.0),
            retry_extra: reader.share("retry_extra", 50.0, 0.0..=1e6),
            // Above this limit sessions evict each other, and their prompts are processed again.
            memory_limit: reader.share("memory_limit", 1.0, 0.1..=4.0),
            // Backups save the sessions of crashed engines, but take memory from other sessions.
            copy_limit: reader.share("copy_limit", 0.5, 0.0..=4.0),
            least_copied_tokens: reader.number("least_copied_tokens", 100, 0..=1_000_000) as u32,
            learn_speeds: reader.flag("learn_speeds", false),
            // Within a quarter, load decides more than speed.
            speed_tolerance: reader.share("speed_tolerance", 0.25, 0.0..=10.0),
            move_reserve: reader.share("move_reserve", 0.0, 0.0..=4.0),
            rank_reserve: reader.flag("rank_reserve", false),
            max_waiting: reader.number("max_waiting", 0, 0..=100_000) as usize,
            forecast_retry_after: reader.flag("forecast_retry_after", false),
        };
        let faults = reader.finish();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(faults)
        }
    }

    /// Returns the parameters of the gateway's decisions.
    pub fn parameters(&self, seed: u64) -> GatewayParameters {
        GatewayParameters {
            instance: self.instance.clone(),
            zone: self.zone.clone(),
            retry_ratio: self.retry_ratio * RETRY_MARGIN,
            retry_extra: self.retry_extra * RETRY_MARGIN,
            min_sharers: MIN_SHARERS,
            memory_limit: self.memory_limit,
            copy_limit: self.copy_limit,
            least_copied_tokens: self.least_copied_tokens,
            learn_speeds: self.learn_speeds,
            speed_tolerance: self.speed_tolerance,
            move_reserve: self.move_reserve,
            rank_reserve: self.rank_reserve,
            max_waiting: self.max_waiting,
            forecast_retry_after: self.forecast_retry_after,
            regions: self.regions.clone(),
            seed,
        }
    }
}

/// Fraction of the operators' retry budget that is used, because a process that restarts loses
/// the record of the retries it has spent.
const RETRY_MARGIN: f64 = 0.6;

/// Minimum number of instances among which the extra retries are divided: the size of the
/// larger of the two known deployments.
const MIN_SHARERS: u32 = 9;

fn read_regions(reader: &mut SettingsReader) -> BTreeMap<ZoneId, RegionId> {
    let fix = "list the region of each availability zone as \"ZONE=REGION\"";
    let mut regions = BTreeMap::new();
    for text in reader.texts_or_none("zone_regions", fix) {
        match text.split_once('=') {
            Some((zone, region)) if !zone.is_empty() && !region.is_empty() => {
                regions.insert(zone.to_owned(), region.to_owned());
            }
            _ => reader.fault("zone_regions", &format!("{text:?}"), fix),
        }
    }
    regions
}

fn read_seeds(reader: &mut SettingsReader) -> Vec<SocketAddr> {
    let fix = "list addresses as \"IP:PORT\"";
    let mut seeds = Vec::new();
    for text in reader.texts_or_none("seed_peers", fix) {
        match text.parse() {
            Ok(address) => seeds.push(address),
            Err(_) => reader.fault("seed_peers", &format!("{text:?}"), fix),
        }
    }
    seeds
}
