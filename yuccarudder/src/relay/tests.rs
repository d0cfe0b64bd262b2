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

/// Defines a test: the id of an event that is fed after event 3, and the result.
macro_rules! order_test {
  ($name:ident, $id:expr, $expected:expr) => {
    #[test]
    fn $name() {
      let mut cursor = Cursor::new(Some(3));
      let result = cursor.feed(events($id, $id).as_bytes()).map(|_| ());
      assert_eq!(result, $expected);
    }
  };
}

order_test!(consecutive_event, 4, Ok(()));
order_test!(
  missing_event,
  5,
  Err(Error::OutOfOrder {
    expected: 4,
    found: 5
  })
);
order_test!(
  repeated_event,
  3,
  Err(Error::OutOfOrder {
    expected: 4,
    found: 3
  })
);

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
}
