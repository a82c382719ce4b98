//! Commands that read gateway logs and need no running instance.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;

use iristhread_cli::CliError;
use iristhread_cli::LogTrace;
use iristhread_cli::Losses;
use iristhread_cli::Objectives;
use iristhread_cli::format_losses;
use iristhread_cli::read_lines;

use crate::flags;

const STANDARD_INPUT: &str = "standard input";

/// Prints the trace of a request.
pub fn explain(request: &str, files: &[PathBuf]) -> Result<(), CliError> {
    let mut trace = LogTrace::of(request);
    for file in files {
        let read = trace.read(open(file)?);
        read.map_err(|error| file_error(&file.display().to_string(), &error))?;
    }
    match trace.text() {
        Some(text) => {
            print!("{text}");
            Ok(())
        }
        None => Err(CliError::Usage(format!(
            "no line of these logs concerns request {request}; are the logs of all instances given?"
        ))),
    }
}

/// Prints the changes in what the instances know of the directory, backend servers and zones.
pub fn state_changes(files: &[PathBuf]) -> Result<(), CliError> {
    let mut trace = LogTrace::of_state_changes();
    for file in files {
        let read = trace.read(open(file)?);
        read.map_err(|error| file_error(&file.display().to_string(), &error))?;
    }
    let Some(text) = trace.text() else {
        let message = "no line of these logs reports a change of state; are they gateway logs?";
        return Err(CliError::Usage(message.to_owned()));
    };
    print!("{text}");
    if trace.dropped_lines > 0 {
        eprintln!(
            "{} lines dropped: too many to keep in memory",
            trace.dropped_lines
        );
    }
    Ok(())
}

/// Prints the number of requests by cause of loss.
pub fn losses(flags: &flags::Losses) -> Result<(), CliError> {
    let mut losses = Losses::default();
    if flags.logs.is_empty() {
        read_all(&mut losses, STANDARD_INPUT, std::io::stdin().lock())?;
    }
    for file in &flags.logs {
        read_all(&mut losses, &file.display().to_string(), open(file)?)?;
    }
    let objectives = Objectives {
        first_event_ms: flags.first_event_ms,
        pause_ms: flags.pause_ms,
    };
    print!("{}", format_losses(&losses.table(objectives)));
    if losses.dropped_lines > 0 {
        let count = losses.dropped_lines;
        eprintln!("{count} lines dropped: they concern more requests than are kept in memory");
    }
    Ok(())
}

fn read_all(losses: &mut Losses, name: &str, source: impl BufRead) -> Result<(), CliError> {
    let read = read_lines(source, |line| losses.take(line));
    let read = read.map_err(|error| file_error(name, &error))?;
    if read.parsed == 0 {
        return Err(CliError::Usage(format!(
            "{name}: no line of a gateway log found"
        )));
    }
    if read.skipped > 0 {
        eprintln!(
            "{name}: skipped {} lines that are not of a gateway log",
            read.skipped
        );
    }
    Ok(())
}

fn open(file: &Path) -> Result<BufReader<File>, CliError> {
    let opened = File::open(file).map(BufReader::new);
    opened.map_err(|error| file_error(&file.display().to_string(), &error))
}

fn file_error(file: &str, error: &std::io::Error) -> CliError {
    CliError::File {
        file: file.to_owned(),
        cause: error.to_string(),
    }
}
