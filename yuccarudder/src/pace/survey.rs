use {
  super::{Rates, Request},
  libm::exp,
};

/// What the targets that a request may be sent to have in common.
#[derive(Clone, Copy, Debug)]
pub struct Survey {
  /// Geometric mean of the gaps of the known targets, in seconds; targets without a record are assumed to have it. An
  /// impossible gap moves it less than an arithmetic mean.
  pub(super) mean_gap: f64,
  /// Lowest rate of violations at one of the targets, for the stream of the request. It can't be avoided, so only what
  /// exceeds it counts.
  pub(super) own_floor: f64,
  pub(super) rates: Rates,
  /// The same as `own_floor` for the streams that run there.
  pub(super) shared_floor: f64,
  /// Usual pause limit of the streams that run there, in seconds, if known.
  pub(super) shared_limit: Option<f64>,
}

impl Survey {
  /// Returns the rate of violations of the stream of a request with a pause limit in seconds at a target with a mean
  /// gap.
  pub(super) fn own_rate(&self, limit: f64, gap: f64) -> f64 {
    if limit > 0.0 {
      self.rates.at(limit / gap)
    } else {
      0.0
    }
  }

  /// Returns the chance that the stream of a request breaks its pause limit at a target with a mean gap, as far as it
  /// can be avoided at another one.
  pub(super) fn own_risk(&self, request: &Request, gap: f64) -> f64 {
    let rate = self.own_rate(request.pause_limit.as_secs_f64(), gap) - self.own_floor;
    1.0 - exp(-rate * request.events * gap)
  }

  /// Returns the rate of violations of each stream that runs at a target with a mean gap.
  pub(super) fn shared_rate(&self, gap: f64) -> f64 {
    self.shared_limit.map_or(0.0, |limit| self.rates.at(limit / gap))
  }
}
