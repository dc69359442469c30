use std::{
    io::{BufRead as _, BufReader},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    sync::OnceLock,
    thread,
    time::{Duration, Instant},
};

use anyhow::Context as _;

/// Timeout for the first line of a started process.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Signal to a process that this crate started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// SIGINT: shut down gracefully, or abort a shutdown in progress.
    Interrupt,
    /// SIGTERM: shut down gracefully.
    Terminate,
    /// SIGKILL: end at once.
    Kill,
    /// SIGSTOP: pause.
    Stop,
    /// SIGCONT: resume after a pause.
    Continue,
}

impl Signal {
    const fn flag(self) -> &'static str {
        match self {
            Signal::Interrupt => "-INT",
            Signal::Terminate => "-TERM",
            Signal::Kill => "-KILL",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
        }
    }
}

/// Index of `utime` among the fields after the command name in `/proc/PID/stat`; `stime` follows it.
const UTIME_INDEX: usize = 11;
/// Unit of `utime` and `stime`, in milliseconds: the kernel reports 100 ticks a second.
const TICK_MS: u64 = 10;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Resident memory in bytes.
    pub resident_bytes: u64,
    /// CPU time in user and kernel mode since the start.
    pub cpu_time: Duration,
}

/// Child process that runs a program of the workspace; it is killed when dropped.
pub struct Process {
    child: Child,
    ready_line: String,
}

impl Process {
    /// Starts a program of the workspace and waits for the first line that it prints.
    ///
    /// Its standard error is inherited if `APRICOT_LOGS` is set, else discarded.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be built or started, or prints no line.
    pub fn start(name: &str, arguments: &[&str]) -> anyhow::Result<Self> {
        Self::start_with_stderr(name, arguments, Stdio::null())
    }

    /// Starts a program like [`Process::start`], with its standard error sent to `stderr` unless
    /// `APRICOT_LOGS` is set.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be built or started, or prints no line.
    pub fn start_with_stderr(
        name: &str,
        arguments: &[&str],
        stderr: Stdio,
    ) -> anyhow::Result<Self> {
        let path = program_path(name)?;
        let mut command = Command::new(&path);
        command
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped());
        if std::env::var_os("APRICOT_LOGS").is_none() {
            command.stderr(stderr);
        }
        let mut child = command
            .spawn()
            .with_context(|| path.display().to_string())?;
        let output = child
            .stdout
            .take()
            .context("child process has no standard output")?;
        let (sender, receiver) = std::sync::mpsc::channel();
        thread::spawn(move || {
            let mut lines = BufReader::new(output).lines();
            if let Some(Ok(line)) = lines.next() {
                let _ = sender.send(line);
            }
            lines.for_each(drop);
        });
        let Ok(ready_line) = receiver.recv_timeout(READY_TIMEOUT) else {
            let _ = child.kill();
            anyhow::bail!("{name} printed no line; exit status: {:?}", child.wait()?);
        };
        Ok(Self { child, ready_line })
    }

    /// Returns the first line that the process printed, which states where it listens.
    #[must_use]
    pub fn ready_line(&self) -> &str {
        &self.ready_line
    }

    /// Returns the operating system's id of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let id = self.id().to_string();
        let status = Command::new("kill").args([signal.flag(), &id]).status()?;
        anyhow::ensure!(status.success(), "kill {} {id}: {status}", signal.flag());
        Ok(())
    }

    /// Reads the resource usage of the process from `/proc`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended or a field is missing.
    pub fn usage(&self) -> anyhow::Result<Usage> {
        let directory = format!("/proc/{}", self.id());
        let status = std::fs::read_to_string(format!("{directory}/status"))?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .context("no VmRSS in /proc/PID/status")?;
        let kilobytes: u64 = line.trim().trim_end_matches("kB").trim().parse()?;
        let stat = std::fs::read_to_string(format!("{directory}/stat"))?;
        let fields = stat
            .rsplit_once(") ")
            .context("no command name in /proc/PID/stat")?
            .1;
        let ticks: Vec<u64> = fields
            .split(' ')
            .skip(UTIME_INDEX)
            .take(2)
            .filter_map(|field| field.parse().ok())
            .collect();
        let cpu_time = Duration::from_millis(ticks.iter().sum::<u64>() * TICK_MS);
        Ok(Usage {
            resident_bytes: kilobytes * 1024,
            cpu_time,
        })
    }

    /// Waits for the process to exit; returns `None` if it still runs after `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be waited for.
    pub async fn wait(&mut self, timeout: Duration) -> anyhow::Result<Option<ExitStatus>> {
        let deadline = Instant::now() + timeout;
        loop {
            let status = self.child.try_wait()?;
            if status.is_some() || Instant::now() >= deadline {
                return Ok(status);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Builds the programs and returns the path of one, in the target directory of the running executable.
///
/// # Errors
///
/// Returns an error if the programs cannot be built or the running executable has no path.
pub fn program_path(name: &str) -> anyhow::Result<PathBuf> {
    build_programs()?;
    let executable = std::env::current_exe()?;
    let directory = executable
        .ancestors()
        .skip(1)
        .find(|path| !path.ends_with("deps"))
        .context("running executable has no directory")?;
    Ok(directory.join(name))
}

/// Builds the programs of the workspace with cargo, in the profile of this build, once per process.
///
/// # Errors
///
/// Returns an error if the build fails.
pub fn build_programs() -> anyhow::Result<()> {
    static RESULT: OnceLock<Result<(), String>> = OnceLock::new();
    RESULT
        .get_or_init(|| run_cargo_build().map_err(|e| format!("{e:#}")))
        .clone()
        .map_err(anyhow::Error::msg)
}

fn run_cargo_build() -> anyhow::Result<()> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.current_dir(env!("CARGO_MANIFEST_DIR"));
    command.args(["build", "--quiet", "--locked", "--bins"]);
    command.args(["-p", "agent", "-p", "ctl", "-p", "entry", "-p", "fake"]);
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    let status = command.status().context("cannot run cargo")?;
    anyhow::ensure!(
        status.success(),
        "cannot build the programs: cargo ended with {status}"
    );
    Ok(())
}
