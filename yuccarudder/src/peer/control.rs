//! Remote calls between hosts: notices and the exchange of views.

use {
  super::{Identity, Purpose, Transport, connect},
  crate::{
    cold::{self, Grant, Report},
    host::Host,
    platform::Key,
    tree::Secret,
    view::{Digest, Entry, Published},
  },
  anyhow::Context,
  futures::{StreamExt, future},
  serde::{Deserialize, Serialize},
  std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
  },
  tarpc::{
    client, context, serde_transport,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Json,
  },
  tokio::time,
};

const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);
const PREFIX: &str = "peer";

/// What a host says of itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Notice {
  /// It is leaving.
  Leaving,
  /// It serves.
  Serving,
}

/// Remote calls between hosts.
#[tarpc::service]
pub trait Control {
  /// Takes in what a host says of itself.
  async fn announce(host: SocketAddr, notice: Notice);

  /// Takes in the ages of the caller's view after an exchange on the same connection.
  async fn confirm(theirs: Digest);

  /// Tells what the callee's view holds.
  async fn exchange(theirs: Digest) -> Digest;

  /// Returns the document in force of a key, if it is newer than `above`.
  async fn fetch(key: Key, above: u64) -> Option<Published>;

  /// Asks the owner of a cold target for a place.
  async fn grant_cold(target: SocketAddr, report: Report) -> Option<Grant>;

  /// Takes in a document that the caller has in force.
  async fn offer(published: Published);

  /// Gives a place at a cold target back to its owner.
  async fn release_cold(grant: Grant);
}

/// One connection of another host.
#[derive(Clone)]
struct Server {
  /// When the last exchange on this connection was answered.
  answered: Arc<Mutex<Option<Instant>>>,
  host: Host,
  other: Identity,
}

impl Control for Server {
  async fn announce(self, _: context::Context, host: SocketAddr, notice: Notice) {
    // A host speaks for itself only.
    if host != self.other.host {
      return;
    }
    match notice {
      Notice::Leaving => self.host.departure_notices.insert(host, self.host.clock.now()),
      Notice::Serving => self.host.departure_notices.remove(host),
    }
  }

  async fn confirm(self, _: context::Context, theirs: Digest) {
    let answered = self.answered.lock().unwrap_or_else(PoisonError::into_inner).take();
    // The caller made its digest after it had the answer, so the ages hold as of then.
    if let Some(answered) = answered {
      self.host.contact.heard(answered);
      self.host.confirm_digest(&theirs, answered);
    }
  }

  async fn exchange(self, _: context::Context, _: Digest) -> Digest {
    let now = self.host.clock.now();
    *self.answered.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
    self.host.view.borrow().digest(now)
  }

  async fn fetch(self, _: context::Context, key: Key, above: u64) -> Option<Published> {
    self.host.view.borrow().published(key, above)
  }

  async fn grant_cold(
    self,
    _: context::Context,
    target: SocketAddr,
    report: Report,
  ) -> Option<Grant> {
    cold::grant(&self.host, target, report)
  }

  async fn release_cold(self, _: context::Context, grant: Grant) {
    cold::release(&self.host, grant);
  }

  async fn offer(self, _: context::Context, published: Published) {
    self.host.offer(published.key, published.revision, &published.text, None);
  }
}

/// Connects to another host for remote calls.
///
/// # Errors
///
/// Fails when it cannot be reached or does not prove a shared key.
pub async fn dial(
  host: &Host,
  secrets: &[Secret],
  peers: SocketAddr,
) -> anyhow::Result<ControlClient> {
  let (transport, _) = connect(peers, host.identity(), Purpose::Control, secrets).await?;
  let transport = serde_transport::new(transport, Json::default());
  Ok(ControlClient::new(client::Config::default(), transport).spawn())
}

/// Tells every other host that this one serves or is leaving.
///
/// Hosts that cannot be reached learn it from the host list.
pub async fn announce(host: &Host, notice: Notice) {
  let Ok(tree) = host.tree() else {
    return;
  };
  let hosts = host.view.borrow().hosts.accepted.clone();
  let hosts = hosts.map(|accepted| accepted.document.hosts.clone()).unwrap_or_default();
  let others = hosts.iter().filter(|entry| entry.callers != host.settings.callers);
  let calls = others.map(|entry| async {
    if let Err(error) = call(host, &tree.secrets, entry, notice).await {
      log::warn!(target: PREFIX, "Cannot tell {} that this host is {notice:?}: {error:#}.", entry.callers);
    }
  });
  future::join_all(calls).await;
}

async fn call(
  host: &Host,
  secrets: &[Secret],
  entry: &Entry,
  notice: Notice,
) -> anyhow::Result<()> {
  let called = async {
    let client = dial(host, secrets, entry.peers).await?;
    client.announce(context::current(), host.settings.callers, notice).await?;
    Ok(())
  };
  time::timeout(ANNOUNCE_TIMEOUT, called).await.context("no answer in time")?
}

pub(super) async fn serve(host: &Host, transport: Transport, other: Identity) {
  let server = Server {
    answered: Arc::default(),
    host: host.clone(),
    other,
  };
  let transport = serde_transport::new(transport, Json::default());
  BaseChannel::with_defaults(transport)
    .execute(server.serve())
    .for_each(|response| response)
    .await;
}
