use crate::yaml::Fault;

/// What a view did with a document that was offered to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
  /// The document is in force now.
  Accepted,
  /// The document is invalid, so the last accepted one stays in force.
  Refused(Vec<Fault>),
  /// The document is older than the one in force and was ignored.
  Stale,
  /// The revision is in force, or it is the newest seen and was refused before.
  Unchanged,
}
