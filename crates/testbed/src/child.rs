//! A child process of a scene.

use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use thiserror::Error;
use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::io::Lines;
use tokio::process::ChildStdout;
use tokio::process::Command;

/// Key that occurs in every log line and in no other output line of the programs.
const LOG_KEY: &str = "\"msg\":";

/// Number of polls for a process to stop after SIGSTOP, and the interval between them:
/// ten seconds in total.
const MAX_FREEZE_POLLS: u32 = 5_000;
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Why a scene could not be set up or changed.
#[derive(Debug, Error)]
pub enum SceneError {
    /// A program could not be started, or printed no first line.
    #[error("can't start {program}: {cause}; build the workspace first")]
    Start {
        /// Name of the program.
        program: String,
        /// Cause of the failure.
        cause: String,
    },
    /// A request to a stand-in or an instance failed, or a scene could not be changed.
    #[error("a stand-in refused: {0}")]
    Standin(String),
    /// A condition did not become true within the timeout.
    #[error("waited in vain for: {0}")]
    Waited(String),
}

/// A running process; it is killed when dropped.
#[derive(Debug)]
pub struct Child {
    process: tokio::process::Child,
    pid: Pid,
    /// The first line of standard output that is not a log line.
    pub first_line: String,
}

impl Child {
    /// Starts a program of this workspace and waits for its first line.
    ///
    /// # Errors
    ///
    /// [`SceneError::Start`] if the program can't be started or prints no such line.
    pub async fn start(program: &str, arguments: &[String]) -> Result<Child, SceneError> {
        let start_error = |cause: String| SceneError::Start {
            program: program.to_owned(),
            cause,
        };
        let path = program_path(program).map_err(|error| start_error(error.to_string()))?;
        let mut process = Command::new(path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr_for_logs())
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| start_error(error.to_string()))?;
        let pid = process.id().and_then(|id| i32::try_from(id).ok());
        let pid = pid.ok_or_else(|| start_error("it ended at once".to_owned()))?;
        let stdout = process.stdout.take();
        let stdout = stdout.ok_or_else(|| start_error("no output".to_owned()))?;
        let mut lines = BufReader::new(stdout).lines();
        let first_line = first_output_line(&mut lines).await;
        let first_line = first_line.ok_or_else(|| start_error("it printed nothing".to_owned()))?;
        tokio::spawn(drain(lines));
        Ok(Child {
            process,
            pid: Pid::from_raw(pid),
            first_line,
        })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.pid.as_raw().unsigned_abs()
    }

    /// Sends SIGKILL and waits for the process to exit.
    pub async fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        self.ended().await;
    }

    /// Sends SIGSTOP and waits until all threads of the process are stopped. On a busy
    /// machine this takes some time, during which the process could still accept requests.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
        for _ in 0..MAX_FREEZE_POLLS {
            if self.all_threads_stopped() {
                return;
            }
            std::thread::sleep(FREEZE_POLL_INTERVAL);
        }
        panic!("process {} is still running after SIGSTOP", self.pid);
    }

    /// Returns whether `/proc` shows every thread as stopped; `true` if the process is gone.
    fn all_threads_stopped(&self) -> bool {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.pid));
        let threads = threads.into_iter().flatten().flatten();
        threads
            .map(|thread| std::fs::read_to_string(thread.path().join("stat")))
            .all(|stat| stat.is_ok_and(|stat| state_of(&stat) == Some('T')))
    }

    /// Sends SIGCONT.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Sends SIGTERM, which starts a planned stop.
    pub fn stop(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Waits for the process to exit. Returns its exit code, or `None` if a signal ended it.
    pub async fn ended(&mut self) -> Option<i32> {
        let status = self.process.wait().await.ok()?;
        status.code()
    }

    fn signal(&self, signal: Signal) {
        // An error means that the process has exited already.
        let _ = kill(self.pid, signal);
    }
}

/// Returns the state field, which follows the program name in parentheses.
fn state_of(stat: &str) -> Option<char> {
    let (_, rest) = stat.rsplit_once(") ")?;
    rest.chars().next()
}

/// Returns the first line that is not a log line; logs share the standard output.
async fn first_output_line(lines: &mut Lines<BufReader<ChildStdout>>) -> Option<String> {
    loop {
        let line = lines.next_line().await.ok().flatten()?;
        if !line.contains(LOG_KEY) {
            return Some(line);
        }
        print_log_line(&line);
    }
}

/// Reads all further output, so that the process never blocks on a full pipe.
async fn drain(mut lines: Lines<BufReader<ChildStdout>>) {
    while let Ok(Some(line)) = lines.next_line().await {
        print_log_line(&line);
    }
}

fn print_log_line(line: &str) {
    if shows_logs() {
        eprintln!("{line}");
    }
}

fn shows_logs() -> bool {
    std::env::var_os("IRISTHREAD_TEST_LOGS").is_some()
}

/// Inherits standard error if logs are enabled by `IRISTHREAD_TEST_LOGS`.
fn stderr_for_logs() -> Stdio {
    if shows_logs() {
        return Stdio::inherit();
    }
    Stdio::null()
}

/// Looks for a program in the folder of the running one and, for tests, in its parent.
fn program_path(program: &str) -> std::io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    let found = folders
        .map(|folder| folder.join(program))
        .find(|path| path.is_file());
    found.ok_or_else(|| std::io::Error::other("no such program beside this one"))
}
