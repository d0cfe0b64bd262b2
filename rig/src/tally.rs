//! What callers saw: whole answers, refusals, order of tokens, and times.

use {
  hdrhistogram::Histogram,
  std::{collections::BTreeMap, fmt, time::Duration},
  yuccarudder::caller::{Failure, Token},
};

const SIGNIFICANT_DIGITS: u8 = 3;

/// Checks the tokens of one generation as they come.
#[derive(Clone, Debug, Default)]
pub struct Check {
  errors: u64,
  generation: Option<String>,
  next: u64,
}

impl Check {
  /// Returns the number of tokens that were foreign, repeated, lost or out of order.
  pub fn errors(&self) -> u64 {
    self.errors
  }

  /// Checks the next token, whose text names its generation and index.
  pub fn observe(&mut self, token: &Token) {
    let (generation, index) = token.text.trim().split_once(':').unwrap_or_default();
    let first = self.generation.get_or_insert_with(|| generation.to_owned());
    let fits = token.index == self.next && index == self.next.to_string() && generation == first;
    self.errors += u64::from(!fits);
    self.next = token.index + 1;
  }

  /// Returns the number of tokens so far.
  pub fn tokens(&self) -> u64 {
    self.next
  }
}

/// What callers saw over a run.
#[derive(Clone, Debug)]
pub struct Tally {
  /// Time between tokens, in microseconds.
  pub between: Histogram<u64>,
  /// Time of plain calls, in microseconds.
  pub calls: Histogram<u64>,
  /// Time to the first token, in microseconds.
  pub first: Histogram<u64>,
  /// Jobs asked for.
  pub jobs: u64,
  /// Tokens that were foreign, repeated, lost or out of order.
  pub token_errors: u64,
  /// Streams that were taken up again.
  pub reattached: u64,
  /// Jobs without a whole answer, by reason and what is known of them.
  pub failed: BTreeMap<String, u64>,
  /// Tokens received.
  pub tokens: u64,
  /// Jobs answered whole.
  pub completed: u64,
}

impl Tally {
  /// Adds another tally.
  ///
  /// # Panics
  ///
  /// Panics when the histograms differ in shape, which is a defect.
  pub fn add(&mut self, other: &Self) {
    const SHAPE: &str = "the histograms have one shape";
    self.between.add(&other.between).expect(SHAPE);
    self.calls.add(&other.calls).expect(SHAPE);
    self.first.add(&other.first).expect(SHAPE);
    self.jobs += other.jobs;
    self.token_errors += other.token_errors;
    self.reattached += other.reattached;
    for (reason, count) in &other.failed {
      *self.failed.entry(reason.clone()).or_default() += count;
    }
    self.tokens += other.tokens;
    self.completed += other.completed;
  }

  /// Records a job without a whole answer.
  pub fn refuse(&mut self, failure: &Failure) {
    let reason = format!("{} ({})", failure.code, failure.ran.name());
    *self.failed.entry(reason).or_default() += 1;
  }
}

impl Default for Tally {
  fn default() -> Self {
    let histogram = || Histogram::new(SIGNIFICANT_DIGITS).expect("the precision is valid");
    Self {
      between: histogram(),
      calls: histogram(),
      first: histogram(),
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
      row(f, &format!("refused: {reason}"), count)?;
    }
    row(f, "streams taken up again", self.reattached)?;
    row(f, "tokens", self.tokens)?;
    row(f, "tokens out of order", self.token_errors)?;
    for (name, histogram) in [
      ("first token", &self.first),
      ("between tokens", &self.between),
      ("plain calls", &self.calls),
    ] {
      row(f, name, quantiles(histogram))?;
    }
    Ok(())
  }
}

fn row(f: &mut fmt::Formatter<'_>, name: &str, value: impl fmt::Display) -> fmt::Result {
  writeln!(f, "{name:<44} {value}")
}

/// Renders the quantiles of a histogram of microseconds.
pub fn quantiles(histogram: &Histogram<u64>) -> String {
  let at = |quantile| Duration::from_micros(histogram.value_at_quantile(quantile));
  format!("p50 {:?}, p95 {:?}, p99 {:?}", at(0.5), at(0.95), at(0.99))
}
