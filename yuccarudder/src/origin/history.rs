use std::{collections::BTreeSet, time::Duration};

/// When an item of the store was written, by the revisions of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Revisions {
  /// At which it was created.
  pub created: u64,
  /// At which it last changed.
  pub changed: u64,
}

/// When the items of a current list were written.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Inventory {
  /// Revision at which the first catalog was published, if the list has the catalog.
  pub first_catalog: Option<u64>,
  /// All items.
  pub items: Vec<Revisions>,
  /// Revision as of which the list has all items.
  pub listed: u64,
}

/// What the store shows of the time before a process started.
#[derive(Clone, Debug, Default)]
pub struct History {
  documents: Option<Inventory>,
  /// The targets, and when they were asked for, since boot.
  targets: Option<(Inventory, Duration)>,
}

impl History {
  /// Records a list of the operator's documents.
  pub fn record_documents(&mut self, documents: Inventory) {
    self.documents = Some(documents);
  }

  /// Records a list of the targets, which was asked for at a time since boot.
  pub fn record_targets(&mut self, targets: Inventory, requested_at: Duration) {
    self.targets = Some((targets, requested_at));
  }

  /// Returns whether the listed targets are all that have been in service, at the versions that they have
  /// now, up to the returned time since boot; `None` until both lists are known.
  pub fn verdict(&self) -> Option<(bool, Duration)> {
    let (targets, requested_at) = self.targets.as_ref()?;
    Some((
      is_complete(self.documents.as_ref()?, targets),
      *requested_at,
    ))
  }
}

/// Returns whether no target can have left or changed since the first catalog was published, before which no
/// request was served, and the catalog is still that one: another may have led a route to other services.
///
/// Each change has a revision of its own. One that no listed item accounts for may be the removal of a
/// target, and the last change of a target may have replaced its version.
fn is_complete(documents: &Inventory, targets: &Inventory) -> bool {
  let Some(first_catalog) = documents.first_catalog else {
    return false;
  };
  let is_first = |item: &Revisions| item.created == first_catalog && item.changed == first_catalog;
  if !documents.items.iter().any(is_first) {
    return false;
  }
  let is_unchanged =
    |item: &Revisions| item.changed == item.created || item.changed <= first_catalog;
  if targets.listed < first_catalog || !targets.items.iter().all(is_unchanged) {
    return false;
  }
  let items = documents.items.iter().chain(&targets.items);
  let revisions = items.flat_map(|item| [item.created, item.changed]);
  let since = first_catalog + 1..=targets.listed;
  let accounted: BTreeSet<u64> = revisions.filter(|revision| since.contains(revision)).collect();
  accounted.len() as u64 == targets.listed - first_catalog
}
