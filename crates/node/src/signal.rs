use std::process;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// Exit code after a second signal, when work in flight is cut.
const CUT: i32 = 3;

/// Tells the parts of a process that it shuts down, and counts what is still in flight.
#[derive(Clone, Default)]
pub struct Shutdown {
    token: CancellationToken,
    tracker: TaskTracker,
}

impl Shutdown {
    /// Returns whether the process shuts down.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.token.is_cancelled()
    }

    /// Waits until the process shuts down.
    pub async fn draining(&self) {
        self.token.cancelled().await;
    }

    /// Returns the tracker of what must end before the process does.
    #[must_use]
    pub const fn in_flight(&self) -> &TaskTracker {
        &self.tracker
    }

    /// Starts the shutdown.
    pub fn start(&self) {
        self.token.cancel();
        self.tracker.close();
    }

    /// Waits until all that was in flight has ended.
    pub async fn drained(&self) {
        self.tracker.wait().await;
    }
}

/// Returns a shutdown that starts at SIGTERM or SIGINT; a second signal ends the process at once.
///
/// # Errors
///
/// Returns an error if the signals cannot be listened to.
pub fn shutdown_on_signal() -> anyhow::Result<Shutdown> {
    let shutdown = Shutdown::default();
    let terminate = signal(SignalKind::terminate())?;
    let interrupt = signal(SignalKind::interrupt())?;
    tokio::spawn(listen(shutdown.clone(), terminate, interrupt));
    Ok(shutdown)
}

async fn listen(shutdown: Shutdown, mut terminate: Signal, mut interrupt: Signal) {
    next(&mut terminate, &mut interrupt).await;
    log::info!("shutting down: {} in flight", shutdown.in_flight().len());
    shutdown.start();
    next(&mut terminate, &mut interrupt).await;
    log::error!(
        "second signal: {} in flight are cut",
        shutdown.in_flight().len()
    );
    log::logger().flush();
    process::exit(CUT);
}

async fn next(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
