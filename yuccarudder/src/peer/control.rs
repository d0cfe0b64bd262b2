use {
  super::{Identity, Purpose, Transport, connect},
  crate::{clock::Clock, entries::Leaving, host::Host, tree::Secret, view::Entry},
  anyhow::Context,
  futures::{StreamExt, future},
  serde::{Deserialize, Serialize},
  std::{net::SocketAddr, time::Duration},
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
trait Control {
  /// Takes in what a host says of itself.
  async fn announce(host: SocketAddr, notice: Notice);
}

#[derive(Clone)]
struct Server {
  clock: Clock,
  leaving: Leaving,
  other: Identity,
}

impl Control for Server {
  async fn announce(self, _: context::Context, host: SocketAddr, notice: Notice) {
    // A host speaks for itself only.
    if host != self.other.host {
      return;
    }
    match notice {
      Notice::Leaving => self.leaving.insert(host, self.clock.now()),
      Notice::Serving => self.leaving.remove(host),
    }
  }
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
    let this = host.identity();
    let (transport, _) = connect(entry.peers, this, Purpose::Control, secrets).await?;
    let transport = serde_transport::new(transport, Json::default());
    let client = ControlClient::new(client::Config::default(), transport).spawn();
    client.announce(context::current(), this.host, notice).await?;
    Ok(())
  };
  time::timeout(ANNOUNCE_TIMEOUT, called).await.context("no answer in time")?
}

pub(super) async fn serve(host: &Host, transport: Transport, other: Identity) {
  let server = Server {
    clock: host.clock.clone(),
    leaving: host.leaving.clone(),
    other,
  };
  let transport = serde_transport::new(transport, Json::default());
  BaseChannel::with_defaults(transport)
    .execute(server.serve())
    .for_each(|response| response)
    .await;
}
