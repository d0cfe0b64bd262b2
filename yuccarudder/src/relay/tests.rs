use {super::*, proptest::prelude::*};

fn events(from: u64, to: u64) -> String {
  (from..=to).map(|id| format!("id: {id}\ndata: token {id}\n\n")).collect()
}

#[test]
fn part_of_an_event_is_held_back() {
  let mut cursor = Cursor::new(None);
  assert_eq!(cursor.feed(b"id: 1\ndata: a").unwrap(), "");
  assert!(cursor.has_partial_event());
  assert_eq!(cursor.feed(b"\n\nid: 2").unwrap(), "id: 1\ndata: a\n\n");
  assert_eq!((cursor.last_event_id(), cursor.event_count()), (Some(1), 1));
}

#[test]
fn part_of_an_event_is_dropped_when_another_run_goes_on() {
  let mut cursor = Cursor::new(None);
  cursor.feed(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
  cursor.discard_partial_event();
  assert_eq!(
    cursor.feed(events(2, 2).as_bytes()).unwrap(),
    events(2, 2).as_str()
  );
}

#[test]
fn comments_and_fields_without_id_pass() {
  let mut cursor = Cursor::new(Some(4));
  assert_eq!(cursor.feed(b": note\n\n").unwrap(), ": note\n\n");
  assert_eq!(cursor.last_event_id(), Some(4));
}

/// Names a case: the ids fed after event 3 and the fault.
macro_rules! breaks_order {
  ($name:ident, $id:expr, $expected:expr) => {
    #[test]
    fn $name() {
      let mut cursor = Cursor::new(Some(3));
      let fed = cursor.feed(events($id, $id).as_bytes()).map(|_| ());
      assert_eq!(fed, $expected);
    }
  };
}

breaks_order!(next_event, 4, Ok(()));
breaks_order!(
  event_missing,
  5,
  Err(Fault::OutOfOrder {
    expected: 4,
    found: 5
  })
);
breaks_order!(
  event_again,
  3,
  Err(Fault::OutOfOrder {
    expected: 4,
    found: 3
  })
);

proptest! {
  /// However the bytes are cut, all events come out once, whole and in order, also over
  /// runs that each break off somewhere.
  #[test]
  fn events_come_once_and_in_order(cuts in prop::collection::vec(1_usize..40, 1..60), breaks in prop::collection::vec(0_usize..300, 0..4)) {
    const LAST: u64 = 12;
    let mut cursor = Cursor::new(None);
    let mut out = String::new();
    let mut cuts = cuts.into_iter().cycle();
    for end in breaks.into_iter().chain([usize::MAX]) {
      cursor.discard_partial_event();
      let text = events(cursor.last_event_id().unwrap_or(0) + 1, LAST);
      let mut rest = &text.as_bytes()[..end.min(text.len())];
      while !rest.is_empty() {
        let (now, later) = rest.split_at(cuts.next().unwrap().min(rest.len()));
        let passed = cursor.feed(now).unwrap();
        out.push_str(std::str::from_utf8(&passed).unwrap());
        rest = later;
      }
    }
    prop_assert_eq!(out, events(1, LAST));
  }
}
