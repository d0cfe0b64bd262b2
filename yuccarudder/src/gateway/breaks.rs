//! Reports of runs that broke off, with what is needed to find out whether the request is to blame.

use {
  super::{assignment::Assignment, call::Call},
  std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
  },
};

const PREFIX: &str = "breaks";
/// Time for a target to accept or refuse the connection that shows whether it still runs; a lost
/// packet delays a connection by a second.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1500);

/// A run that ended without its whole response because of its target.
struct Break {
  address: SocketAddr,
  /// How long the target had been responding; `None` if it had not begun.
  answering: Option<Duration>,
  parts: Vec<u64>,
  request_id: String,
  target: Arc<str>,
}

impl Call {
  /// Reports that a run broke off. `answered_at` is when the head of the response arrived.
  ///
  /// Requests whose prompt has no part in common with others are not reported, since no other
  /// request could be related to them.
  pub fn report_break(&self, assignment: &Assignment, answered_at: Option<Instant>) {
    if self.metadata.shared_parts().is_empty() {
      return;
    }
    let now = self.gateway.clock.now();
    let run = Break {
      address: assignment.target.listing.address,
      answering: answered_at.map(|at| now.saturating_duration_since(at)),
      parts: self.metadata.prompt_parts.clone(),
      request_id: self.id().to_owned(),
      target: Arc::clone(&assignment.target.id),
    };
    let pool = self.gateway.pool.clone();
    tokio::spawn(async move {
      let listening = pool.is_listening(run.address, PROBE_TIMEOUT).await;
      run.log(listening);
    });
  }
}

impl Break {
  fn log(&self, listening: Option<bool>) {
    log::info!(
      target: PREFIX, id = self.request_id.as_str(), target:% = self.target, parts:% = format_parts(&self.parts),
      answering_ms = self.answering.map(|time| time.as_millis() as u64), listening;
      "A run broke off."
    );
  }
}

/// Formats the IDs of prompt parts for logs.
fn format_parts(parts: &[u64]) -> String {
  let ids: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
  ids.join(" ")
}
