use {
  std::{sync::LazyLock, time::Instant},
  yuccarudder::generation::Id,
};

static EPOCH: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Returns the time since the process first asked, in nanoseconds.
pub fn stamp() -> u64 {
  u64::try_from(EPOCH.elapsed().as_nanos()).unwrap_or(u64::MAX)
}

/// Returns the text of one token, which names its generation and index.
pub fn token(generation: Id, index: u64) -> String {
  let [a, b, c, ..] = generation.0;
  format!("{a:02x}{b:02x}{c:02x}:{index} ")
}
