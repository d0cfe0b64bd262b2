use {
  super::{Client, Document, Key},
  crate::{
    gossip,
    host::Host,
    metrics::RetryReason,
    view::{OfferOutcome, View},
  },
  rand::RngExt,
  std::time::{Duration, Instant},
  tokio::time,
};

const MAX_BACKOFF: Duration = Duration::from_secs(2);
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Pause between two reads, which limits their rate while documents change quickly.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(20);
const PREFIX: &str = "platform";
/// Interval at which a host checks again whether it has to read a document from the platform.
const DUE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Age of a document beyond which a host that is not a reader reads it from the platform
/// too, as a multiple of the `poll` setting.
const STALE_POLLS: u32 = 3;

/// Keeps one document of the host's view current until the task is dropped.
///
/// A few hosts, the readers, poll the platform. The others receive documents from them by
/// gossip and read from the platform only when their copy is stale, which bounds the load
/// on the platform.
pub async fn watch(host: Host, key: Key) {
  let client = Client::new(host.settings.platform, host.pool.clone());
  let mut backoff = MIN_BACKOFF;
  loop {
    if !is_due(&host, key) {
      time::sleep(jittered(DUE_CHECK_INTERVAL)).await;
      continue;
    }
    match read(&host, &client, key).await {
      Ok(OfferOutcome::Stale) => {
        // A platform that shows an older revision responds at once, so the reads back off.
        time::sleep(jittered(backoff)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
      }
      Ok(_) => {
        backoff = MIN_BACKOFF;
        time::sleep(MIN_READ_INTERVAL).await;
      }
      Err(error) => {
        host.metrics.count_retry(RetryReason::Platform);
        log::warn!(target: PREFIX, "Cannot read {}: {error:#}.", key.path());
        time::sleep(jittered(backoff)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
      }
    }
  }
}

/// Reads a document once and updates the host's view.
async fn read(host: &Host, client: &Client, key: Key) -> anyhow::Result<OfferOutcome> {
  let requested_at = host.clock.now();
  let seen = newest_seen(&host.view.borrow(), key);
  let Document { revision, text } = client.read(key, seen, host.settings.poll).await?;
  host.contact.record_heard(host.clock.now());
  if let Some(text) = text {
    return Ok(host.offer(key, revision, &text, Some(requested_at)));
  }
  host.view.send_if_modified(|view| {
    view.confirm(key, revision, requested_at);
    false
  });
  Ok(OfferOutcome::Unchanged)
}

/// Returns whether this host has to read a document from the platform.
fn is_due(host: &Host, key: Key) -> bool {
  let view = host.view.borrow();
  let own_address = host.settings.callers;
  let Some(hosts) = &view.hosts.accepted else {
    return true;
  };
  gossip::is_reader(&hosts.document.hosts, own_address, key)
    || is_stale(
      confirmed_at(&view, key),
      host.clock.now(),
      host.settings.poll,
    )
}

/// Returns whether a copy was last confirmed as current too long ago, or never.
fn is_stale(confirmed: Option<Instant>, now: Instant, poll: Duration) -> bool {
  confirmed.is_none_or(|at| now.saturating_duration_since(at) > STALE_POLLS * poll)
}

/// Returns when the newest revision seen was last known to be the published one.
fn confirmed_at(view: &View, key: Key) -> Option<Instant> {
  match key {
    Key::Hosts => view.hosts.confirmed_at,
    Key::Settings => view.settings.confirmed_at,
  }
}

/// Scales a duration by a random factor from 0.5 to 1.5, so that hosts do not read in step.
fn jittered(duration: Duration) -> Duration {
  duration.mul_f64(rand::rng().random_range(0.5..1.5))
}

/// Returns the newest revision that this host has seen.
fn newest_seen(view: &View, key: Key) -> u64 {
  match key {
    Key::Hosts => view.hosts.newest_seen,
    Key::Settings => view.settings.newest_seen,
  }
}
