//! Processor time of the threads of this process, by thread name (Linux).

use std::{fs, time::Duration};

const TICKS_PER_SECOND: u64 = 100;

/// Returns the processor time so far of all threads with a name.
///
/// Returns zero where `/proc` cannot be read.
pub fn of_threads(name: &str) -> Duration {
  let Ok(tasks) = fs::read_dir("/proc/self/task") else {
    return Duration::ZERO;
  };
  let ticks: u64 = tasks
    .flatten()
    .filter_map(|task| fs::read_to_string(task.path().join("stat")).ok())
    .filter_map(|stat| ticks(&stat, name))
    .sum();
  Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}

/// Reads user and system ticks from a line of `stat`, if it is of a thread with the name.
fn ticks(stat: &str, name: &str) -> Option<u64> {
  let (head, tail) = stat.rsplit_once(')')?;
  let (_, comm) = head.split_once('(')?;
  if comm != name {
    return None;
  }
  let mut fields = tail.split_whitespace().skip(11);
  let user: u64 = fields.next()?.parse().ok()?;
  let system: u64 = fields.next()?.parse().ok()?;
  Some(user + system)
}
