use std::time::Duration;

/// Heartbeat interval of a small fleet.
const MIN_INTERVAL: Duration = Duration::from_millis(200);
/// Heartbeat interval of a large fleet.
const MAX_INTERVAL: Duration = Duration::from_secs(1);
/// Largest number of hosts at which every host can afford the shortest interval.
const SMALL_FLEET_HOSTS: f64 = 15.0;
/// Time for which one round of heartbeats occupies the processor and the link of a host, for each
/// other host.
const SEND_TIME_PER_HOST: Duration = Duration::from_millis(2);
/// Shortest time without a heartbeat after which a host counts as failed.
const MIN_FAILURE_TIMEOUT: Duration = Duration::from_millis(1300);
/// Heartbeat intervals without a heartbeat after which a host counts as failed.
const MISSED_INTERVALS: f64 = 3.5;

/// Returns the time between two heartbeats of a host.
///
/// The heartbeats that a host sends and receives in each interval grow with the fleet, so a
/// larger fleet has a longer interval.
pub fn heartbeat_interval(hosts: usize) -> Duration {
  let factor = (hosts as f64 / SMALL_FLEET_HOSTS).max(1.0);
  MIN_INTERVAL.mul_f64(factor).min(MAX_INTERVAL)
}

/// Returns the shortest time between two heartbeats when a change is to be sent early.
pub fn min_heartbeat_interval(hosts: usize) -> Duration {
  SEND_TIME_PER_HOST
    .saturating_mul(u32::try_from(hosts).unwrap_or(u32::MAX))
    .min(heartbeat_interval(hosts))
}

/// Returns the time without a heartbeat after which a host counts as failed.
pub fn failure_timeout(hosts: usize) -> Duration {
  heartbeat_interval(hosts).mul_f64(MISSED_INTERVALS).max(MIN_FAILURE_TIMEOUT)
}
