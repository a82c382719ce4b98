//! The program `iristhreadd`: the daemon of an entry instance.

use std::process::ExitCode;

use iristhread_daemon::Daemon;
use iristhread_daemon::Settings;
use iristhread_daemon::logger;
use iristhread_daemon::read_settings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::flags::Iristhreadd;

mod flags;

const EXIT_START_FAILED: u8 = 1;
const EXIT_SETTINGS_FAULTS: u8 = 2;
const EXIT_STREAMS_LEFT: u8 = 3;

fn main() -> ExitCode {
    let flags = Iristhreadd::from_env_or_exit();
    let settings = match read_settings(&flags.settings, Settings::parse) {
        Ok(settings) => settings,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            return ExitCode::from(EXIT_SETTINGS_FAULTS);
        }
    };
    if flags.check {
        println!("{}: no faults", flags.settings.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_STREAMS_LEFT),
        Err(error) => {
            eprintln!("{}: {error}", flags.settings.display());
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

fn run(settings: Settings) -> Result<bool, iristhread_daemon::DaemonError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    let (log, pending_lines) = logger(&settings.instance, &settings.zone, settings.log_level);
    let finished = runtime.block_on(async {
        let daemon = Daemon::start(settings, log).await?;
        print_addresses(&daemon);
        wait_for_stop_signal().await?;
        Ok(daemon.stop().await)
    });
    if !pending_lines.written() {
        eprintln!("the last log lines were not read in time");
    }
    finished
}

/// Prints one JSON line with the addresses, for a parent process that has set port 0.
fn print_addresses(daemon: &Daemon) {
    let line = serde_json::to_string(&daemon.addresses()).unwrap_or_default();
    println!("{line}");
}

async fn wait_for_stop_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
