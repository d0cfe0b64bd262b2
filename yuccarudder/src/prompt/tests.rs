use {
  super::*,
  std::time::{Duration, Instant},
};

const CAPACITY: u64 = 30_000;
const TARGET: u64 = 1;

fn prompt<'a>(parts: &'a [u64], part_tokens: &'a [u64]) -> Prompt<'a> {
  Prompt {
    parts,
    part_tokens,
    tokens: 3_000,
  }
}

/// Guards against parts that count although the engine has to process one before them.
#[test]
fn part_behind_a_missing_one_saves_nothing() {
  let now = Instant::now();
  let mut table = Table::default();
  table.record(
    TARGET,
    &prompt(&[1, 2, 3], &[100, 200, 2_700]),
    CAPACITY,
    now,
  );
  let held =
    |parts, tokens| table.held_tokens(TARGET, &prompt(parts, tokens), u64::from(u32::MAX), now);
  assert_eq!(held(&[1, 2, 4], &[100, 200, 2_700]), 300);
  assert_eq!(held(&[1, 5, 2], &[100, 200, 200]), 100);
  assert_eq!(held(&[5, 1, 2], &[100, 100, 200]), 0);
}

/// Guards against parts that count although newer prompts have taken their place, or long after their use.
#[test]
fn parts_are_gone_after_their_memory_was_reused() {
  let start = Instant::now();
  let mut table = Table::default();
  let ours = prompt(&[1, 2], &[400, 2_600]);
  table.record(TARGET, &ours, CAPACITY, start);
  assert_eq!(table.held_tokens(TARGET, &ours, 6_000, start), 3_000);
  table.take_in(TARGET, 3_000);
  assert_eq!(table.held_tokens(TARGET, &ours, 6_000, start), 1_500);
  assert_eq!(table.held_tokens(TARGET, &ours, 3_000, start), 0);
  table.take_in(TARGET, 3_000);
  assert_eq!(table.held_tokens(TARGET, &ours, 6_000, start), 0);
  let later = start + Duration::from_secs(60);
  assert_eq!(table.held_tokens(TARGET, &ours, u64::MAX, later), 0);
}
