//! The `iristhread` program.

use std::process::ExitCode;

use iristhread_cli::CliError;

use crate::flags::Iristhread;
use crate::tool::Tool;

mod flags;
mod log_commands;
mod tool;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("iristhread: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

async fn run() -> Result<(), CliError> {
    let flags = Iristhread::from_env_or_exit();
    let tool = Tool::new(flags.server, flags.key, flags.output)?;
    tool.run(flags.subcommand).await
}
