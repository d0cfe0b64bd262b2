use {
  super::{Phase, Plan},
  std::time::Instant,
  tokio::{sync::watch, time},
};

/// The state of a host's graceful shutdown; clones refer to the same state.
#[derive(Clone, Debug, Default)]
pub struct Drain {
  plan: watch::Sender<Option<Plan>>,
}

impl Drain {
  /// Starts the shutdown, unless it has started before, and returns whether this call started it.
  pub fn start(&self, plan: Plan) -> bool {
    self.plan.send_if_modified(|current| {
      let first = current.is_none();
      current.get_or_insert(plan);
      first
    })
  }

  /// Waits until the shutdown has started.
  pub async fn started(&self) -> Plan {
    let mut plan = self.plan.subscribe();
    let plan = plan.wait_for(Option::is_some).await.map(|plan| *plan);
    plan.ok().flatten().expect("the sender lives as long as self")
  }

  /// Waits until the callers of long jobs are to be directed to reattach at another host.
  pub async fn handover_due(&self) {
    let plan = self.started().await;
    time::sleep_until((plan.started_at + plan.handover_delay).into()).await;
  }

  /// Returns the phase of the host at `now`.
  pub fn phase(&self, now: Instant) -> Phase {
    let plan = *self.plan.borrow();
    plan.map_or(Phase::Serving, |plan| plan.phase(now))
  }
}
