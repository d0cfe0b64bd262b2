//! Remote procedure calls between hosts: state announcements, the exchange of
//! published documents, and grants for targets in their cold start.

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

/// The state that a host announces to the other hosts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Notice {
  /// The host is shutting down gracefully.
  Leaving,
  /// The host serves callers.
  Serving,
}

/// The remote procedures that each host offers to the others.
#[tarpc::service]
pub trait Control {
  /// Announces the state of the calling host.
  async fn announce(host: SocketAddr, notice: Notice);

  /// Reports the age of the calling host's documents after an exchange on the same connection.
  async fn confirm(theirs: Digest);

  /// Returns the digest of the called host's view.
  async fn exchange(theirs: Digest) -> Digest;

  /// Returns the document in force for a key, if its revision is newer than `above`.
  async fn fetch(key: Key, above: u64) -> Option<Published>;

  /// Asks the owner of a cold target to admit one job, if the target has capacity.
  async fn grant_cold(target: SocketAddr, report: Report) -> Option<Grant>;

  /// Offers a document that the calling host has in force.
  async fn offer(published: Published);

  /// Returns a grant for a cold target to the target's owner.
  async fn release_cold(grant: Grant);
}

/// The server side of one control connection from another host.
#[derive(Clone)]
struct Server {
  /// When the last exchange on this connection was answered; `None` once it is confirmed.
  exchanged_at: Arc<Mutex<Option<Instant>>>,
  host: Host,
  peer: Identity,
}

impl Control for Server {
  async fn announce(self, _: context::Context, host: SocketAddr, notice: Notice) {
    // A host may announce only its own state.
    if host != self.peer.host {
      return;
    }
    match notice {
      Notice::Leaving => self.host.departure_notices.insert(host, self.host.clock.now()),
      Notice::Serving => self.host.departure_notices.remove(host),
    }
  }

  async fn confirm(self, _: context::Context, theirs: Digest) {
    let exchanged_at = self.exchanged_at.lock().unwrap_or_else(PoisonError::into_inner).take();
    // The other host created this digest after it had received the answer, so counting
    // its ages from the answer never makes a document look more recent than it is.
    if let Some(exchanged_at) = exchanged_at {
      self.host.contact.record_heard(exchanged_at);
      self.host.confirm_digest(&theirs, exchanged_at);
    }
  }

  async fn exchange(self, _: context::Context, _: Digest) -> Digest {
    let now = self.host.clock.now();
    *self.exchanged_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
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

/// Opens a control connection to another host.
///
/// # Errors
///
/// Fails when the host cannot be reached or the handshake fails.
pub async fn dial(
  host: &Host,
  secrets: &[Secret],
  peers: SocketAddr,
) -> anyhow::Result<ControlClient> {
  let (transport, _) = connect(peers, host.identity(), Purpose::Control, secrets).await?;
  let transport = serde_transport::new(transport, Json::default());
  Ok(ControlClient::new(client::Config::default(), transport).spawn())
}

/// Announces the state of this host to all other hosts.
///
/// Hosts that cannot be reached learn the state from the host list.
pub async fn announce(host: &Host, notice: Notice) {
  let Ok(tree) = host.tree() else {
    return;
  };
  let hosts = host.view.borrow().hosts.accepted.clone();
  let hosts = hosts.map(|accepted| accepted.document.hosts.clone()).unwrap_or_default();
  let others = hosts.iter().filter(|entry| entry.callers != host.settings.callers);
  let announcements = others.map(|entry| async {
    if let Err(error) = announce_to(host, &tree.secrets, entry, notice).await {
      log::warn!(target: PREFIX, "Cannot announce to {} that this host is {notice:?}: {error:#}.", entry.callers);
    }
  });
  future::join_all(announcements).await;
}

async fn announce_to(
  host: &Host,
  secrets: &[Secret],
  entry: &Entry,
  notice: Notice,
) -> anyhow::Result<()> {
  let announced = async {
    let client = dial(host, secrets, entry.peers).await?;
    client.announce(context::current(), host.settings.callers, notice).await?;
    Ok(())
  };
  time::timeout(ANNOUNCE_TIMEOUT, announced)
    .await
    .context("the host did not answer in time")?
}

/// Serves remote calls on one connection until the other host closes it.
pub(super) async fn serve(host: &Host, transport: Transport, peer: Identity) {
  let server = Server {
    exchanged_at: Arc::default(),
    host: host.clone(),
    peer,
  };
  let transport = serde_transport::new(transport, Json::default());
  BaseChannel::with_defaults(transport)
    .execute(server.serve())
    .for_each(|response| response)
    .await;
}
