use {
  super::*,
  crate::{
    clock::Clock,
    http,
    refusal::{Execution, Reason},
    tree::{Settings, Tree},
    upstream,
  },
  proptest::prelude::*,
  std::time::Duration,
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
  },
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

/// Defines a test of a sequencer: whether the answer is streamed, its inputs and the action that
/// the last input must cause.
macro_rules! sequencer_test {
  ($name:ident, $streamed:expr, [$($input:expr),* $(,)?], $pattern:pat) => {
    #[test]
    fn $name() {
      let mut sequencer = Sequencer::new(FIRST, $streamed, LIMITS);
      let mut last_action = Action::Ignore;
      for input in [$($input),*] {
        last_action = sequencer.apply(input);
      }
      assert!(matches!(last_action, $pattern), "{last_action:?}");
    }
  };
}

sequencer_test!(
  delivers_in_order,
  true,
  [token(FIRST, 0), token(FIRST, 1)],
  Action::Deliver { index: 1, .. }
);
sequencer_test!(
  end_after_the_last_token_completes_the_job,
  true,
  [token(FIRST, 0), end(FIRST, 1)],
  Action::End { .. }
);
sequencer_test!(
  end_before_all_tokens_causes_a_resume,
  true,
  [end(FIRST, 1)],
  Action::Resume { from: 0 }
);
sequencer_test!(
  missing_token_causes_a_resume,
  true,
  [token(FIRST, 0), token(FIRST, 2)],
  Action::Resume { from: 1 }
);
sequencer_test!(
  repeated_token_is_ignored,
  true,
  [token(FIRST, 0), token(FIRST, 0)],
  Action::Ignore
);
sequencer_test!(
  token_of_another_generation_causes_a_resume,
  true,
  [token(OTHER, 0)],
  Action::Resume { from: 0 }
);
sequencer_test!(
  stall_causes_a_resume,
  true,
  [token(FIRST, 0), Input::Stalled],
  Action::Resume { from: 1 }
);
sequencer_test!(
  generation_lost_before_the_first_token_is_rerun,
  true,
  [Input::NotFound],
  Action::Rerun
);
sequencer_test!(
  lost_generation_of_a_buffered_answer_is_rerun,
  false,
  [token(FIRST, 0), Input::NotFound],
  Action::Rerun
);
sequencer_test!(
  lost_generation_with_delivered_tokens_fails,
  true,
  [token(FIRST, 0), Input::NotFound],
  Action::Fail(crate::refusal::Refusal {
    execution: Execution::Failed,
    reason: Reason::GenerationLost,
    ..
  })
);
sequencer_test!(
  lost_connections_are_reported_as_unknown,
  true,
  [
    token(FIRST, 0),
    Input::ConnectionLost,
    Input::ConnectionLost,
    Input::ConnectionLost
  ],
  Action::Fail(crate::refusal::Refusal {
    execution: Execution::Unknown,
    ..
  })
);
sequencer_test!(
  reruns_are_limited,
  true,
  [Input::NotFound, Input::NotFound],
  Action::Fail(_)
);

#[test]
fn new_token_resets_the_resume_count() {
  let mut sequencer = Sequencer::new(FIRST, true, LIMITS);
  for index in 0..10 {
    sequencer.apply(Input::ConnectionLost);
    sequencer.apply(Input::ConnectionLost);
    assert!(matches!(
      sequencer.apply(token(FIRST, index)),
      Action::Deliver { .. }
    ));
  }
}

#[test]
fn reattached_stream_continues_at_the_next_token() {
  let mut sequencer = Sequencer::resume_at(FIRST, 5, LIMITS);
  assert_eq!(
    sequencer.apply(Input::ConnectionLost),
    Action::Resume { from: 5 }
  );
  assert_eq!(sequencer.apply(token(FIRST, 4)), Action::Ignore);
  assert!(matches!(
    sequencer.apply(token(FIRST, 5)),
    Action::Deliver { index: 5, .. }
  ));
}

#[derive(Clone, Debug)]
enum InputKind {
  End(u8, u64),
  NotFound,
  ConnectionLost,
  Stalled,
  Token(u8, u64),
}

fn input_kind() -> impl Strategy<Value = InputKind> {
  prop_oneof![
    8 => (0_u8..3, 0_u64..6).prop_map(|(generation, index)| InputKind::Token(generation, index)),
    1 => (0_u8..3, 0_u64..6).prop_map(|(generation, index)| InputKind::End(generation, index)),
    1 => Just(InputKind::NotFound),
    1 => Just(InputKind::ConnectionLost),
    1 => Just(InputKind::Stalled),
  ]
}

proptest! {
  /// For any sequence of inputs, the delivered tokens are of one generation and each index is
  /// delivered once, in order.
  #[test]
  fn tokens_of_one_generation_are_delivered_once_in_order(streamed: bool, input_kinds in prop::collection::vec(input_kind(), 0..200)) {
    let ids = [Id([0; 16]), Id([1; 16]), Id([2; 16])];
    let limits = Limits { reruns: 2, resumes: 3 };
    let mut sequencer = Sequencer::new(ids[0], streamed, limits);
    let mut delivered: Vec<String> = Vec::new();
    let mut reruns = 0;
    for input_kind in input_kinds {
      let input = match input_kind {
        InputKind::End(generation, index) => end(ids[usize::from(generation)], index),
        InputKind::NotFound => Input::NotFound,
        InputKind::ConnectionLost => Input::ConnectionLost,
        InputKind::Stalled => Input::Stalled,
        InputKind::Token(generation, index) => token(ids[usize::from(generation)], index),
      };
      match sequencer.apply(input) {
        Action::Deliver { text, .. } => delivered.push(text),
        Action::End { .. } | Action::Fail(_) => break,
        Action::Ignore => {}
        Action::Rerun => {
          prop_assert!(!streamed || delivered.is_empty());
          delivered.clear();
          reruns += 1;
          prop_assert!(reruns <= limits.reruns);
          sequencer.restart(ids[usize::try_from(reruns).unwrap()]);
        }
        Action::Resume { from } => prop_assert_eq!(from, delivered.len() as u64),
      }
    }
    let generation = sequencer.generation();
    for (index, text) in delivered.iter().enumerate() {
      prop_assert_eq!(text, &format!("{generation}:{index}"));
    }
  }
}

#[parameterized(
  chat = { Endpoint::Chat, r#"{"model":"m","messages":[]}"#, true },
  chat_with_prompt = { Endpoint::Chat, r#"{"model":"m","prompt":"a"}"#, false },
  several_choices = { Endpoint::Text, r#"{"model":"m","prompt":"a","n":2}"#, false },
  no_model = { Endpoint::Text, r#"{"prompt":"a"}"#, false },
  zero_max_tokens = { Endpoint::Text, r#"{"model":"m","prompt":"a","max_tokens":0}"#, false },
  invalid_json = { Endpoint::Text, "{", false },
  text = { Endpoint::Text, r#"{"model":"m","prompt":"a","temperature":0.5}"#, true },
)]
fn requests_are_validated(endpoint: Endpoint, body: &str, accepted: bool) {
  let result = Request::parse(endpoint, body.as_bytes());
  assert_eq!(result.is_ok(), accepted, "{result:?}");
}

#[parameterized(
  absent = { "", 100 },
  above = { r#", "max_tokens": 500"#, 100 },
  below = { r#", "max_tokens": 7"#, 7 },
  both_names = { r#", "max_completion_tokens": 9, "max_tokens": 7"#, 9 },
)]
fn max_tokens_are_limited(extra_fields: &str, expected: u64) {
  let body = format!(r#"{{"model": "m", "prompt": "a"{extra_fields}}}"#);
  let request = Request::parse(Endpoint::Text, body.as_bytes()).unwrap();
  assert_eq!(request.engine_body(100)["max_tokens"], expected);
}

fn claims() -> ReattachClaims {
  ReattachClaims {
    account: "parents".into(),
    created: Duration::from_secs(5),
    deadline: Duration::from_secs(9),
    generation: FIRST,
    include_usage: true,
    service: "assistant-llm".into(),
    endpoint: Endpoint::Chat,
    target: "10.0.0.1:80".parse().unwrap(),
  }
}

#[test]
fn reattach_claims_are_read_as_signed_and_rejected_if_altered() {
  let text = "operator: rig\nkeys: [{id: k, secret: BwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwc=}]\n\
    data_centres: {}\nservices: {}\naccounts: {}\n";
  let secrets = Tree::parse("tree", text).unwrap().secrets;
  let token = claims().sign(&secrets).unwrap();
  assert_eq!(ReattachClaims::verify(&secrets, &token), Some(claims()));
  let tampered = token.replacen('.', ".A", 1);
  assert_eq!(ReattachClaims::verify(&secrets, &tampered), None);
}

/// Guards against engines that fill the memory with an event that has no end.
#[parameterized(
  one_line = { "data" },
  many_lines = { "data: x\n" },
  carriage_returns = { "data: x\r\n" },
)]
#[test_macro(tokio::test)]
async fn event_without_end_loses_the_connection(repeat: &'static str) {
  let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
  let address = listener.local_addr().unwrap();
  let sending = tokio::spawn(async move {
    let (mut stream, _) = listener.accept().await.unwrap();
    assert!(stream.read(&mut [0; 4096]).await.unwrap() > 0);
    let mut bytes = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n".to_vec();
    while stream.write_all(&bytes).await.is_ok() {
      bytes = repeat.repeat(1_000).into_bytes();
    }
  });
  let request = hyper::Request::get("/").body(http::empty()).unwrap();
  let call = upstream::Call::new(address, Duration::from_secs(5), request);
  let response = upstream::Pool::new(Clock::system()).send(call).await.unwrap();
  let mut events = EventStream::new(response.into_body());
  assert!(matches!(events.next().await, Input::ConnectionLost));
  drop(events);
  sending.await.unwrap();
}

/// Guards against a refusal that an engine writes once more when the next generation arrives on a kept
/// connection: the engine runs the generation, and another one gets it, too.
#[tokio::test]
async fn generation_starts_on_a_connection_without_earlier_responses() {
  let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
  let address = listener.local_addr().unwrap();
  let (connection_sender, mut connections) = tokio::sync::mpsc::unbounded_channel();
  tokio::spawn(async move {
    while let Ok((mut stream, _)) = listener.accept().await {
      connection_sender.send(()).unwrap();
      tokio::spawn(async move {
        let refusal = b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";
        while stream.read(&mut [0; 4096]).await.is_ok_and(|count| count > 0) {
          stream.write_all(refusal).await.unwrap();
        }
      });
    }
  });
  let pool = upstream::Pool::new(Clock::system());
  let engine = engine::Engine {
    address,
    settings: Settings::default(),
    pool: &pool,
  };
  for generation in [FIRST, OTHER] {
    let body = serde_json::Map::new();
    let outcome = engine.start(generation, &body, None, Box::new(|| Ok(()))).await;
    assert!(matches!(outcome, OpenOutcome::Busy));
    // A background task returns the connection to the pool.
    tokio::time::sleep(Duration::from_millis(20)).await;
    connections.try_recv().expect("a connection of its own");
  }
}
