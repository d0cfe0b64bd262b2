use {
  super::{Grant, Report, Request},
  crate::{
    host::Host,
    owner::{Duty, Terms},
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
const RETRY: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_secs(2);

/// A place at a cold target, given back when it is dropped.
#[derive(Debug)]
pub struct Place {
  grant: Grant,
  host: Host,
  owner: Entry,
  /// When the grant can no longer be used.
  pub until: Instant,
}

impl Drop for Place {
  fn drop(&mut self) {
    let Ok(runtime) = tokio::runtime::Handle::try_current() else {
      return;
    };
    let (grant, host, owner) = (self.grant, self.host.clone(), self.owner.clone());
    runtime.spawn(async move {
      if let Err(error) = give_back(&host, &owner, grant).await {
        log::debug!(target: PREFIX, "Cannot give a place back to {}: {error:#}.", owner.callers);
      }
    });
  }
}

/// Asks the owner of a cold target for a place.
///
/// # Errors
///
/// Refuses when the target has all that it bears, or nobody can tell.
pub async fn admit(host: &Host, target: SocketAddr, report: Report) -> Result<Place, Refusal> {
  let refuse = || Refusal::not_run(Reason::TargetCold).with_retry_after(RETRY);
  let owner = owner(host, target).ok_or_else(refuse)?;
  let asked = host.clock.now();
  let life = host.tree()?.operator_settings().grant_life;
  let granted = time::timeout(TIMEOUT, ask(host, &owner, target, report)).await;
  match granted {
    Ok(Ok(Some(grant))) => Ok(Place {
      grant,
      host: host.clone(),
      owner,
      // The answer's delay counts against the grant.
      until: asked + life,
    }),
    Ok(Ok(None)) => Err(refuse()),
    Ok(Err(error)) => {
      log::warn!(target: PREFIX, "Cannot ask {} for a place: {error:#}.", owner.callers);
      Err(refuse())
    }
    Err(_) => Err(refuse()),
  }
}

/// Grants a place as the owner of a target, if this host may act as such now.
pub fn grant(host: &Host, target: SocketAddr, report: Report) -> Option<Grant> {
  let tree = host.tree().ok()?;
  let operator = tree.operator_settings();
  let now = host.clock.now();
  let confirmed = host.view.borrow().hosts.confirmed;
  let this = host.settings.callers;
  let terms = Terms::new(&operator);
  host.ownership().holds(Duty::Cold(target), this, confirmed, &terms, now)?;
  let (_, listed) = tree.targets.iter().find(|(_, item)| item.address == target)?;
  let knobs = tree.settings(Some(listed.service), Some(listed.data_centre), None);
  let request = Request {
    bears: knobs.cold_jobs,
    incarnation: report.incarnation,
    reported: report.running + report.waiting,
    target,
  };
  host.ledger().grant(request, &terms, now)
}

/// Takes a place back as the owner of a target.
pub fn release(host: &Host, grant: Grant) {
  host.ledger().release(grant);
}

async fn ask(
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

async fn give_back(host: &Host, owner: &Entry, grant: Grant) -> anyhow::Result<()> {
  if owner.callers == host.settings.callers {
    release(host, grant);
    return Ok(());
  }
  let given = async {
    let client = client(host, owner).await?;
    client.release_cold(context::current(), grant).await?;
    Ok(())
  };
  time::timeout(TIMEOUT, given).await.context("no answer in time")?
}

fn owner(host: &Host, target: SocketAddr) -> Option<Entry> {
  let view = host.view.borrow();
  let hosts = &view.hosts.accepted.as_ref()?.document.hosts;
  Duty::Cold(target).owner(hosts).cloned()
}
