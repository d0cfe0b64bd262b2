use {
  crate::{host::Host, peer::control, tree::Secret},
  anyhow::Context,
  std::{net::SocketAddr, time::Duration},
  tarpc::context,
  tokio::time,
};

const TIMEOUT: Duration = Duration::from_secs(3);

/// Compares views with another host and moves the newer documents either way.
///
/// # Errors
///
/// Fails when the other host cannot be reached or does not answer in time.
pub async fn exchange(host: &Host, secrets: &[Secret], peers: SocketAddr) -> anyhow::Result<()> {
  let exchanged = async {
    let client = control::dial(host, secrets, peers).await?;
    let asked = host.clock.now();
    let ours = host.view.borrow().digest(asked);
    let theirs = client.exchange(context::current(), ours).await?;
    host.contact.heard(host.clock.now());
    let (wanted, lacked) = {
      let view = host.view.borrow();
      (view.wanted(&theirs), view.lacked(&theirs))
    };
    for (key, above) in wanted {
      if let Some(published) = client.fetch(context::current(), key, above).await? {
        host.offer(published.key, published.revision, &published.text, None);
      }
    }
    host.confirm_digest(&theirs, asked);
    for published in lacked {
      client.offer(context::current(), published).await?;
    }
    let ours = host.view.borrow().digest(host.clock.now());
    client.confirm(context::current(), ours).await?;
    Ok(())
  };
  time::timeout(TIMEOUT, exchanged).await.context("no answer in time")?
}
