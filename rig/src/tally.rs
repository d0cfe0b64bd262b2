//! Outcomes of a load as its callers see them: completed and failed jobs, token errors and
//! latencies.

use {
  hdrhistogram::Histogram,
  std::{collections::BTreeMap, fmt, time::Duration},
  yuccarudder::caller::{Failure, Token},
};

const SIGNIFICANT_DIGITS: u8 = 3;

/// Check of the tokens of one generation as they arrive.
#[derive(Clone, Debug, Default)]
pub struct Check {
  errors: u64,
  generation_prefix: Option<String>,
  next_index: u64,
}

impl Check {
  /// Returns the number of tokens that were lost, repeated, out of order or of another generation.
  pub fn errors(&self) -> u64 {
    self.errors
  }

  /// Checks the next token, whose text contains a prefix of its generation ID and its index.
  pub fn observe(&mut self, token: &Token) {
    let (prefix, index) = token.text.trim().split_once(':').unwrap_or_default();
    let first_prefix = self.generation_prefix.get_or_insert_with(|| prefix.to_owned());
    let expected = token.index == self.next_index
      && index == self.next_index.to_string()
      && prefix == first_prefix;
    self.errors += u64::from(!expected);
    self.next_index = token.index + 1;
  }

  /// Returns the number of tokens received so far.
  pub fn tokens(&self) -> u64 {
    self.next_index
  }
}

/// Counts and latencies over all callers of a run.
#[derive(Clone, Debug)]
pub struct Tally {
  /// Time between tokens, in microseconds.
  pub time_between_tokens: Histogram<u64>,
  /// Duration of plain calls, in microseconds.
  pub call_time: Histogram<u64>,
  /// Time to the first token, in microseconds.
  pub time_to_first_token: Histogram<u64>,
  /// Number of jobs started.
  pub jobs: u64,
  /// Number of tokens that were lost, repeated, out of order or of another generation.
  pub token_errors: u64,
  /// Number of complete streams that were resumed at least once, after a lost connection or because
  /// their host sent them elsewhere.
  pub reattached: u64,
  /// Numbers of failed jobs, by reason and whether the job ran, or by HTTP status.
  pub failed: BTreeMap<String, u64>,
  /// Number of tokens received.
  pub tokens: u64,
  /// Number of jobs with a complete answer.
  pub completed: u64,
}

impl Tally {
  /// Adds the counts and histograms of another tally.
  ///
  /// # Panics
  ///
  /// Panics if the histograms differ in precision, which would be a defect.
  pub fn merge(&mut self, other: &Self) {
    const SAME_PRECISION: &str = "all histograms have the same precision";
    self.time_between_tokens.add(&other.time_between_tokens).expect(SAME_PRECISION);
    self.call_time.add(&other.call_time).expect(SAME_PRECISION);
    self.time_to_first_token.add(&other.time_to_first_token).expect(SAME_PRECISION);
    self.jobs += other.jobs;
    self.token_errors += other.token_errors;
    self.reattached += other.reattached;
    for (reason, count) in &other.failed {
      *self.failed.entry(reason.clone()).or_default() += count;
    }
    self.tokens += other.tokens;
    self.completed += other.completed;
  }

  /// Records a failed job.
  pub fn record_failure(&mut self, failure: &Failure) {
    let reason = format!("{} ({})", failure.code, failure.ran.name());
    *self.failed.entry(reason).or_default() += 1;
  }
}

impl Default for Tally {
  fn default() -> Self {
    let histogram = || Histogram::new(SIGNIFICANT_DIGITS).expect("the precision is valid");
    Self {
      time_between_tokens: histogram(),
      call_time: histogram(),
      time_to_first_token: histogram(),
      jobs: 0,
      token_errors: 0,
      reattached: 0,
      failed: BTreeMap::new(),
      tokens: 0,
      completed: 0,
    }
  }
}

impl fmt::Display for Tally {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    row(f, "jobs", self.jobs)?;
    row(f, "whole", self.completed)?;
    for (reason, count) in &self.failed {
      row(f, &format!("failed: {reason}"), count)?;
    }
    row(f, "streams resumed", self.reattached)?;
    row(f, "tokens", self.tokens)?;
    row(f, "wrong tokens", self.token_errors)?;
    for (name, histogram) in [
      ("time to first token", &self.time_to_first_token),
      ("time between tokens", &self.time_between_tokens),
      ("plain calls", &self.call_time),
    ] {
      row(f, name, quantiles(histogram))?;
    }
    Ok(())
  }
}

fn row(f: &mut fmt::Formatter<'_>, name: &str, value: impl fmt::Display) -> fmt::Result {
  writeln!(f, "{name:<44} {value}")
}

/// Formats the quantiles of a histogram of microseconds.
pub fn quantiles(histogram: &Histogram<u64>) -> String {
  let at_quantile = |quantile| Duration::from_micros(histogram.value_at_quantile(quantile));
  format!(
    "p50 {:?}, p95 {:?}, p99 {:?}",
    at_quantile(0.5),
    at_quantile(0.95),
    at_quantile(0.99)
  )
}
