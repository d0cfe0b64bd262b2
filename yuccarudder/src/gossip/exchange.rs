use {
  crate::{host::Host, peer::control, tree::Secret},
  anyhow::Context,
  std::{net::SocketAddr, time::Duration},
  tarpc::context,
  tokio::time,
};

const TIMEOUT: Duration = Duration::from_secs(3);

/// Compares views with another host and transfers the newer documents in both directions.
///
/// # Errors
///
/// Fails when the other host cannot be reached or does not respond in time.
pub async fn exchange(host: &Host, secrets: &[Secret], address: SocketAddr) -> anyhow::Result<()> {
  let exchanged = async {
    let client = control::dial(host, secrets, address).await?;
    let sent_at = host.clock.now();
    let ours = host.view.borrow().digest(sent_at);
    let theirs = client.exchange(context::current(), ours).await?;
    host.contact.record_heard(host.clock.now());
    let (to_fetch, to_send) = {
      let view = host.view.borrow();
      (view.keys_to_fetch(&theirs), view.documents_to_send(&theirs))
    };
    for (key, above) in to_fetch {
      if let Some(published) = client.fetch(context::current(), key, above).await? {
        host.offer(published.key, published.revision, &published.text, None);
      }
    }
    host.confirm_digest(&theirs, sent_at);
    for published in to_send {
      client.offer(context::current(), published).await?;
    }
    let ours = host.view.borrow().digest(host.clock.now());
    client.confirm(context::current(), ours).await?;
    Ok(())
  };
  time::timeout(TIMEOUT, exchanged)
    .await
    .context("the other host did not respond in time")?
}
