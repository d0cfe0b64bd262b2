//! CPU time of the threads of this process by thread name, read from `/proc` (Linux).

use std::{fs, time::Duration};

/// Unit of the times in `/proc`: USER_HZ of Linux.
const TICKS_PER_SECOND: u64 = 100;

/// Returns the CPU time that all threads with a name have used so far, or zero if `/proc` cannot be
/// read.
pub fn thread_time(name: &str) -> Duration {
  let Ok(tasks) = fs::read_dir("/proc/self/task") else {
    return Duration::ZERO;
  };
  let ticks: u64 = tasks
    .flatten()
    .filter_map(|task| fs::read_to_string(task.path().join("stat")).ok())
    .filter_map(|stat| thread_ticks(&stat, name))
    .sum();
  Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}

/// Returns the user and system ticks (fields 14 and 15) in the text of a `stat` file, or `None` if
/// the thread has another name.
fn thread_ticks(stat: &str, name: &str) -> Option<u64> {
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
