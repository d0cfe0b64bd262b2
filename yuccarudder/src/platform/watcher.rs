use {
  super::{Client, Document, Key},
  crate::{
    gossip,
    host::Host,
    metrics::Retry,
    view::{OfferOutcome, View},
  },
  rand::RngExt,
  std::time::{Duration, Instant},
  tokio::time,
};

const MAX_BACKOFF: Duration = Duration::from_secs(2);
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MIN_PERIOD: Duration = Duration::from_millis(20);
const PREFIX: &str = "platform";
const READER_POLL: Duration = Duration::from_secs(1);
/// A host that is no reader asks the platform itself beyond this many polls.
const STALE_POLLS: u32 = 3;

/// Keeps one key of the view current until the task is dropped.
///
/// A few hosts watch the platform; the others hear from them and ask it
/// themselves only when their view gets old.
pub async fn watch(host: Host, key: Key) {
  let client = Client::new(host.settings.platform, host.pool.clone());
  let mut backoff = MIN_BACKOFF;
  loop {
    if !is_due(&host, key) {
      time::sleep(jittered(READER_POLL)).await;
      continue;
    }
    match read(&host, &client, key).await {
      Ok(OfferOutcome::Stale) => {
        // It answers at once as long as it shows an older revision.
        time::sleep(jittered(backoff)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
      }
      Ok(_) => {
        backoff = MIN_BACKOFF;
        time::sleep(MIN_PERIOD).await;
      }
      Err(error) => {
        host.metrics.retry(Retry::Platform);
        log::warn!(target: PREFIX, "Cannot read {}: {error:#}.", key.path());
        time::sleep(jittered(backoff)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
      }
    }
  }
}

async fn read(host: &Host, client: &Client, key: Key) -> anyhow::Result<OfferOutcome> {
  let asked = host.clock.now();
  let seen = seen(&host.view.borrow(), key);
  let Document { revision, text } = client.read(key, seen, host.settings.poll).await?;
  host.contact.record_heard(host.clock.now());
  if let Some(text) = text {
    return Ok(host.offer(key, revision, &text, Some(asked)));
  }
  host.view.send_if_modified(|view| {
    view.confirm(key, revision, asked);
    false
  });
  Ok(OfferOutcome::Unchanged)
}

/// Returns whether this host should ask the platform for a key.
fn is_due(host: &Host, key: Key) -> bool {
  let view = host.view.borrow();
  let this = host.settings.callers;
  let Some(hosts) = &view.hosts.accepted else {
    return true;
  };
  gossip::is_reader(&hosts.document.hosts, this, key)
    || is_stale(confirmed(&view, key), host.clock.now(), host.settings.poll)
}

fn is_stale(confirmed: Option<Instant>, now: Instant, poll: Duration) -> bool {
  confirmed.is_none_or(|at| now.saturating_duration_since(at) > STALE_POLLS * poll)
}

fn confirmed(view: &View, key: Key) -> Option<Instant> {
  match key {
    Key::Hosts => view.hosts.confirmed_at,
    Key::Settings => view.settings.confirmed_at,
  }
}

fn jittered(duration: Duration) -> Duration {
  duration.mul_f64(rand::rng().random_range(0.5..1.5))
}

fn seen(view: &View, key: Key) -> u64 {
  match key {
    Key::Hosts => view.hosts.newest_seen,
    Key::Settings => view.settings.newest_seen,
  }
}
