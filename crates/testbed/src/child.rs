//! One process of a scene.

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

/// What every log line holds, and no other line that the programs print.
const LOG_KEY: &str = "\"msg\":";

/// Looks at a process that was told to stop, and the time between two of them:
/// ten seconds together.
const FREEZE_LOOKS: u32 = 5_000;
const FREEZE_LOOK: Duration = Duration::from_millis(2);

/// Why a scene could not be set up or changed.
#[derive(Debug, Error)]
pub enum SceneError {
    /// A program could not be started, or said nothing.
    #[error("can't start {program}: {cause}; build the workspace first")]
    Start {
        /// The program.
        program: String,
        /// What happened.
        cause: String,
    },
    /// A stand-in did not take a request.
    #[error("a stand-in refused: {0}")]
    Standin(String),
    /// A condition did not come true.
    #[error("waited in vain for: {0}")]
    Waited(String),
}

/// A running process; it is killed when dropped.
#[derive(Debug)]
pub struct Child {
    process: tokio::process::Child,
    pid: Pid,
    /// The first line that it printed and that is no log line.
    pub first_line: String,
}

impl Child {
    /// Starts a program of this workspace and waits for its first line.
    ///
    /// # Errors
    ///
    /// [`SceneError::Start`].
    pub async fn start(program: &str, arguments: &[String]) -> Result<Child, SceneError> {
        let failed = |cause: String| SceneError::Start {
            program: program.to_owned(),
            cause,
        };
        let path = path_of(program).map_err(|error| failed(error.to_string()))?;
        let mut process = Command::new(path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr_for_logs())
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| failed(error.to_string()))?;
        let pid = process.id().and_then(|id| i32::try_from(id).ok());
        let pid = pid.ok_or_else(|| failed("it ended at once".to_owned()))?;
        let stdout = process.stdout.take();
        let stdout = stdout.ok_or_else(|| failed("no output".to_owned()))?;
        let mut lines = BufReader::new(stdout).lines();
        let first_line = first_answer(&mut lines).await;
        let first_line = first_line.ok_or_else(|| failed("it printed nothing".to_owned()))?;
        tokio::spawn(drain(lines));
        Ok(Child {
            process,
            pid: Pid::from_raw(pid),
            first_line,
        })
    }

    /// Its id.
    pub fn id(&self) -> u32 {
        self.pid.as_raw().unsigned_abs()
    }

    /// SIGKILL, and waits for the end.
    pub async fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        self.ended().await;
    }

    /// SIGSTOP, and waits until no thread of the process runs any more: on a busy
    /// machine that takes a while, in which it could still take requests.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
        for _ in 0..FREEZE_LOOKS {
            if self.stands_still() {
                return;
            }
            std::thread::sleep(FREEZE_LOOK);
        }
        panic!("process {} runs on after SIGSTOP", self.pid);
    }

    /// Whether the system shows every thread as stopped; a thread that is gone
    /// runs no more either.
    fn stands_still(&self) -> bool {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.pid));
        let threads = threads.into_iter().flatten().flatten();
        threads
            .map(|thread| std::fs::read_to_string(thread.path().join("stat")))
            .all(|stat| stat.is_ok_and(|stat| state_of(&stat) == Some('T')))
    }

    /// SIGCONT.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// SIGTERM: a planned stop.
    pub fn stop(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Waits for the end; the exit code, if it was no signal.
    pub async fn ended(&mut self) -> Option<i32> {
        let status = self.process.wait().await.ok()?;
        status.code()
    }

    fn signal(&self, signal: Signal) {
        // A process that has ended already needs none.
        let _ = kill(self.pid, signal);
    }
}

/// The state stands behind the name of the program, which is in brackets.
fn state_of(stat: &str) -> Option<char> {
    let (_, rest) = stat.rsplit_once(") ")?;
    rest.chars().next()
}

/// Logs share the standard output; each has a message.
async fn first_answer(lines: &mut Lines<BufReader<ChildStdout>>) -> Option<String> {
    loop {
        let line = lines.next_line().await.ok().flatten()?;
        if !line.contains(LOG_KEY) {
            return Some(line);
        }
        show(&line);
    }
}

/// Reads on, so that the process never waits for a reader of its logs.
async fn drain(mut lines: Lines<BufReader<ChildStdout>>) {
    while let Ok(Some(line)) = lines.next_line().await {
        show(&line);
    }
}

fn show(line: &str) {
    if wants_logs() {
        eprintln!("{line}");
    }
}

fn wants_logs() -> bool {
    std::env::var_os("IRISTHREAD_TEST_LOGS").is_some()
}

/// Logs are shown when a person asks for them.
fn stderr_for_logs() -> Stdio {
    if wants_logs() {
        return Stdio::inherit();
    }
    Stdio::null()
}

/// Programs stand beside the running one, or above it for tests.
fn path_of(program: &str) -> std::io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    let found = folders
        .map(|folder| folder.join(program))
        .find(|path| path.is_file());
    found.ok_or_else(|| std::io::Error::other("no such program beside this one"))
}
