use std::{
  collections::{BTreeMap, HashSet},
  time::Instant,
};

/// The crashes under one part.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
  /// When each target crashed.
  pub targets: BTreeMap<u64, Instant>,
  /// Targets whose crash no ban covers.
  pub uncovered: HashSet<u64>,
}

impl Evidence {
  /// Returns the number of crashes that the part explains, of those that are `counted`.
  ///
  /// Crashes at the same time count once if one of them was not under the part, since that one had
  /// a cause that the others may share.
  pub fn count(&self, groups: &[Vec<u64>], counted: impl Fn(u64) -> bool) -> usize {
    let count_group = |group: &Vec<u64>| {
      let under_part = group.iter().filter(|target| self.targets.contains_key(target));
      let all = under_part.clone().count() == group.len();
      let counted = under_part.filter(|target| counted(**target)).count();
      if all { counted } else { counted.min(1) }
    };
    groups.iter().map(count_group).sum()
  }

  /// Returns when the first target crashed.
  pub fn first(&self) -> Option<Instant> {
    self.targets.values().min().copied()
  }
}
