//! Prometheus metrics of one host.

use {
  crate::refusal::{Execution, Reason, Refusal},
  prometheus::{Encoder, Gauge, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder},
};

/// Defines why something was tried again.
macro_rules! retries {
  { $( $(#[$doc:meta])* $name:ident, $wire:literal; )* } => {
    /// Why something was tried again.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum RetryReason {
      $( $(#[$doc])* $name, )*
    }

    impl RetryReason {
      const ALL: &'static [Self] = &[$(Self::$name),*];

      fn name(self) -> &'static str {
        match self { $(Self::$name => $wire,)* }
      }
    }
  };
}

retries! {
  /// A target refused the connection or closed it before a byte was sent.
  Connect, "connect";
  /// A forwarded call was sent again to its home.
  Forward, "forward";
  /// An engine lost a generation that no caller had seen.
  GenerationLost, "generation_lost";
  /// The link to an engine broke and the generation was resumed.
  LinkLost, "link_lost";
  /// The platform could not be read.
  Platform, "platform";
  /// An engine sent no token in time and the generation was resumed.
  Stalled, "stalled";
  /// A target in its cold start was passed over.
  TargetCold, "target_cold";
  /// The link to a target broke during a repeatable call.
  TargetLost, "target_lost";
  /// A target answered that it takes no work now.
  TargetRefused, "target_refused";
}

/// The metrics of one host.
#[derive(Debug)]
pub struct Metrics {
  /// Jobs that reached their caller whole.
  pub answered: IntCounter,
  /// Seconds since the host list was confirmed.
  pub hosts_age: Gauge,
  /// Jobs in hand.
  pub active_requests: IntGauge,
  refusals: IntCounterVec,
  registry: Registry,
  retries: IntCounterVec,
  /// Seconds since the settings were confirmed.
  pub settings_age: Gauge,
  /// Settings documents that were refused.
  pub settings_refused: IntCounter,
  /// Revision of the settings in force.
  pub settings_revision: IntGauge,
  /// Documents whose revision was older than one seen before.
  pub stale_documents: IntCounter,
  /// Tokens relayed to callers.
  pub tokens: IntCounter,
}

impl Metrics {
  /// Builds the metrics with every reason at zero.
  ///
  /// # Panics
  ///
  /// Panics when two metrics have one name, which is a defect of this module.
  pub fn new() -> Self {
    let registry = Registry::new();
    let metrics = Self {
      answered: IntCounter::new("yuccarudder_answered_total", "Jobs answered whole")
        .expect(VALID_NAMES),
      hosts_age: Gauge::new("yuccarudder_hosts_age_seconds", "Age of the host list")
        .expect(VALID_NAMES),
      active_requests: IntGauge::new("yuccarudder_jobs_in_hand", "Jobs in hand")
        .expect(VALID_NAMES),
      refusals: IntCounterVec::new(
        Opts::new(
          "yuccarudder_refusals_total",
          "Refusals and early ends by reason",
        ),
        &["reason", "ran"],
      )
      .expect(VALID_NAMES),
      registry: registry.clone(),
      retries: IntCounterVec::new(
        Opts::new("yuccarudder_retries_total", "Retries by reason"),
        &["reason"],
      )
      .expect(VALID_NAMES),
      settings_age: Gauge::new("yuccarudder_settings_age_seconds", "Age of the settings")
        .expect(VALID_NAMES),
      settings_refused: IntCounter::new(
        "yuccarudder_settings_refused_total",
        "Settings documents refused",
      )
      .expect(VALID_NAMES),
      settings_revision: IntGauge::new(
        "yuccarudder_settings_revision",
        "Revision of the settings in force",
      )
      .expect(VALID_NAMES),
      stale_documents: IntCounter::new(
        "yuccarudder_stale_documents_total",
        "Documents older than one seen before",
      )
      .expect(VALID_NAMES),
      tokens: IntCounter::new("yuccarudder_tokens_total", "Tokens relayed").expect(VALID_NAMES),
    };
    metrics.register();
    metrics
  }

  /// Counts a refusal.
  pub fn count_refusal(&self, refusal: &Refusal) {
    self.refusals.with_label_values(&[refusal.reason.name(), refusal.execution.name()]).inc();
  }

  fn register(&self) {
    let collectors: [Box<dyn prometheus::core::Collector>; 10] = [
      Box::new(self.answered.clone()),
      Box::new(self.hosts_age.clone()),
      Box::new(self.active_requests.clone()),
      Box::new(self.refusals.clone()),
      Box::new(self.retries.clone()),
      Box::new(self.settings_age.clone()),
      Box::new(self.settings_refused.clone()),
      Box::new(self.settings_revision.clone()),
      Box::new(self.stale_documents.clone()),
      Box::new(self.tokens.clone()),
    ];
    for collector in collectors {
      self.registry.register(collector).expect(VALID_NAMES);
    }
    for reason in Reason::ALL {
      for ran in [Execution::Failed, Execution::NotRun, Execution::Unknown] {
        self.refusals.with_label_values(&[reason.name(), ran.name()]);
      }
    }
    for retry in RetryReason::ALL {
      self.retries.with_label_values(&[retry.name()]);
    }
  }

  /// Renders the metrics in the Prometheus text format.
  pub fn render(&self) -> String {
    let mut text = Vec::new();
    TextEncoder::new()
      .encode(&self.registry.gather(), &mut text)
      .expect("metrics are encodable");
    String::from_utf8(text).expect("the text format is UTF-8")
  }

  /// Counts a retry.
  pub fn count_retry(&self, retry: RetryReason) {
    self.retries.with_label_values(&[retry.name()]).inc();
  }
}

impl Default for Metrics {
  fn default() -> Self {
    Self::new()
  }
}

pub(crate) const VALID_NAMES: &str = "metric names are valid and distinct";
