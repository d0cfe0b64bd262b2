use {
  crate::metrics::VALID_NAMES,
  prometheus::{
    Encoder, Gauge, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder, core::Collector,
  },
};

/// Upper bounds of the buckets for durations, in seconds, from the time of a connect to that of
/// the longest response.
const DURATION_BUCKETS: [f64; 14] = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.18, 0.25, 0.5, 1.0, 1.8, 3.0, 6.0, 15.0, 40.0,
];

/// Upper bounds of the buckets for surcharges, in the unit of a target's whole KV cache.
const SURCHARGE_BUCKETS: [f64; 9] = [-0.25, -0.1, -0.02, 0.0, 0.02, 0.1, 0.25, 0.5, 1.0];

/// Metrics of the gateway, in addition to those that are common to all modes of the program.
#[derive(Debug)]
pub struct Instruments {
  /// Refused requests of client accounts.
  pub account_refusals: IntCounterVec,
  /// KV cache tokens that the requests of client accounts are expected to need.
  pub account_tokens: IntGaugeVec,
  /// Seconds from the arrival of a request to the end of the response, by kind of route.
  pub response_duration: HistogramVec,
  /// Seconds since the catalog was last confirmed to be current.
  pub catalog_age: Gauge,
  /// Ejections of targets after repeated failures, by the outcome that caused them.
  pub ejections: IntCounterVec,
  /// Seconds from the arrival of a request to the first event of its stream, by kind of route.
  pub time_to_first_event: HistogramVec,
  /// Requests that were passed on to another host, by outcome.
  pub handovers: IntCounterVec,
  /// Bytes of heartbeats without the headers of their packets, by direction.
  pub heartbeat_bytes: IntCounterVec,
  /// Prompt tokens that the chosen targets were expected to hold.
  pub held_prompt_tokens: IntCounter,
  /// Losses of the links to all targets of a service.
  pub lost_links: IntCounter,
  /// Other hosts whose heartbeats were received recently.
  pub live_hosts: IntGauge,
  /// Targets that left service, by source of the information.
  pub target_departures: IntCounterVec,
  /// Steps in migrating runs between engines, by step.
  pub migration_steps: IntCounterVec,
  /// Prompt parts that are kept away from the targets.
  pub banned_features: IntGauge,
  /// Targets that crashed while requests of this host ran there.
  pub target_crashes: IntCounter,
  /// Longest pause between two events of a stream, in seconds, by kind of route.
  pub longest_pause: HistogramVec,
  /// Checks of waiting requests while other hosts wait, too, by whether targets were granted.
  pub grants: IntCounterVec,
  /// Seconds that requests waited for capacity at a target, by kind of route.
  pub queue_wait: HistogramVec,
  /// Targets whose pace is known.
  pub paced_targets: IntGauge,
  /// Pauses per second of streaming that were longer than the limit of their route, of all hosts.
  pub pause_hazard: Gauge,
  /// Surcharge of the chosen targets because of their pace, by kind of route.
  pub surcharge: HistogramVec,
  registry: Registry,
  /// Requests that are at a target.
  pub active_requests: IntGauge,
  /// Finished streams, by how they ended.
  pub finished_streams: IntCounterVec,
  /// Responses that ended with their connections, by whether they were whole.
  pub unframed_ends: IntCounterVec,
  /// Panics of tasks that run as long as the host, by task.
  pub task_panics: IntCounterVec,
  /// Lists of the targets that this host read as no other host had confirmed them in time.
  pub target_refreshes: IntCounter,
  /// Items and events of the platform that cannot be read.
  pub unreadable_items: IntCounter,
  /// Targets that accept requests.
  pub available_targets: IntGauge,
}

impl Instruments {
  /// Builds and registers the metrics.
  ///
  /// # Panics
  ///
  /// Panics when two metrics have the same name, which is a bug in this module.
  pub fn new() -> Self {
    let instruments = Self {
      account_refusals: counter(
        "yuccarudder_account_refusals_total",
        "Refused requests by client account",
        "account",
      ),
      account_tokens: IntGaugeVec::new(
        Opts::new(
          "yuccarudder_account_tokens",
          "KV cache tokens in use by client account",
        ),
        &["account"],
      )
      .expect(VALID_NAMES),
      response_duration: histogram(
        "yuccarudder_answer_seconds",
        "Arrival to the end of the answer",
      ),
      catalog_age: Gauge::new("yuccarudder_catalog_age_seconds", "Age of the catalog")
        .expect(VALID_NAMES),
      ejections: counter(
        "yuccarudder_ejections_total",
        "Targets passed over",
        "outcome",
      ),
      time_to_first_event: histogram(
        "yuccarudder_first_event_seconds",
        "Arrival to the first event",
      ),
      handovers: counter(
        "yuccarudder_handovers_total",
        "Requests passed on to another host",
        "outcome",
      ),
      heartbeat_bytes: counter(
        "yuccarudder_heartbeat_bytes_total",
        "Bytes of heartbeats exchanged with other hosts",
        "direction",
      ),
      held_prompt_tokens: IntCounter::new(
        "yuccarudder_held_prompt_tokens_total",
        "Prompt tokens that the chosen targets were expected to hold",
      )
      .expect(VALID_NAMES),
      lost_links: IntCounter::new(
        "yuccarudder_lost_links_total",
        "Losses of the links to all targets of a service",
      )
      .expect(VALID_NAMES),
      live_hosts: IntGauge::new("yuccarudder_hosts", "Other hosts heard lately")
        .expect(VALID_NAMES),
      target_departures: counter(
        "yuccarudder_target_leaves_total",
        "Targets noticed to leave",
        "source",
      ),
      migration_steps: counter(
        "yuccarudder_moves_total",
        "Moves of runs between engines",
        "step",
      ),
      banned_features: IntGauge::new(
        "yuccarudder_banned_features",
        "Bans of contents and prompt parts under which targets crash",
      )
      .expect(VALID_NAMES),
      target_crashes: IntCounter::new(
        "yuccarudder_target_crashes_total",
        "Targets that crashed under requests",
      )
      .expect(VALID_NAMES),
      longest_pause: histogram(
        "yuccarudder_longest_pause_seconds",
        "Longest pause of a stream",
      ),
      grants: counter(
        "yuccarudder_grants_total",
        "Checks of waiting requests while other hosts wait, too",
        "targets",
      ),
      queue_wait: histogram("yuccarudder_queue_seconds", "Wait for room at a target"),
      paced_targets: IntGauge::new("yuccarudder_paced_targets", "Targets whose pace is known")
        .expect(VALID_NAMES),
      pause_hazard: Gauge::new(
        "yuccarudder_pause_hazard",
        "Pauses above the limit of their route per second of streaming",
      )
      .expect(VALID_NAMES),
      surcharge: HistogramVec::new(
        HistogramOpts::new(
          "yuccarudder_pace_surcharge",
          "Surcharge of the chosen target because of its pace, in KV caches",
        )
        .buckets(SURCHARGE_BUCKETS.to_vec()),
        &["kind"],
      )
      .expect(VALID_NAMES),
      registry: Registry::new(),
      active_requests: IntGauge::new("yuccarudder_runs", "Requests at targets").expect(VALID_NAMES),
      finished_streams: counter("yuccarudder_streams_total", "Streams by their end", "end"),
      unframed_ends: counter(
        "yuccarudder_unframed_ends_total",
        "Responses without a length or chunks by what is known of their end",
        "verdict",
      ),
      task_panics: counter(
        "yuccarudder_task_panics_total",
        "Tasks that panicked and were started again",
        "task",
      ),
      target_refreshes: IntCounter::new(
        "yuccarudder_target_refreshes_total",
        "Lists of the targets that no other host had confirmed in time",
      )
      .expect(VALID_NAMES),
      unreadable_items: IntCounter::new(
        "yuccarudder_unreadable_items_total",
        "Items and events of the platform that cannot be read",
      )
      .expect(VALID_NAMES),
      available_targets: IntGauge::new("yuccarudder_targets", "Targets that take work")
        .expect(VALID_NAMES),
    };
    instruments.register();
    instruments
  }

  fn register(&self) {
    let collectors: Vec<Box<dyn Collector>> = vec![
      Box::new(self.account_refusals.clone()),
      Box::new(self.account_tokens.clone()),
      Box::new(self.response_duration.clone()),
      Box::new(self.catalog_age.clone()),
      Box::new(self.ejections.clone()),
      Box::new(self.time_to_first_event.clone()),
      Box::new(self.handovers.clone()),
      Box::new(self.heartbeat_bytes.clone()),
      Box::new(self.held_prompt_tokens.clone()),
      Box::new(self.lost_links.clone()),
      Box::new(self.live_hosts.clone()),
      Box::new(self.target_departures.clone()),
      Box::new(self.migration_steps.clone()),
      Box::new(self.banned_features.clone()),
      Box::new(self.target_crashes.clone()),
      Box::new(self.longest_pause.clone()),
      Box::new(self.grants.clone()),
      Box::new(self.queue_wait.clone()),
      Box::new(self.paced_targets.clone()),
      Box::new(self.pause_hazard.clone()),
      Box::new(self.surcharge.clone()),
      Box::new(self.active_requests.clone()),
      Box::new(self.finished_streams.clone()),
      Box::new(self.unframed_ends.clone()),
      Box::new(self.task_panics.clone()),
      Box::new(self.target_refreshes.clone()),
      Box::new(self.unreadable_items.clone()),
      Box::new(self.available_targets.clone()),
    ];
    for collector in collectors {
      self.registry.register(collector).expect(VALID_NAMES);
    }
  }

  /// Renders the metrics in the Prometheus text format.
  pub fn render(&self) -> String {
    let mut text = Vec::new();
    let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
    encoded.expect("metrics are encodable");
    String::from_utf8(text).expect("the text format is UTF-8")
  }
}

impl Default for Instruments {
  fn default() -> Self {
    Self::new()
  }
}

fn counter(name: &str, help: &str, label: &str) -> IntCounterVec {
  IntCounterVec::new(Opts::new(name, help), &[label]).expect(VALID_NAMES)
}

fn histogram(name: &str, help: &str) -> HistogramVec {
  let options = HistogramOpts::new(name, help).buckets(DURATION_BUCKETS.to_vec());
  HistogramVec::new(options, &["kind"]).expect(VALID_NAMES)
}
