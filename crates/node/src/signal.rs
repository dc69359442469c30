use std::process;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// Exit code after an interrupt during the shutdown, which aborts the work in flight.
const ABORTED: i32 = 3;

/// Notifies the tasks of a process of its shutdown, and tracks the work that is still in flight.
#[derive(Clone, Default)]
pub struct Shutdown {
    token: CancellationToken,
    tracker: TaskTracker,
}

impl Shutdown {
    /// Returns whether the shutdown has started.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.token.is_cancelled()
    }

    /// Waits until the shutdown starts.
    pub async fn draining(&self) {
        self.token.cancelled().await;
    }

    /// Returns the tracker of the tasks that must end before the process exits.
    #[must_use]
    pub const fn in_flight(&self) -> &TaskTracker {
        &self.tracker
    }

    /// Starts the shutdown; work in flight continues.
    pub fn start(&self) {
        self.token.cancel();
        self.tracker.close();
    }

    /// Waits until the shutdown has started and all tracked tasks have ended.
    pub async fn drained(&self) {
        self.tracker.wait().await;
    }
}

/// Returns a shutdown that starts on SIGTERM or SIGINT; a SIGINT after that exits the process at once with code 3.
///
/// A repeated SIGTERM changes nothing: a supervisor may send it more than once.
///
/// # Errors
///
/// Returns an error if the signal handlers cannot be installed.
pub fn shutdown_on_signal() -> anyhow::Result<Shutdown> {
    let shutdown = Shutdown::default();
    let terminate = signal(SignalKind::terminate())?;
    let interrupt = signal(SignalKind::interrupt())?;
    tokio::spawn(handle_signals(shutdown.clone(), terminate, interrupt));
    Ok(shutdown)
}

async fn handle_signals(shutdown: Shutdown, mut terminate: Signal, mut interrupt: Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!(
        "shutting down with {} tasks in flight",
        shutdown.in_flight().len()
    );
    shutdown.start();
    loop {
        tokio::select! {
            _ = terminate.recv() => log::info!("repeated SIGTERM ignored: already shutting down"),
            _ = interrupt.recv() => break,
        }
    }
    log::error!(
        "interrupted: {} tasks in flight are aborted",
        shutdown.in_flight().len()
    );
    log::logger().flush();
    process::exit(ABORTED);
}
