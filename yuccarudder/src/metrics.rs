//! Prometheus metrics of a host.

use {
  crate::refusal::{Execution, Reason, Refusal},
  prometheus::{Encoder, Gauge, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder},
};

/// Defines `RetryReason` from rows of variant and label value.
macro_rules! retries {
  { $( $(#[$doc:meta])* $name:ident, $label:literal; )* } => {
    /// Why an operation was retried.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum RetryReason {
      $( $(#[$doc])* $name, )*
    }

    impl RetryReason {
      const ALL: &'static [Self] = &[$(Self::$name),*];

      fn name(self) -> &'static str {
        match self { $(Self::$name => $label,)* }
      }
    }
  };
}

retries! {
  /// A connection to a target could not be opened, or failed before a byte of the request was
  /// sent.
  Connect, "connect";
  /// A request was forwarded to its home host again.
  Forward, "forward";
  /// An engine lost a generation of which the caller had received nothing.
  GenerationLost, "generation_lost";
  /// The connection to an engine broke and the generation was resumed.
  LinkLost, "link_lost";
  /// A read from the platform failed.
  Platform, "platform";
  /// An engine sent no token in time and the generation was resumed.
  Stalled, "stalled";
  /// A target in its cold start was skipped, as its owner gave no grant for the job in time.
  TargetCold, "target_cold";
  /// The connection to a target broke during a request that may be repeated, or, at a gateway, the
  /// target ran the request and answered with a failure.
  TargetLost, "target_lost";
  /// A target responded that it accepts no requests now.
  TargetRefused, "target_refused";
}

/// The metrics of a host.
#[derive(Debug)]
pub struct Metrics {
  /// Connections that were closed as others needed their memory, by port.
  pub closed_connections: IntCounterVec,
  /// Responses that were sent to their caller in full.
  pub completed_requests: IntCounter,
  /// Seconds since the host list was last confirmed as current.
  pub host_list_age: Gauge,
  /// Requests that this host is serving.
  pub active_requests: IntGauge,
  refusals: IntCounterVec,
  registry: Registry,
  retries: IntCounterVec,
  /// Seconds since the settings were last confirmed as current.
  pub settings_age: Gauge,
  /// Documents, received from the platform or another host, that were rejected as faulty.
  pub rejected_documents: IntCounter,
  /// Revision of the settings in use.
  pub settings_revision: IntGauge,
  /// Documents received with an older revision than one seen before.
  pub stale_documents: IntCounter,
  /// Generated tokens sent to callers.
  pub relayed_tokens: IntCounter,
}

impl Metrics {
  /// Creates and registers the metrics, with the counter of every reason at zero.
  ///
  /// # Panics
  ///
  /// Panics if a metric name is invalid or used twice, which is a bug in this module.
  pub fn new() -> Self {
    let registry = Registry::new();
    let metrics = Self {
      closed_connections: IntCounterVec::new(
        Opts::new(
          "yuccarudder_closed_connections_total",
          "Connections closed for want of memory",
        ),
        &["port"],
      )
      .expect(VALID_NAMES),
      completed_requests: IntCounter::new("yuccarudder_answered_total", "Jobs answered whole")
        .expect(VALID_NAMES),
      host_list_age: Gauge::new("yuccarudder_hosts_age_seconds", "Age of the host list")
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
      rejected_documents: IntCounter::new(
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
      relayed_tokens: IntCounter::new("yuccarudder_tokens_total", "Tokens relayed")
        .expect(VALID_NAMES),
    };
    metrics.register();
    metrics
  }

  /// Counts a refused request, or one that ended early.
  pub fn count_refusal(&self, refusal: &Refusal) {
    self.refusals.with_label_values(&[refusal.reason.name(), refusal.execution.name()]).inc();
  }

  /// Registers the metrics and creates the counter of every reason.
  fn register(&self) {
    let collectors: [Box<dyn prometheus::core::Collector>; 11] = [
      Box::new(self.closed_connections.clone()),
      Box::new(self.completed_requests.clone()),
      Box::new(self.host_list_age.clone()),
      Box::new(self.active_requests.clone()),
      Box::new(self.refusals.clone()),
      Box::new(self.retries.clone()),
      Box::new(self.settings_age.clone()),
      Box::new(self.rejected_documents.clone()),
      Box::new(self.settings_revision.clone()),
      Box::new(self.stale_documents.clone()),
      Box::new(self.relayed_tokens.clone()),
    ];
    for collector in collectors {
      self.registry.register(collector).expect(VALID_NAMES);
    }
    for reason in Reason::ALL {
      for ran in [Execution::Failed, Execution::NotRun, Execution::Unknown] {
        self.refusals.with_label_values(&[reason.name(), ran.name()]);
      }
    }
    for reason in RetryReason::ALL {
      self.retries.with_label_values(&[reason.name()]);
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
  pub fn count_retry(&self, reason: RetryReason) {
    self.retries.with_label_values(&[reason.name()]).inc();
  }
}

impl Default for Metrics {
  fn default() -> Self {
    Self::new()
  }
}

/// Reason why creating and registering a metric cannot fail.
pub(crate) const VALID_NAMES: &str = "metric names are valid and distinct";
