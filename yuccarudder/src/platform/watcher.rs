use {
  super::{Client, Document, Key},
  crate::{
    clock::Clock,
    metrics::{Metrics, Retry},
    tree::Tree,
    view::{HostList, Offer, View},
  },
  rand::RngExt,
  std::{
    sync::Arc,
    time::{Duration, Instant},
  },
  tokio::{sync::watch, time},
};

const MAX_BACKOFF: Duration = Duration::from_secs(2);
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MIN_PERIOD: Duration = Duration::from_millis(20);
const PREFIX: &str = "platform";

/// What a watcher needs.
#[derive(Clone)]
pub struct Watch {
  /// The reader.
  pub client: Client,
  /// The clock.
  pub clock: Clock,
  /// Where retries and refusals are counted.
  pub metrics: Arc<Metrics>,
  /// Longest wait of one long-poll.
  pub poll: Duration,
  /// The view to keep current.
  pub view: watch::Sender<View>,
}

/// Keeps one key of the view current until the task is dropped.
pub async fn watch(watch: Watch, key: Key) {
  let mut backoff = MIN_BACKOFF;
  loop {
    let asked = watch.clock.now();
    let seen = seen(&watch.view.borrow(), key);
    match watch.client.read(key, seen, watch.poll).await {
      Ok(document) => {
        backoff = MIN_BACKOFF;
        apply(&watch, key, document, asked);
        time::sleep(MIN_PERIOD).await;
      }
      Err(error) => {
        watch.metrics.retry(Retry::Platform);
        log::warn!(target: PREFIX, "Cannot read {}: {error:#}.", key.path());
        let jitter = rand::rng().random_range(0.5..1.5);
        time::sleep(backoff.mul_f64(jitter)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
      }
    }
  }
}

fn apply(watch: &Watch, key: Key, document: Document, asked: Instant) {
  let Document { revision, text } = document;
  let Some(text) = text else {
    watch.view.send_if_modified(|view| {
      match key {
        Key::Hosts => view.hosts.confirm(revision, asked),
        Key::Settings => view.settings.confirm(revision, asked),
      }
      false
    });
    return;
  };
  let mut offer = Offer::Unchanged;
  watch.view.send_if_modified(|view| {
    offer = match key {
      Key::Hosts => view.hosts.offer(revision, asked, || HostList::accept("hosts", &text)),
      Key::Settings => view.settings.offer(revision, asked, || Tree::accept("settings", &text)),
    };
    offer == Offer::Accepted
  });
  report(watch, key, revision, &offer);
}

fn report(watch: &Watch, key: Key, revision: u64, offer: &Offer) {
  match offer {
    Offer::Accepted => {
      log::info!(target: PREFIX, "Accepted {} revision {revision}.", key.path());
    }
    Offer::Refused(faults) => {
      watch.metrics.settings_refused.inc();
      log::error!(target: PREFIX, "Refused {} revision {revision}.", key.path());
      for fault in faults {
        log::error!(target: PREFIX, "{fault}");
      }
    }
    Offer::Stale => {
      watch.metrics.stale_documents.inc();
      log::warn!(target: PREFIX, "Ignored {} revision {revision}, older than seen.", key.path());
    }
    Offer::Unchanged => {}
  }
}

fn seen(view: &View, key: Key) -> u64 {
  match key {
    Key::Hosts => view.hosts.seen,
    Key::Settings => view.settings.seen,
  }
}
