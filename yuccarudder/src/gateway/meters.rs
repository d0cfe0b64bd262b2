use {
  crate::metrics::NAMES,
  prometheus::{
    Encoder, Gauge, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder, core::Collector,
  },
};

/// Upper ends of the classes of times, in seconds: from a connection to the longest answer.
const TIMES: [f64; 14] = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.18, 0.25, 0.5, 1.0, 1.8, 3.0, 6.0, 15.0, 40.0,
];

/// The metrics of the way of a request, besides those that all surfaces share.
#[derive(Debug)]
pub struct Meters {
  /// Seconds from arrival to the end of the answer, by kind of route.
  pub answer: HistogramVec,
  /// Seconds since the catalog was confirmed.
  pub catalog_age: Gauge,
  /// Targets that were passed over after failures, by outcome.
  pub ejections: IntCounterVec,
  /// Seconds from arrival to the first event.
  pub first_event: HistogramVec,
  /// Hosts heard lately.
  pub hosts: IntGauge,
  /// Targets that were noticed to leave, by who told.
  pub leaves: IntCounterVec,
  /// Steps of runs to other engines, by step.
  pub moves: IntCounterVec,
  /// Longest pause between two events of a stream, in seconds.
  pub pause: HistogramVec,
  /// Seconds that requests waited for room.
  pub queue: HistogramVec,
  registry: Registry,
  /// Requests at targets.
  pub runs: IntGauge,
  /// Streams by how they ended.
  pub streams: IntCounterVec,
  /// Targets that take work.
  pub targets: IntGauge,
}

impl Meters {
  /// Builds the metrics.
  ///
  /// # Panics
  ///
  /// Panics when two metrics have one name, which is a defect of this module.
  pub fn new() -> Self {
    let meters = Self {
      answer: histogram(
        "yuccarudder_answer_seconds",
        "Arrival to the end of the answer",
      ),
      catalog_age: Gauge::new("yuccarudder_catalog_age_seconds", "Age of the catalog")
        .expect(NAMES),
      ejections: counter(
        "yuccarudder_ejections_total",
        "Targets passed over",
        "outcome",
      ),
      first_event: histogram(
        "yuccarudder_first_event_seconds",
        "Arrival to the first event",
      ),
      hosts: IntGauge::new("yuccarudder_hosts", "Other hosts heard lately").expect(NAMES),
      leaves: counter(
        "yuccarudder_target_leaves_total",
        "Targets noticed to leave",
        "source",
      ),
      moves: counter(
        "yuccarudder_moves_total",
        "Moves of runs between engines",
        "step",
      ),
      pause: histogram(
        "yuccarudder_longest_pause_seconds",
        "Longest pause of a stream",
      ),
      queue: histogram("yuccarudder_queue_seconds", "Wait for room at a target"),
      registry: Registry::new(),
      runs: IntGauge::new("yuccarudder_runs", "Requests at targets").expect(NAMES),
      streams: counter("yuccarudder_streams_total", "Streams by their end", "end"),
      targets: IntGauge::new("yuccarudder_targets", "Targets that take work").expect(NAMES),
    };
    meters.register();
    meters
  }

  fn register(&self) {
    let collectors: Vec<Box<dyn Collector>> = vec![
      Box::new(self.answer.clone()),
      Box::new(self.catalog_age.clone()),
      Box::new(self.ejections.clone()),
      Box::new(self.first_event.clone()),
      Box::new(self.hosts.clone()),
      Box::new(self.leaves.clone()),
      Box::new(self.moves.clone()),
      Box::new(self.pause.clone()),
      Box::new(self.queue.clone()),
      Box::new(self.runs.clone()),
      Box::new(self.streams.clone()),
      Box::new(self.targets.clone()),
    ];
    for collector in collectors {
      self.registry.register(collector).expect(NAMES);
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

impl Default for Meters {
  fn default() -> Self {
    Self::new()
  }
}

fn counter(name: &str, help: &str, label: &str) -> IntCounterVec {
  IntCounterVec::new(Opts::new(name, help), &[label]).expect(NAMES)
}

fn histogram(name: &str, help: &str) -> HistogramVec {
  let options = HistogramOpts::new(name, help).buckets(TIMES.to_vec());
  HistogramVec::new(options, &["kind"]).expect(NAMES)
}
