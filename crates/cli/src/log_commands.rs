//! Commands that read gateways' logs and need no instance.

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

/// Prints the story of a request.
pub fn explain(request: &str, files: &[PathBuf]) -> Result<(), CliError> {
    let mut story = LogTrace::of(request);
    for file in files {
        let read = story.read(open(file)?);
        read.map_err(|error| unreadable(&file.display().to_string(), &error))?;
    }
    match story.text() {
        Some(text) => {
            print!("{text}");
            Ok(())
        }
        None => Err(CliError::Usage(format!(
            "no line of these logs is about request {request}; are they those of all instances?"
        ))),
    }
}

/// Prints what the instances came to believe of the directory, its servers and zones.
pub fn beliefs(files: &[PathBuf]) -> Result<(), CliError> {
    let mut story = LogTrace::of_state_changes();
    for file in files {
        let read = story.read(open(file)?);
        read.map_err(|error| unreadable(&file.display().to_string(), &error))?;
    }
    let Some(text) = story.text() else {
        let message = "no line of these logs tells of a belief; are they those of gateways?";
        return Err(CliError::Usage(message.to_owned()));
    };
    print!("{text}");
    if story.dropped_lines > 0 {
        eprintln!(
            "{} lines are more than are kept in memory",
            story.dropped_lines
        );
    }
    Ok(())
}

/// Prints requests by cause.
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
        eprintln!("{count} lines are about more requests than are kept in memory");
    }
    Ok(())
}

fn read_all(losses: &mut Losses, name: &str, source: impl BufRead) -> Result<(), CliError> {
    let read = read_lines(source, |line| losses.take(line));
    let read = read.map_err(|error| unreadable(name, &error))?;
    if read.taken == 0 {
        return Err(CliError::Usage(format!(
            "{name}: no line is one of a gateway's log"
        )));
    }
    if read.left_out > 0 {
        eprintln!(
            "{name}: {} lines left out, which are none of a gateway",
            read.left_out
        );
    }
    Ok(())
}

fn open(file: &Path) -> Result<BufReader<File>, CliError> {
    let opened = File::open(file).map(BufReader::new);
    opened.map_err(|error| unreadable(&file.display().to_string(), &error))
}

fn unreadable(file: &str, error: &std::io::Error) -> CliError {
    CliError::File {
        file: file.to_owned(),
        cause: error.to_string(),
    }
}
