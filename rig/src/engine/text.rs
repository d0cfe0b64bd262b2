use yuccarudder::generation::Id;

/// Returns the text of one token, which names its generation and index.
pub fn token(generation: Id, index: u64) -> String {
  let [a, b, c, ..] = generation.0;
  format!("{a:02x}{b:02x}{c:02x}:{index} ")
}
