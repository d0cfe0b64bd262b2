use super::*;

const FILE: &str = r#"
   1.20 east-1 {"timestamp":"2026-01-01T00:00:01.2","target":"sending","message":"Sent a request to a target.","kvs":{"id":"a","outcome":"answered"}}
   3.50 east-1 {"timestamp":"2026-01-01T00:00:03.5","target":"session","message":"A stream ended.","kvs":{"id":"a","end":"lost","moves":1}}
{"timestamp":"2026-01-01T00:00:01.0","target":"placed","message":"Chose a target.","kvs":{"id":"a"}}
{"timestamp":"2026-01-01T00:00:02.0","target":"front","message":"Refused a request.","kvs":{"id":"b","reason":"targets_busy","ran":"not_run"}}
{"timestamp":"2026-01-01T00:00:02.1","target":"plain","message":"Answered a request.","kvs":{"id":"c","status":200}}
{"timestamp":"2026-01
"#;

fn log() -> Log {
  let mut log = Log::default();
  log.add("east-2.log", FILE.lines().map(str::to_owned));
  log
}

#[test]
fn history_is_sorted_by_time_across_hosts() {
  let (history, outcome) = log().history("a");
  assert_eq!(history.len(), 3);
  assert!(
    history[0].contains("east-2.log placed: Chose a target."),
    "{history:?}"
  );
  assert!(history[1].contains("east-1 sending:"));
  assert_eq!(outcome.as_deref(), Some("stream lost"));
}

#[test]
fn requests_are_counted_by_outcome() {
  let outcomes: Vec<_> = log().count_outcomes().into_iter().collect();
  let expected = [
    ("answered 200", 1),
    ("refused targets_busy (not_run)", 1),
    ("stream lost", 1),
  ];
  assert_eq!(
    outcomes,
    expected.map(|(outcome, count)| (outcome.to_owned(), count))
  );
}

#[test]
fn truncated_line_counts_as_unparsed() {
  assert_eq!(log().unparsed, 1);
}

#[test]
fn unknown_request_has_no_history() {
  assert_eq!(log().history("z"), (Vec::new(), None));
}
