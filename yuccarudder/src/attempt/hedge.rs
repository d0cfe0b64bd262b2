use {super::History, std::time::Duration};

/// Share of the time left for which an attempt may be without an answer before another one is made
/// beside it, so that both have time to succeed.
const ATTEMPT_TIME_SHARE: f64 = 0.4;
/// Least time left in which another attempt is worth making.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Returns the time after which another attempt may be made beside those that have no answer yet;
/// `None` if none may. All of them count as possible runs in `history`.
///
/// Silence does not tell a lost answer from a slow one, so the first attempt is not given up.
pub fn hedge_delay(history: &History, time_left: Duration) -> Option<Duration> {
  let may_run = history.repeatable && history.possible_runs < history.max_runs;
  (may_run && time_left >= MIN_TIME_LEFT).then(|| time_left.mul_f64(ATTEMPT_TIME_SHARE))
}
