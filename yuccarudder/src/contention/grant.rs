/// The targets at which a host may place its first waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Grant {
  /// All targets: no other host competes for them.
  All,
  /// The targets with these fingerprints, in ascending order.
  Only {
    /// Targets at which requests of this host ended that the other hosts still count.
    freed: Vec<u64>,
    /// Targets at which free room fell to this host.
    granted: Vec<u64>,
  },
}

impl Grant {
  /// Returns whether the request may be placed at a target.
  pub fn allows(&self, target: u64) -> bool {
    match self {
      Self::All => true,
      Self::Only { granted, .. } => granted.binary_search(&target).is_ok() || self.is_freed(target),
    }
  }

  /// Returns its name in metrics.
  pub fn name(&self) -> &'static str {
    match self {
      Self::All => "all",
      Self::Only { freed, granted } if freed.is_empty() && granted.is_empty() => "none",
      Self::Only { .. } => "some",
    }
  }

  /// Returns whether the request takes the place of another one of this host there.
  pub fn is_freed(&self, target: u64) -> bool {
    match self {
      Self::All => false,
      Self::Only { freed, .. } => freed.binary_search(&target).is_ok(),
    }
  }
}
