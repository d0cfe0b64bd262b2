use {
  super::*,
  crate::{
    refusal::{Execution, Reason},
    tree::Tree,
  },
  proptest::prelude::*,
  std::time::Duration,
  yare::parameterized,
};

const FIRST: Id = Id([1; 16]);
const LIMITS: Limits = Limits {
  reruns: 1,
  resumes: 2,
};
const OTHER: Id = Id([2; 16]);

fn end(generation: Id, index: u64) -> Input {
  Input::Event(Event {
    finish_reason: Some("stop".into()),
    generation,
    index,
    prompt_tokens: None,
    text: String::new(),
  })
}

fn token(generation: Id, index: u64) -> Input {
  Input::Event(Event {
    finish_reason: None,
    generation,
    index,
    prompt_tokens: None,
    text: format!("{generation}:{index}"),
  })
}

/// Names a case: whether the caller sees tokens as they come, inputs, and the last step.
macro_rules! case {
  ($name:ident, $streamed:expr, [$($input:expr),* $(,)?], $pattern:pat) => {
    #[test]
    fn $name() {
      let mut assembly = Assembly::new(FIRST, $streamed, LIMITS);
      let mut last = Step::Ignore;
      for input in [$($input),*] {
        last = assembly.apply(input);
      }
      assert!(matches!(last, $pattern), "{last:?}");
    }
  };
}

case!(
  delivers_in_order,
  true,
  [token(FIRST, 0), token(FIRST, 1)],
  Step::Deliver { index: 1, .. }
);
case!(
  ends_after_the_last_token,
  true,
  [token(FIRST, 0), end(FIRST, 1)],
  Step::End { .. }
);
case!(
  early_end_is_a_gap,
  true,
  [end(FIRST, 1)],
  Step::Resume { from: 0 }
);
case!(
  gap_is_resumed,
  true,
  [token(FIRST, 0), token(FIRST, 2)],
  Step::Resume { from: 1 }
);
case!(
  repeated_token_is_ignored,
  true,
  [token(FIRST, 0), token(FIRST, 0)],
  Step::Ignore
);
case!(
  foreign_token_is_resumed,
  true,
  [token(OTHER, 0)],
  Step::Resume { from: 0 }
);
case!(
  stall_is_resumed,
  true,
  [token(FIRST, 0), Input::Stalled],
  Step::Resume { from: 1 }
);
case!(unseen_job_runs_again, true, [Input::Gone], Step::Rerun);
case!(
  gathered_job_runs_again,
  false,
  [token(FIRST, 0), Input::Gone],
  Step::Rerun
);
case!(
  seen_job_ends_truthfully,
  true,
  [token(FIRST, 0), Input::Gone],
  Step::Fail(crate::refusal::Refusal {
    execution: Execution::Failed,
    reason: Reason::GenerationLost,
    ..
  })
);
case!(
  lost_links_end_as_unknown,
  true,
  [
    token(FIRST, 0),
    Input::LinkLost,
    Input::LinkLost,
    Input::LinkLost
  ],
  Step::Fail(crate::refusal::Refusal {
    execution: Execution::Unknown,
    ..
  })
);
case!(
  reruns_are_bounded,
  true,
  [Input::Gone, Input::Gone],
  Step::Fail(_)
);

#[test]
fn new_token_renews_the_resumptions() {
  let mut assembly = Assembly::new(FIRST, true, LIMITS);
  for index in 0..10 {
    assembly.apply(Input::LinkLost);
    assembly.apply(Input::LinkLost);
    assert!(matches!(
      assembly.apply(token(FIRST, index)),
      Step::Deliver { .. }
    ));
  }
}

#[test]
fn attached_stream_goes_on_from_the_next_token() {
  let mut assembly = Assembly::attach(FIRST, 5, LIMITS);
  assert_eq!(assembly.apply(Input::LinkLost), Step::Resume { from: 5 });
  assert_eq!(assembly.apply(token(FIRST, 4)), Step::Ignore);
  assert!(matches!(
    assembly.apply(token(FIRST, 5)),
    Step::Deliver { index: 5, .. }
  ));
}

#[derive(Clone, Debug)]
enum Chance {
  End(u8, u64),
  Gone,
  LinkLost,
  Stalled,
  Token(u8, u64),
}

fn chance() -> impl Strategy<Value = Chance> {
  prop_oneof![
    8 => (0_u8..3, 0_u64..6).prop_map(|(generation, index)| Chance::Token(generation, index)),
    1 => (0_u8..3, 0_u64..6).prop_map(|(generation, index)| Chance::End(generation, index)),
    1 => Just(Chance::Gone),
    1 => Just(Chance::LinkLost),
    1 => Just(Chance::Stalled),
  ]
}

proptest! {
  /// Whatever arrives, a caller sees each index once, in order, of one generation.
  #[test]
  fn one_generation_in_order(streamed: bool, chances in prop::collection::vec(chance(), 0..200)) {
    let ids = [Id([0; 16]), Id([1; 16]), Id([2; 16])];
    let limits = Limits { reruns: 2, resumes: 3 };
    let mut assembly = Assembly::new(ids[0], streamed, limits);
    let mut shown: Vec<String> = Vec::new();
    let mut runs = 0;
    for chance in chances {
      let input = match chance {
        Chance::End(generation, index) => end(ids[usize::from(generation)], index),
        Chance::Gone => Input::Gone,
        Chance::LinkLost => Input::LinkLost,
        Chance::Stalled => Input::Stalled,
        Chance::Token(generation, index) => token(ids[usize::from(generation)], index),
      };
      match assembly.apply(input) {
        Step::Deliver { text, .. } => shown.push(text),
        Step::End { .. } | Step::Fail(_) => break,
        Step::Ignore => {}
        Step::Rerun => {
          prop_assert!(!streamed || shown.is_empty());
          shown.clear();
          runs += 1;
          prop_assert!(runs <= limits.reruns);
          assembly.restart(ids[usize::try_from(runs).unwrap()]);
        }
        Step::Resume { from } => prop_assert_eq!(from, shown.len() as u64),
      }
    }
    let generation = assembly.generation();
    for (index, text) in shown.iter().enumerate() {
      prop_assert_eq!(text, &format!("{generation}:{index}"));
    }
  }
}

#[parameterized(
  chat = { Shape::Chat, r#"{"model":"m","messages":[]}"#, true },
  chat_with_prompt = { Shape::Chat, r#"{"model":"m","prompt":"a"}"#, false },
  many = { Shape::Text, r#"{"model":"m","prompt":"a","n":2}"#, false },
  no_model = { Shape::Text, r#"{"prompt":"a"}"#, false },
  no_tokens = { Shape::Text, r#"{"model":"m","prompt":"a","max_tokens":0}"#, false },
  not_json = { Shape::Text, "{", false },
  text = { Shape::Text, r#"{"model":"m","prompt":"a","temperature":0.5}"#, true },
)]
fn requests(shape: Shape, body: &str, accepted: bool) {
  let result = Request::parse(shape, body.as_bytes());
  assert_eq!(result.is_ok(), accepted, "{result:?}");
}

#[parameterized(
  absent = { "", 100 },
  above = { r#", "max_tokens": 500"#, 100 },
  below = { r#", "max_tokens": 7"#, 7 },
  newer_name = { r#", "max_completion_tokens": 9, "max_tokens": 7"#, 9 },
)]
fn output_is_bounded(fields: &str, expected: u64) {
  let body = format!(r#"{{"model": "m", "prompt": "a"{fields}}}"#);
  let request = Request::parse(Shape::Text, body.as_bytes()).unwrap();
  assert_eq!(request.engine_body(100)["max_tokens"], expected);
}

fn attachment() -> Attachment {
  Attachment {
    account: "parents".into(),
    created: Duration::from_secs(5),
    deadline: Duration::from_secs(9),
    generation: FIRST,
    include_usage: true,
    service: "assistant-llm".into(),
    shape: Shape::Chat,
    target: "10.0.0.1:80".parse().unwrap(),
  }
}

#[test]
fn attachment_is_read_as_it_was_signed() {
  let text = "operator: rig\nkeys: [{id: k, secret: BwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwc=}]\n\
    data_centres: {}\nservices: {}\naccounts: {}\n";
  let secrets = Tree::accept("tree", text).unwrap().secrets;
  let token = attachment().seal(&secrets).unwrap();
  assert_eq!(Attachment::open(&secrets, &token), Some(attachment()));
  let tampered = token.replacen('.', ".A", 1);
  assert_eq!(Attachment::open(&secrets, &tampered), None);
}
