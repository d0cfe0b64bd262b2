use {
  super::{Phase, Plan},
  std::time::Instant,
  tokio::{sync::watch, time},
};

/// The stop of one host, shared by its tasks.
#[derive(Clone, Debug, Default)]
pub struct Drain {
  plan: watch::Sender<Option<Plan>>,
}

impl Drain {
  /// Begins the stop; later calls change nothing.
  pub fn start(&self, plan: Plan) -> bool {
    self.plan.send_if_modified(|current| {
      let first = current.is_none();
      current.get_or_insert(plan);
      first
    })
  }

  /// Waits until the stop has begun.
  pub async fn started(&self) -> Plan {
    let mut plan = self.plan.subscribe();
    let plan = plan.wait_for(Option::is_some).await.map(|plan| *plan);
    plan.ok().flatten().expect("the sender lives as long as self")
  }

  /// Waits until long jobs are to be handed over.
  pub async fn handover_due(&self) {
    let plan = self.started().await;
    time::sleep_until((plan.started_at + plan.handover_delay).into()).await;
  }

  /// Returns the phase at a time.
  pub fn phase(&self, now: Instant) -> Phase {
    let plan = *self.plan.borrow();
    plan.map_or(Phase::Serving, |plan| plan.phase(now))
  }
}
