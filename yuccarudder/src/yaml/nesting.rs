use {
  saphyr_parser::{Event, Parser, ScanError},
  std::collections::HashMap,
};

/// Levels of nesting that a document may have, many more than any of ours has. Values are read and dropped
/// level by level, so that each one takes stack.
pub const MAX_LEVELS: usize = 64;

/// A list or mapping that is not complete yet.
struct Open {
  anchor: usize,
  /// Number of levels in it so far.
  levels: usize,
}

/// Returns the line at which a document exceeds [`MAX_LEVELS`], if it does. A line that repeats an earlier
/// part of the document has the levels of that part.
///
/// # Errors
///
/// Fails when the document is not well-formed.
pub fn find_excess(text: &str) -> Result<Option<usize>, ScanError> {
  let mut open: Vec<Open> = Vec::new();
  let mut levels_by_anchor: HashMap<usize, usize> = HashMap::new();
  for event in Parser::new_from_str(text) {
    let (event, span) = event?;
    let inner_levels = match event {
      Event::SequenceStart(anchor, _) | Event::MappingStart(anchor, _) => {
        open.push(Open { anchor, levels: 0 });
        0
      }
      Event::SequenceEnd | Event::MappingEnd => open.pop().map_or(0, |closed| {
        levels_by_anchor.insert(closed.anchor, closed.levels + 1);
        closed.levels + 1
      }),
      Event::Alias(anchor) => levels_by_anchor.get(&anchor).copied().unwrap_or(0),
      _ => 0,
    };
    if open.len() + inner_levels > MAX_LEVELS {
      return Ok(Some(span.start.line()));
    }
    if let Some(parent) = open.last_mut() {
      parent.levels = parent.levels.max(inner_levels);
    }
  }
  Ok(None)
}
