//! Keeps the tasks that a host cannot do without running.

use {
  futures::FutureExt,
  prometheus::IntCounter,
  std::{panic::AssertUnwindSafe, time::Duration},
  tokio::time,
};

const PREFIX: &str = "supervision";
/// Pause before a task that panicked starts again, so that one that panics at once does not keep the host
/// from its requests.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Runs a task until it ends. If it panics, the panic is counted and the task starts again after a pause: a
/// host that no longer follows the platform or the other hosts would serve from what it knew then.
///
/// What a panic interrupts is lost; the state that the tasks share stays usable, as its lock ignores panics.
pub async fn run<F: Future<Output = ()>>(
  task: &'static str,
  panics: IntCounter,
  start: impl Fn() -> F,
) {
  while AssertUnwindSafe(start()).catch_unwind().await.is_err() {
    panics.inc();
    log::error!(target: PREFIX, task; "A task panicked and starts again; report the panic, which stands on the standard error.");
    time::sleep(RESTART_PAUSE).await;
  }
}
