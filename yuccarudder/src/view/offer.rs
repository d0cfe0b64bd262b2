use crate::yaml::Fault;

/// What became of a document that was offered to a view.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
  /// It is in force.
  Accepted,
  /// It has faults, so the last accepted one stays in force.
  Refused(Vec<Fault>),
  /// It is older than one seen before and was ignored.
  Stale,
  /// Its revision was seen before.
  Unchanged,
}
