use {
  super::{Grant, Report, Request},
  crate::{
    host::Host,
    owner::{Duty, Timing},
    peer::control,
    refusal::{Reason, Refusal},
    view::Entry,
  },
  anyhow::Context,
  std::{
    net::SocketAddr,
    time::{Duration, Instant},
  },
  tarpc::context,
  tokio::time,
};

const PREFIX: &str = "cold";
const RETRY_AFTER: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_secs(2);

/// The right to run one job at a cold target; dropping it releases the grant.
#[derive(Debug)]
pub struct Lease {
  grant: Grant,
  host: Host,
  owner: Entry,
  /// When the grant expires; the job must have been sent before.
  pub expires: Instant,
}

impl Drop for Lease {
  fn drop(&mut self) {
    let Ok(runtime) = tokio::runtime::Handle::try_current() else {
      return;
    };
    let (grant, host, owner) = (self.grant, self.host.clone(), self.owner.clone());
    runtime.spawn(async move {
      if let Err(error) = release_at_owner(&host, &owner, grant).await {
        log::debug!(target: PREFIX, "Failed to release a grant at its owner {}: {error:#}.", owner.callers);
      }
    });
  }
}

/// Acquires a grant for one job from the owner of a cold target.
///
/// # Errors
///
/// Refuses when the target has as many jobs as allowed, and when its owner is unknown or does
/// not respond.
pub async fn acquire(host: &Host, target: SocketAddr, report: Report) -> Result<Lease, Refusal> {
  let refuse = || Refusal::not_run(Reason::TargetCold).with_retry_after(RETRY_AFTER);
  let owner = owner(host, target).ok_or_else(refuse)?;
  let requested_at = host.clock.now();
  let lifetime = host.tree()?.operator_settings().grant_life;
  let response = time::timeout(TIMEOUT, request_grant(host, &owner, target, report)).await;
  match response {
    Ok(Ok(Some(grant))) => Ok(Lease {
      grant,
      host: host.clone(),
      owner,
      // Counted from the request, so that the delay of the response does not extend the grant.
      expires: requested_at + lifetime,
    }),
    Ok(Ok(None)) => Err(refuse()),
    Ok(Err(error)) => {
      log::warn!(target: PREFIX, "Failed to request a grant from the owner {}: {error:#}.", owner.callers);
      Err(refuse())
    }
    Err(_) => Err(refuse()),
  }
}

/// Grants a job at a target if this host may act as the target's owner now and the target may
/// have another job.
pub fn grant(host: &Host, target: SocketAddr, report: Report) -> Option<Grant> {
  let tree = host.tree().ok()?;
  let operator_settings = tree.operator_settings();
  let now = host.clock.now();
  let confirmed_at = host.view.borrow().hosts.confirmed_at;
  let own_address = host.settings.callers;
  let timing = Timing::new(&operator_settings);
  host.ownership().fencing_token(
    Duty::ColdGrants(target),
    own_address,
    confirmed_at,
    &timing,
    now,
  )?;
  let (_, listed_target) = tree.targets.iter().find(|(_, entry)| entry.address == target)?;
  let settings = tree.settings(
    Some(listed_target.service),
    Some(listed_target.data_centre),
    None,
  );
  let request = Request {
    max_jobs: settings.cold_jobs,
    incarnation: report.incarnation,
    reported_jobs: report.running + report.waiting,
    target,
  };
  host.cold_grants().grant(request, &timing, now)
}

/// Releases a grant as the owner of its target.
pub fn release(host: &Host, grant: Grant) {
  host.cold_grants().release(grant);
}

async fn request_grant(
  host: &Host,
  owner: &Entry,
  target: SocketAddr,
  report: Report,
) -> anyhow::Result<Option<Grant>> {
  if owner.callers == host.settings.callers {
    return Ok(grant(host, target, report));
  }
  let client = client(host, owner).await?;
  Ok(client.grant_cold(context::current(), target, report).await?)
}

async fn client(host: &Host, owner: &Entry) -> anyhow::Result<control::ControlClient> {
  let tree = host.tree().map_err(anyhow::Error::new)?;
  control::dial(host, &tree.secrets, owner.peers).await
}

async fn release_at_owner(host: &Host, owner: &Entry, grant: Grant) -> anyhow::Result<()> {
  if owner.callers == host.settings.callers {
    release(host, grant);
    return Ok(());
  }
  let released = async {
    let client = client(host, owner).await?;
    client.release_cold(context::current(), grant).await?;
    Ok(())
  };
  time::timeout(TIMEOUT, released).await.context("the owner did not respond in time")?
}

fn owner(host: &Host, target: SocketAddr) -> Option<Entry> {
  let view = host.view.borrow();
  let hosts = &view.hosts.accepted.as_ref()?.document.hosts;
  Duty::ColdGrants(target).owner(hosts).cloned()
}
