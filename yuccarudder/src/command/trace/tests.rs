use super::*;

const FILE: &str = r#"
   1.20 east-1 {"timestamp":"2026-01-01T00:00:01.2","target":"sending","message":"Sent a request to a target.","kvs":{"id":"a","outcome":"answered"}}
   3.50 east-1 {"timestamp":"2026-01-01T00:00:03.5","target":"session","message":"A stream ended.","kvs":{"id":"a","end":"lost","moves":1}}
{"timestamp":"2026-01-01T00:00:01.0","target":"placed","message":"Chose a target.","kvs":{"id":"a"}}
{"timestamp":"2026-01-01T00:00:02.0","target":"front","message":"Refused a request.","kvs":{"id":"b","reason":"targets_busy","ran":"not_run"}}
{"timestamp":"2026-01-01T00:00:02.1","target":"plain","message":"Answered a request.","kvs":{"id":"c","status":200}}
{"timestamp":"2026-01
"#;

fn lines() -> Lines {
  let mut lines = Lines::default();
  lines.add("east-2.log", FILE.lines().map(str::to_owned));
  lines
}

#[test]
fn history_is_in_order_over_hosts() {
  let (history, end) = lines().history("a");
  assert_eq!(history.len(), 3);
  assert!(
    history[0].contains("east-2.log placed: Chose a target."),
    "{history:?}"
  );
  assert!(history[1].contains("east-1 sending:"));
  assert_eq!(end.as_deref(), Some("stream lost"));
}

#[test]
fn ends_are_counted_by_cause() {
  let ends: Vec<_> = lines().ends().into_iter().collect();
  let expected = [
    ("answered 200", 1),
    ("refused targets_busy (not_run)", 1),
    ("stream lost", 1),
  ];
  assert_eq!(ends, expected.map(|(end, count)| (end.to_owned(), count)));
}

#[test]
fn truncated_line_is_counted() {
  assert_eq!(lines().unread, 1);
}

#[test]
fn unknown_request_has_no_history() {
  assert_eq!(lines().history("z"), (Vec::new(), None));
}
