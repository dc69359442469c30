use std::{
    io::{BufRead as _, BufReader},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    sync::OnceLock,
    thread,
    time::{Duration, Instant},
};

use anyhow::Context as _;

/// Time in which a process must print its ready line.
const READY: Duration = Duration::from_secs(60);

/// Signal that a test sends to a process of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Ask to shut down.
    Terminate,
    /// End at once.
    Kill,
    /// Pause.
    Stop,
    /// Wake up.
    Continue,
}

impl Signal {
    const fn name(self) -> &'static str {
        match self {
            Signal::Terminate => "-TERM",
            Signal::Kill => "-KILL",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
        }
    }
}

/// Position of the user ticks in a line of `/proc/PID/stat`, after the name.
const USER_TICKS: usize = 11;
/// Length of a tick of the kernel's processor times, in milliseconds.
const TICK_MILLIS: u64 = 10;

/// Resources that a process uses.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Resident memory in bytes.
    pub resident_bytes: u64,
    /// User and system time since the start.
    pub cpu_time: Duration,
}

/// Real process of a test; it is killed when dropped.
pub struct Process {
    child: Child,
    line: String,
}

impl Process {
    /// Starts a program of the workspace and waits for the first line that it prints.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started or prints nothing.
    pub fn start(name: &str, arguments: &[&str]) -> anyhow::Result<Self> {
        Self::start_with_stderr(name, arguments, Stdio::null())
    }

    /// Starts a program like [`Process::start`]; its standard error goes to `log`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started or prints nothing.
    pub fn start_with_stderr(name: &str, arguments: &[&str], log: Stdio) -> anyhow::Result<Self> {
        let path = program_path(name)?;
        let mut command = Command::new(&path);
        command
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped());
        if std::env::var_os("APRICOT_LOGS").is_none() {
            command.stderr(log);
        }
        let mut child = command
            .spawn()
            .with_context(|| path.display().to_string())?;
        let output = child.stdout.take().context("no standard output")?;
        let (sender, receiver) = std::sync::mpsc::channel();
        thread::spawn(move || {
            let mut lines = BufReader::new(output).lines();
            if let Some(Ok(line)) = lines.next() {
                let _ = sender.send(line);
            }
            lines.for_each(drop);
        });
        let Ok(line) = receiver.recv_timeout(READY) else {
            let _ = child.kill();
            anyhow::bail!("{name} printed no line: {:?}", child.wait()?);
        };
        Ok(Self { child, line })
    }

    /// Returns the first line that the process printed.
    #[must_use]
    pub fn ready_line(&self) -> &str {
        &self.line
    }

    /// Returns the process id.
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
        let status = Command::new("kill").args([signal.name(), &id]).status()?;
        anyhow::ensure!(status.success(), "kill {} {id}: {status}", signal.name());
        Ok(())
    }

    /// Returns the resident memory in bytes and the processor time so far, as the kernel counts them.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is gone.
    pub fn usage(&self) -> anyhow::Result<Usage> {
        let folder = format!("/proc/{}", self.id());
        let status = std::fs::read_to_string(format!("{folder}/status"))?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .context("no VmRSS")?;
        let kilobytes: u64 = line.trim().trim_end_matches("kB").trim().parse()?;
        let stat = std::fs::read_to_string(format!("{folder}/stat"))?;
        let fields = stat.rsplit_once(") ").context("no stat")?.1;
        let ticks: Vec<u64> = fields
            .split(' ')
            .skip(USER_TICKS)
            .take(2)
            .filter_map(|t| t.parse().ok())
            .collect();
        let cpu_time = Duration::from_millis(ticks.iter().sum::<u64>() * TICK_MILLIS);
        Ok(Usage {
            resident_bytes: kilobytes * 1024,
            cpu_time,
        })
    }

    /// Waits until the process ends by itself; `None` if it has not after `time`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be waited for.
    pub async fn wait(&mut self, time: Duration) -> anyhow::Result<Option<ExitStatus>> {
        let end = Instant::now() + time;
        loop {
            let status = self.child.try_wait()?;
            if status.is_some() || Instant::now() >= end {
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

/// Returns the path of a program of the workspace, next to the running one.
///
/// # Errors
///
/// Returns an error if the programs cannot be built.
pub fn program_path(name: &str) -> anyhow::Result<PathBuf> {
    build()?;
    let own = std::env::current_exe()?;
    let folder = own
        .ancestors()
        .skip(1)
        .find(|p| !p.ends_with("deps"))
        .context("the program has no folder")?;
    Ok(folder.join(name))
}

/// Builds the programs of the workspace, once in the life of the process.
///
/// # Errors
///
/// Returns an error if they cannot be built.
pub fn build() -> anyhow::Result<()> {
    static BUILT: OnceLock<Result<(), String>> = OnceLock::new();
    BUILT
        .get_or_init(|| build_once().map_err(|e| format!("{e:#}")))
        .clone()
        .map_err(anyhow::Error::msg)
}

fn build_once() -> anyhow::Result<()> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.current_dir(env!("CARGO_MANIFEST_DIR"));
    command.args(["build", "--quiet", "--locked", "--bins"]);
    command.args(["-p", "agent", "-p", "ctl", "-p", "entry", "-p", "fake"]);
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    let status = command.status().context("cargo cannot be run")?;
    anyhow::ensure!(
        status.success(),
        "the programs could not be built: {status}"
    );
    Ok(())
}
