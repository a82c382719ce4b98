//! The program of a gateway: reads its settings, runs it until a signal stops it, and reloads changed
//! settings.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use nix::sys::signal::SigSet;
use nix::sys::signal::Signal as BlockedSignal;
use nix::unistd::SysconfVar;
use nix::unistd::sysconf;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::completion::daemon::DaemonError;
use crate::gateway::Gateway;
use crate::gateway::gateway_ports::GatewayPorts;
use crate::gateway::gateway_settings::GatewaySettings;
use crate::process::logging::logger;
use crate::process::settings_file::read_settings;

/// Exit code if the daemon can't start.
const COULD_NOT_START: u8 = 1;
/// Exit code if the settings file has faults.
const SETTINGS_FAULTS: u8 = 2;
/// Exit code if requests were unfinished at the end of `stop_grace_ms`.
const REQUESTS_LEFT: u8 = 3;

/// What the command line of a gateway asks for.
pub struct GatewayCommand {
    /// Path of the settings file.
    pub settings: PathBuf,
    /// Whether to list the faults of the settings and exit.
    pub is_check: bool,
}

/// Runs a gateway until it is stopped and returns the exit code of the process. `command` reads
/// the command line, and `ports` creates the adapters for the settings.
pub fn run_gateway(
    command: impl FnOnce() -> GatewayCommand,
    ports: impl FnOnce(&GatewaySettings) -> GatewayPorts,
) -> ExitCode {
    // A signal that arrives before the handlers are installed stays pending until then.
    let blocked = blocked_signals();
    if let Err(error) = blocked.thread_block() {
        eprintln!("failed to block signals: {error}");
        return ExitCode::from(COULD_NOT_START);
    }
    let command = command();
    let settings = match read_settings(&command.settings, GatewaySettings::parse) {
        Ok(settings) => settings,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            return ExitCode::from(SETTINGS_FAULTS);
        }
    };
    if command.is_check {
        println!("{}: no faults", command.settings.display());
        return ExitCode::SUCCESS;
    }
    match run(settings, &command.settings, ports) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(REQUESTS_LEFT),
        Err(error) => {
            eprintln!("{}: {error}", command.settings.display());
            ExitCode::from(COULD_NOT_START)
        }
    }
}

/// Runs the gateway until it is stopped, on one traffic thread, since a machine has only a share
/// of one core. Returns whether all requests finished in time.
fn run(
    settings: GatewaySettings,
    file: &Path,
    ports: impl FnOnce(&GatewaySettings) -> GatewayPorts,
) -> Result<bool, DaemonError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (log, pending_lines) = logger(&settings.instance, &settings.zone, settings.log_level);
    let finished = runtime.block_on(async {
        let ports = ports(&settings);
        let mut signals = Signals::listen()?;
        blocked_signals()
            .thread_unblock()
            .map_err(std::io::Error::from)?;
        let mut gateway = Gateway::start(settings, ports, log).await?;
        run_until_stopped(&mut gateway, &mut signals, file).await?;
        Ok(gateway.stop().await)
    });
    // Does not wait for tasks that are still running.
    runtime.shutdown_background();
    if !pending_lines.written() {
        eprintln!("the last log lines were not written within the time limit");
    }
    finished
}

/// The signals that are blocked until their handlers are installed.
fn blocked_signals() -> SigSet {
    let mut signals = SigSet::empty();
    signals.add(BlockedSignal::SIGTERM);
    signals.add(BlockedSignal::SIGINT);
    signals.add(BlockedSignal::SIGHUP);
    signals
}

/// Streams of the signals that the process handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    fn listen() -> std::io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }
}

/// Returns the resident memory of this process; `None` where the system doesn't provide it.
fn resident_bytes() -> Option<u64> {
    let sizes = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = sizes.split_whitespace().nth(1)?.parse().ok()?;
    let page_bytes = sysconf(SysconfVar::PAGE_SIZE).ok()??;
    Some(pages * u64::try_from(page_bytes).ok()?)
}

/// Interval between two checks of the settings file. The file may change without a signal, and
/// changes must be in force within seconds.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Reloads the settings at SIGHUP and when the file has changed. Returns at SIGTERM or SIGINT.
///
/// # Errors
///
/// The settings file can't be read at the start.
async fn run_until_stopped(
    gateway: &mut Gateway,
    signals: &mut Signals,
    file: &Path,
) -> std::io::Result<()> {
    let mut last_text = std::fs::read_to_string(file)?;
    loop {
        let is_forced = tokio::select! {
            _ = signals.terminate.recv() => return Ok(()),
            _ = signals.interrupt.recv() => return Ok(()),
            _ = signals.hang_up.recv() => true,
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => false,
        };
        if let Some(resident_bytes) = resident_bytes() {
            gateway.observe_resident(resident_bytes);
        }
        // A file that is just being replaced is read at the next check.
        let Ok(text) = std::fs::read_to_string(file) else {
            continue;
        };
        if !is_forced && text == last_text {
            continue;
        }
        match read_settings(file, GatewaySettings::parse) {
            Ok(settings) => gateway.reload(&settings),
            Err(faults) => gateway.reload_failed(&faults),
        }
        last_text = text;
    }
}
