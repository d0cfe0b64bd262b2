use {
  std::{sync::LazyLock, time::Instant},
  yuccarudder::generation::Id,
};

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Returns the time since the first call in this process, in nanoseconds.
pub fn timestamp_ns() -> u64 {
  u64::try_from(START.elapsed().as_nanos()).unwrap_or(u64::MAX)
}

/// Returns the text of a token, which contains a prefix of its generation ID and its index.
pub fn token_text(generation: Id, index: u64) -> String {
  let [a, b, c, ..] = generation.0;
  format!("{a:02x}{b:02x}{c:02x}:{index} ")
}
