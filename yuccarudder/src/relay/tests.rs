use {super::*, proptest::prelude::*};

fn events(from: u64, to: u64) -> String {
  (from..=to).map(|id| format!("id: {id}\ndata: token {id}\n\n")).collect()
}

#[test]
fn incomplete_event_is_buffered() {
  let mut cursor = Cursor::new(None);
  assert_eq!(cursor.feed(b"id: 1\ndata: a").unwrap(), "");
  assert!(cursor.has_partial_event());
  assert_eq!(cursor.feed(b"\n\nid: 2").unwrap(), "id: 1\ndata: a\n\n");
  assert_eq!((cursor.last_event_id(), cursor.event_count()), (Some(1), 1));
}

#[test]
fn incomplete_event_is_discarded_before_another_run() {
  let mut cursor = Cursor::new(None);
  cursor.feed(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
  cursor.discard_partial_event();
  assert_eq!(
    cursor.feed(events(2, 2).as_bytes()).unwrap(),
    events(2, 2).as_str()
  );
}

#[test]
fn events_without_id_are_relayed() {
  let mut cursor = Cursor::new(Some(4));
  assert_eq!(cursor.feed(b": note\n\n").unwrap(), ": note\n\n");
  assert_eq!(cursor.last_event_id(), Some(4));
}

/// Guards against a task that ends because of the number by which a caller resumes a stream.
#[test]
fn events_after_the_largest_id_are_counted() {
  let mut cursor = Cursor::new(Some(u64::MAX));
  cursor.feed(b"data: a\n\n").unwrap();
  assert_eq!(cursor.total_event_count(), u64::MAX);
}

/// Defines a test: a line of an event, and whether the event is relayed. Guards against errors that a target
/// writes into its own stream.
macro_rules! line_test {
  ($name:ident, $line:expr, $is_relayed:expr) => {
    #[test]
    fn $name() {
      for event in [
        format!("{}\n\n", $line),
        format!("id: 4\n{}\n\n", $line),
        format!("id: 4\ndata: a\n{}\n\n", $line),
      ] {
        let result = Cursor::new(Some(3)).feed(event.as_bytes());
        let expected = if $is_relayed {
          Ok(event.into())
        } else {
          Err(Error::Malformed)
        };
        assert_eq!(result, expected);
      }
    }
  };
}

line_test!(comment, ": note", true);
line_test!(data_with_colons, "data: {\"a\": 1}", true);
line_test!(empty_data, "data", true);
line_test!(field_of_a_version, "x-weight-versions:3", true);
line_test!(line_with_a_carriage_return, "data: a\r", true);
line_test!(status_line, "HTTP/1.1 500 Internal Server Error\r", false);
line_test!(
  data_cut_by_a_status_line,
  "daHTTP/1.1 500 Internal Server Error",
  false
);
line_test!(header, "Content-Length: 5\r", false);
line_test!(text, "upstream failed", false);
line_test!(json, "{\"error\": \"failed\"}", false);
line_test!(markup, "<html>", false);

/// Defines a test: events of which each is relayed with the bytes that end it, however they are split. Guards
/// against streams of which nothing is relayed because their lines end with CRLF or CR.
macro_rules! line_end_test {
  ($name:ident, $events:expr) => {
    #[test]
    fn $name() {
      let text = $events.concat();
      for first_length in 0..=text.len() {
        let (first, rest) = text.as_bytes().split_at(first_length);
        let mut cursor = Cursor::new(None);
        let mut relayed = cursor.feed(first).unwrap().to_vec();
        relayed.extend_from_slice(&cursor.feed(rest).unwrap());
        assert_eq!(std::str::from_utf8(&relayed).unwrap(), text);
        assert_eq!(cursor.last_event_id(), Some($events.len() as u64));
        assert_eq!(cursor.event_count(), $events.len() as u64);
        assert!(!cursor.has_partial_event());
      }
      let mut cursor = Cursor::new(None);
      for event in $events {
        assert_eq!(cursor.feed(event.as_bytes()).unwrap(), event);
      }
    }
  };
}

line_end_test!(
  lines_that_end_with_lf,
  ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"]
);
line_end_test!(
  lines_that_end_with_crlf,
  ["id: 1\r\ndata: a\r\n\r\n", "id: 2\r\ndata: b\r\n\r\n"]
);
line_end_test!(
  lines_that_end_with_cr,
  ["id: 1\rdata: a\r\r", "id: 2\rdata: b\r\r"]
);
line_end_test!(
  lines_of_an_event_that_end_with_crlf_and_others_with_lf,
  ["id: 1\r\ndata: a\n\n", "id: 2\ndata: b\n\r\n"]
);
line_end_test!(
  blank_lines_between_events,
  ["id: 1\ndata: a\n\n\n", "id: 2\r\ndata: b\r\n\r\n\r\n"]
);

/// Guards against two events that are joined because the run of the first one broke off within its line end.
#[test]
fn run_that_breaks_off_within_a_line_end_is_continued_with_its_last_event() {
  let mut cursor = Cursor::new(None);
  assert_eq!(cursor.feed(b"id: 1\r\ndata: a\r\n\r").unwrap(), "");
  cursor.discard_partial_event();
  let again = "id: 1\r\ndata: a\r\n\r\n";
  assert_eq!(cursor.feed(again.as_bytes()).unwrap(), again);
}

/// Guards against text with a CR that counts as none of an event.
#[test]
fn carriage_return_in_data_is_relayed() {
  let event = "id: 1\ndata: a\rb\n\n";
  assert_eq!(Cursor::new(None).feed(event.as_bytes()).unwrap(), event);
}

/// Returns events with the given ids.
fn numbered(ids: &[u64]) -> String {
  ids.iter().map(|id| events(*id, *id)).collect()
}

/// Feeds runs, given by the ids of their events, to the cursor of a stream.
fn feed_runs(cursor: &mut Cursor, runs: &[&[u64]]) -> Result<(), Error> {
  for ids in runs {
    cursor.discard_partial_event();
    cursor.feed(numbered(ids).as_bytes())?;
  }
  Ok(())
}

fn out_of_order(expected: u64, found: u64) -> Result<(), Error> {
  Err(Error::OutOfOrder { expected, found })
}

/// Defines a test: the event after which the caller resumes the stream, the ids of its runs, and the
/// result. Guards against sound streams that are cut because an event has several tokens, and against
/// pieces that are missing or repeated.
macro_rules! order_test {
  ($name:ident, $after:expr, $runs:expr, $expected:expr) => {
    #[test]
    fn $name() {
      let runs: &[&[u64]] = &$runs;
      assert_eq!(feed_runs(&mut Cursor::new($after), runs), $expected);
    }
  };
}

order_test!(consecutive_event, Some(3), [&[4]], Ok(()));
order_test!(
  missing_event_in_the_second_run,
  None,
  [&[1, 2, 3], &[5]],
  out_of_order(4, 5)
);
order_test!(
  missing_event_in_the_third_run,
  None,
  [&[1, 2], &[3], &[5]],
  out_of_order(4, 5)
);
order_test!(
  missing_event_after_runs_of_one_event,
  None,
  [&[1], &[2], &[4]],
  out_of_order(3, 4)
);
order_test!(
  missing_event_after_two_events_of_a_resumed_stream,
  Some(3),
  [&[4, 5], &[7]],
  out_of_order(6, 7)
);
order_test!(
  repeated_event_of_a_resumed_stream,
  Some(3),
  [&[3]],
  out_of_order(4, 3)
);
order_test!(
  repeated_event_in_the_second_run,
  None,
  [&[1, 2, 3], &[3]],
  out_of_order(4, 3)
);
order_test!(
  second_run_from_the_start,
  None,
  [&[1, 2, 3], &[1, 2, 3, 4]],
  out_of_order(4, 1)
);
order_test!(
  repeated_event_of_a_run,
  None,
  [&[1, 2, 2]],
  out_of_order(3, 2)
);
order_test!(run_that_goes_back, None, [&[1, 5, 4]], out_of_order(6, 4));
order_test!(
  last_tokens_of_events,
  None,
  [&[4, 8, 12], &[16, 20, 22]],
  Ok(())
);
order_test!(
  missing_tokens,
  None,
  [&[4, 8, 12], &[20]],
  out_of_order(16, 20)
);
order_test!(
  missing_tokens_of_a_resumed_stream,
  Some(8),
  [&[12, 16], &[24]],
  out_of_order(20, 24)
);
order_test!(
  repeated_tokens,
  None,
  [&[4, 8, 12], &[12]],
  out_of_order(13, 12)
);
order_test!(
  run_that_begins_with_a_short_event,
  None,
  [&[4, 8, 12], &[13, 17]],
  Ok(())
);
order_test!(
  first_tokens_of_events,
  None,
  [&[1, 5, 9], &[13, 17]],
  Ok(())
);
order_test!(
  varying_numbers_of_tokens,
  None,
  [&[1, 5, 6], &[10, 11]],
  Ok(())
);
order_test!(
  several_tokens_in_the_second_event,
  None,
  [&[1], &[5, 6]],
  Ok(())
);
order_test!(
  several_tokens_in_the_first_event_of_a_resumed_stream,
  Some(8),
  [&[12]],
  Ok(())
);
order_test!(highest_id, None, [&[u64::MAX]], Ok(()));
order_test!(
  event_after_the_highest_id,
  Some(u64::MAX),
  [&[4]],
  out_of_order(u64::MAX, 4)
);

/// Defines a test: the event after which the caller resumes the stream, the ids of its runs, and the
/// number of events that the caller has received before. Guards against a run whose length is
/// overestimated by the number of tokens in an event, as if the ids of tokens were those of events.
macro_rules! earlier_events_test {
  ($name:ident, $after:expr, $runs:expr, $expected:expr) => {
    #[test]
    fn $name() {
      let mut cursor = Cursor::new($after);
      feed_runs(&mut cursor, &$runs).unwrap();
      assert_eq!(cursor.earlier_event_count(), $expected);
    }
  };
}

earlier_events_test!(none_before_a_new_stream, None, [&[4, 8]], 0);
earlier_events_test!(unknown_step, Some(8), [&[]], 8);
earlier_events_test!(step_of_one, Some(8), [&[9, 10, 11]], 8);
earlier_events_test!(step_of_four, Some(8), [&[12, 16]], 2);
earlier_events_test!(uneven_steps, Some(8), [&[9, 12, 14]], 4);
earlier_events_test!(
  highest_last_event,
  Some(u64::MAX - 1),
  [&[u64::MAX]],
  u64::MAX - 1
);

/// Guards against a stream without ids that counts as empty, and events that come twice because another
/// run repeats what has no id.
#[test]
fn stream_cannot_be_resumed_after_an_event_without_an_id() {
  let mut cursor = Cursor::new(None);
  let mut feed = |text: &str| {
    cursor.feed(text.as_bytes()).unwrap();
    (cursor.event_count(), cursor.is_resumable())
  };
  assert_eq!(feed(": note\n\n"), (0, true));
  assert_eq!(feed("data: a\n\n"), (1, false));
  assert_eq!(feed("id: 1\ndata: b\n\n"), (2, true));
  assert_eq!(feed("id: chat\ndata: c\n\n"), (3, false));
  assert_eq!(feed("event: ping\n\nretry: 5\n\n"), (3, false));
  assert_eq!(feed("id: 2\ndata: d\n\n"), (4, true));
  assert_eq!(feed("data\n\n"), (5, false));
}

proptest! {
  /// For any chunk sizes and any number of runs that end early, all events are relayed once,
  /// complete and in order.
  #[test]
  fn events_are_relayed_once_and_in_order(chunk_sizes in prop::collection::vec(1_usize..40, 1..60), run_lengths in prop::collection::vec(0_usize..300, 0..4)) {
    const LAST: u64 = 12;
    let mut cursor = Cursor::new(None);
    let mut relayed = String::new();
    let mut chunk_sizes = chunk_sizes.into_iter().cycle();
    for run_length in run_lengths.into_iter().chain([usize::MAX]) {
      cursor.discard_partial_event();
      let text = events(cursor.last_event_id().unwrap_or(0) + 1, LAST);
      let mut remaining = &text.as_bytes()[..run_length.min(text.len())];
      while !remaining.is_empty() {
        let (chunk, tail) = remaining.split_at(chunk_sizes.next().unwrap().min(remaining.len()));
        let complete_events = cursor.feed(chunk).unwrap();
        relayed.push_str(std::str::from_utf8(&complete_events).unwrap());
        remaining = tail;
      }
    }
    prop_assert_eq!(relayed, events(1, LAST));
  }

  /// Any line ends and any chunk sizes give the same events, whose bytes are relayed unchanged.
  #[test]
  fn events_are_the_same_with_any_line_ends(
    line_ends in prop::collection::vec(prop::sample::select(vec!["\n", "\r\n", "\r"]), 1..40),
    is_mixed in any::<bool>(),
    chunk_sizes in prop::collection::vec(1_usize..40, 1..60),
  ) {
    const LAST: u64 = 12;
    let mut line_ends = line_ends.iter().cycle();
    let mut text = String::new();
    let lines = events(1, LAST);
    let mut last_line_end = *line_ends.next().unwrap();
    for line in lines.lines() {
      // A blank line that ends with LF after a line that ends with CR would be no line.
      let line_end = *line_ends.next().unwrap();
      if is_mixed && (last_line_end, line_end) != ("\r", "\n") {
        last_line_end = line_end;
      }
      text += line;
      text += last_line_end;
    }
    let mut cursor = Cursor::new(None);
    let mut relayed = Vec::new();
    let mut chunk_sizes = chunk_sizes.into_iter().cycle();
    let mut remaining = text.as_bytes();
    while !remaining.is_empty() {
      let (chunk, tail) = remaining.split_at(chunk_sizes.next().unwrap().min(remaining.len()));
      relayed.extend_from_slice(&cursor.feed(chunk).unwrap());
      remaining = tail;
      let complete = relayed.split(|byte| matches!(byte, b'\r' | b'\n')).filter(|line| line.starts_with(b"id")).count();
      prop_assert_eq!(cursor.event_count(), complete as u64);
    }
    relayed.extend_from_slice(&cursor.take_partial_event());
    prop_assert_eq!(std::str::from_utf8(&relayed).unwrap(), text);
    prop_assert!(cursor.event_count() >= LAST - 1);
    prop_assert!(is_mixed || cursor.last_event_id() == Some(LAST));
  }

  /// For any chunk sizes, any numbers of tokens in the events and any runs, each of which goes on after
  /// the last event, all events are relayed once, complete and in order.
  #[test]
  fn sound_events_are_relayed_whatever_their_tokens(
    steps in prop_oneof![
      prop::collection::vec(Just(1_u64), 1..20),
      prop::collection::vec(Just(4_u64), 1..20),
      // A varying number of tokens counts as such from the second event of a run on.
      prop::collection::vec(1_u64..9, 1..20)
        .prop_map(|steps| [vec![1, 3, 1], steps].concat()),
    ],
    chunk_sizes in prop::collection::vec(1_usize..40, 1..60),
    cuts in prop::collection::vec((3_usize..20, 0_usize..20), 0..4),
  ) {
    let ids: Vec<u64> = steps.iter().scan(0, |id, step| { *id += step; Some(*id) }).collect();
    let mut cursor = Cursor::new(None);
    let mut relayed = String::new();
    let mut chunk_sizes = chunk_sizes.into_iter().cycle();
    for (event_count, part_length) in cuts.into_iter().chain([(usize::MAX, 0)]) {
      cursor.discard_partial_event();
      let last_id = cursor.last_event_id().unwrap_or(0);
      let rest: Vec<u64> = ids.iter().copied().filter(|id| *id > last_id).collect();
      let (run, later) = rest.split_at(event_count.min(rest.len()));
      let part = later.first().map(|id| events(*id, *id)).unwrap_or_default();
      let text = numbered(run) + &part[..part_length.min(part.len())];
      let mut remaining = text.as_bytes();
      while !remaining.is_empty() {
        let (chunk, tail) = remaining.split_at(chunk_sizes.next().unwrap().min(remaining.len()));
        relayed.push_str(std::str::from_utf8(&cursor.feed(chunk).unwrap()).unwrap());
        remaining = tail;
      }
    }
    prop_assert_eq!(relayed, numbered(&ids));
    prop_assert_eq!(cursor.event_count(), ids.len() as u64);
    prop_assert_eq!(cursor.earlier_event_count(), 0);
  }

  /// After any number of runs of events with a fixed step, a run that leaves out events, repeats some or
  /// goes back is an error, however its bytes are split.
  #[test]
  fn missing_and_repeated_events_are_errors(
    step in 1_u64..9,
    run_lengths in prop::collection::vec(1_u64..6, 1..4),
    next in prop_oneof![0_u64..30, Just(u64::MAX)],
    chunk_size in 1_usize..40,
  ) {
    let mut cursor = Cursor::new(None);
    let mut last = 0;
    for run_length in run_lengths {
      cursor.discard_partial_event();
      let ids: Vec<u64> = (last + 1..=last + run_length).map(|number| number * step).collect();
      last += run_length;
      cursor.feed(numbered(&ids).as_bytes()).unwrap();
    }
    prop_assume!(last >= 2 && next != last + 1);
    cursor.discard_partial_event();
    let text = numbered(&[next.saturating_mul(step)]);
    let mut chunks = text.as_bytes().chunks(chunk_size);
    prop_assert!(chunks.any(|chunk| cursor.feed(chunk).is_err()));
    prop_assert_eq!(cursor.last_event_id(), Some(last * step));
  }

  /// Within a run, events that are repeated or reordered are errors, whatever the ids.
  #[test]
  fn events_of_a_run_never_go_back(
    steps in prop::collection::vec(1_u64..9, 2..20),
    from in 0_usize..20,
    to in 0_usize..20,
    is_repeated in any::<bool>(),
    chunk_size in 1_usize..40,
  ) {
    let mut ids: Vec<u64> = steps.iter().scan(0, |id, step| { *id += step; Some(*id) }).collect();
    let (from, to) = (from % ids.len(), to % ids.len());
    if is_repeated {
      let id = ids[from.min(to)];
      ids.insert(from.max(to), id);
    } else {
      ids.swap(from, to);
    }
    prop_assume!(!ids.is_sorted_by(|a, b| a < b));
    let mut cursor = Cursor::new(None);
    let text = numbered(&ids);
    let mut chunks = text.as_bytes().chunks(chunk_size);
    prop_assert!(chunks.any(|chunk| cursor.feed(chunk).is_err()));
  }
}
