/// What the targets that a request may be sent to have in common.
#[derive(Clone, Copy, Debug)]
pub struct Survey {
  /// Mean gap of the known targets, in seconds; targets without a record are assumed to have it.
  pub(super) mean_gap: f64,
  /// Lowest rate of broken pauses at one of the targets, for the stream of the request.
  pub(super) own_floor: f64,
  /// The same for the streams that run there.
  pub(super) shared_floor: f64,
}
