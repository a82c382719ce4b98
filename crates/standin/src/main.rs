//! `iristhread-standin`: stand-ins for the external systems, one per
//! process. Each prints `listening ADDRESS` once it accepts connections.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use iristhread_standin::EngineSettings;
use iristhread_standin::PlatformState;
use iristhread_standin::ServiceSettings;
use iristhread_standin::serve_engine;
use iristhread_standin::serve_platform;
use iristhread_standin::serve_service;
use tokio::net::TcpListener;

use crate::flags::Engine;
use crate::flags::IristhreadStandin;
use crate::flags::IristhreadStandinCmd;

mod flags;

const DEFAULT_READS_PER_S: u64 = 2_000;

#[tokio::main]
async fn main() -> std::io::Result<()> {
    match IristhreadStandin::from_env_or_exit().subcommand {
        IristhreadStandinCmd::Engine(flags) => {
            let listener = listen(flags.listen).await?;
            serve_engine(listener, engine_settings(&flags)).await
        }
        IristhreadStandinCmd::Service(flags) => {
            let listener = listen(flags.listen).await?;
            let checks_keys = flags.checks_keys;
            serve_service(listener, ServiceSettings { checks_keys }).await
        }
        IristhreadStandinCmd::Platform(flags) => {
            let listener = listen(flags.listen).await?;
            let reads_per_s = flags.reads_per_s.unwrap_or(DEFAULT_READS_PER_S);
            serve_platform(listener, PlatformState::new(reads_per_s)).await
        }
    }
}

async fn listen(address: Option<SocketAddr>) -> std::io::Result<TcpListener> {
    let address = address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    let listener = TcpListener::bind(address).await?;
    let mut out = std::io::stdout();
    writeln!(out, "listening {}", listener.local_addr()?)?;
    out.flush()?;
    Ok(listener)
}

fn engine_settings(flags: &Engine) -> EngineSettings {
    let mut settings = EngineSettings::default();
    if let Some(tokens) = flags.memory_tokens {
        settings.memory_tokens = tokens;
    }
    if let Some(step_ms) = flags.step_ms {
        settings.step = Duration::from_millis(step_ms);
    }
    if let Some(sessions) = flags.max_batch {
        settings.max_batch = sessions;
    }
    if let Some(lag_ms) = flags.report_lag_ms {
        settings.report_lag = Duration::from_millis(lag_ms);
    }
    if let Some(grace_ms) = flags.orphan_grace_ms {
        settings.orphan_grace = Duration::from_millis(grace_ms);
    }
    settings.checks_fences = !flags.ignore_fences;
    settings
}
