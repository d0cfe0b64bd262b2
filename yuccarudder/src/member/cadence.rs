use std::time::Duration;

/// Time between two pulses of a host in a small fleet.
const PERIOD: Duration = Duration::from_millis(200);
/// Time between two pulses of a host in a large fleet.
const MAX_PERIOD: Duration = Duration::from_secs(1);
/// Hosts up to which every host can afford the shortest period.
const SMALL_FLEET: f64 = 15.0;
/// Time that the pulses of a host take its processor and link for each other host.
const NEWS: Duration = Duration::from_millis(2);
/// Shortest silence after which a host counts as gone.
const SILENCE: Duration = Duration::from_millis(1300);
/// Pulses that a host may miss before it counts as gone.
const MISSED: f64 = 3.5;

/// Returns the time between two pulses of a host: what a host sends and receives grows
/// with the fleet, so it does it less often.
pub fn heartbeat_interval(hosts: usize) -> Duration {
  let factor = (hosts as f64 / SMALL_FLEET).max(1.0);
  PERIOD.mul_f64(factor).min(MAX_PERIOD)
}

/// Returns the shortest time between two pulses when there is news.
pub fn min_heartbeat_interval(hosts: usize) -> Duration {
  NEWS
    .saturating_mul(u32::try_from(hosts).unwrap_or(u32::MAX))
    .min(heartbeat_interval(hosts))
}

/// Returns the silence after which a host counts as gone.
pub fn failure_timeout(hosts: usize) -> Duration {
  heartbeat_interval(hosts).mul_f64(MISSED).max(SILENCE)
}
