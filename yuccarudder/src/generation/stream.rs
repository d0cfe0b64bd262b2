use {
  super::{Output, ReattachClaims, Renderer, Session},
  crate::{
    entries,
    host::Host,
    http::{Body, BodyError},
    refusal::Refusal,
  },
  bytes::{Bytes, BytesMut},
  futures::stream,
  http_body_util::{BodyExt, StreamBody},
  hyper::{
    Response,
    body::Frame,
    header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue},
  },
  serde::{Deserialize, Serialize},
  std::{collections::VecDeque, net::SocketAddr, pin::Pin},
};

/// Size at which a batch of events is sent without adding more.
const MAX_BATCH_BYTES: usize = 16 << 10;

/// Header that carries the reattach token; on a request, it asks for one.
pub const REATTACH_HEADER: &str = "yuccarudder-reattach";

/// The data of a `moved` event, which directs a caller to reattach at another host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Moved {
  /// Addresses of hosts to reattach at, in order of preference.
  pub entries: Vec<SocketAddr>,
  /// The reattach token.
  pub reattach: String,
}

/// The body of a streamed response.
struct Stream {
  claims: ReattachClaims,
  /// Resolves when callers are to be directed to reattach at another host.
  redirect_signal: Pin<Box<dyn Future<Output = ()> + Send>>,
  host: Host,
  /// Rendered events that have not been sent yet.
  queue: VecDeque<Bytes>,
  renderer: Renderer,
  /// `None` once the last event is queued.
  session: Option<Session>,
  /// Number of tokens that the caller has received, including those queued.
  token_count: u64,
}

impl Stream {
  fn finish(&mut self, finish_reason: &str) {
    if let Some(session) = self.session.take() {
      let prompt_tokens = self.claims.include_usage.then(|| session.prompt_tokens());
      self.queue.push_back(self.renderer.end(self.token_count, finish_reason, prompt_tokens));
      self.host.metrics.completed_requests.inc();
    }
  }

  fn fail(&mut self, refusal: &Refusal) {
    self.session = None;
    self.host.metrics.count_refusal(refusal);
    self.queue.push_back(format!("data: {}\n\n", refusal.json()).into());
  }

  /// Ends the stream with an event that directs the caller to reattach at another host.
  fn redirect(&mut self) {
    let Ok(tree) = self.host.tree() else {
      return;
    };
    let Some(reattach) = self.claims.sign(&tree.secrets) else {
      return;
    };
    let moved = Moved {
      entries: entries::list_entries(&self.host, &tree).entries,
      reattach,
    };
    let data = serde_json::to_string(&moved).expect("the message is serializable");
    self.queue.push_back(format!("event: moved\ndata: {data}\n\n").into());
    self.session = None;
  }

  /// Waits for an event and returns it together with the events that are ready after it.
  async fn next_batch(&mut self) -> Option<Bytes> {
    let first = self.next_event().await?;
    let Some(second) = self.ready_event() else {
      return Some(first);
    };
    let mut batch = BytesMut::from(first);
    batch.extend_from_slice(&second);
    while batch.len() < MAX_BATCH_BYTES {
      let Some(bytes) = self.ready_event() else {
        break;
      };
      batch.extend_from_slice(&bytes);
    }
    Some(batch.freeze())
  }

  /// Returns the next event if it is available without waiting.
  fn ready_event(&mut self) -> Option<Bytes> {
    if self.queue.is_empty() {
      let output = self.session.as_mut()?.ready_output()?;
      self.handle_output(Ok(output));
    }
    self.queue.pop_front()
  }

  /// Waits for the next event; returns `None` at the end of the stream.
  async fn next_event(&mut self) -> Option<Bytes> {
    loop {
      if let Some(bytes) = self.queue.pop_front() {
        return Some(bytes);
      }
      let session = self.session.as_mut()?;
      let reattachable = session.job().reattachable;
      tokio::select! {
        biased;
        () = &mut self.redirect_signal, if reattachable => self.redirect(),
        output = session.next() => self.handle_output(output),
      }
    }
  }

  fn handle_output(&mut self, output: Result<Output, Refusal>) {
    match output {
      Ok(Output::End { finish_reason }) => self.finish(&finish_reason),
      Ok(Output::Restart) => {}
      Ok(Output::Token { index, text }) => {
        self.token_count = index + 1;
        self.queue.push_back(self.renderer.token(index, &text));
      }
      Err(refusal) => self.fail(&refusal),
    }
  }
}

/// Builds a streamed response that starts with `first`, the output at token index `from`.
pub fn response(
  host: &Host,
  session: Session,
  renderer: Renderer,
  claims: ReattachClaims,
  from: u64,
  first: Output,
) -> Response<Body> {
  let drain = host.drain.clone();
  let reattach = host
    .tree()
    .ok()
    .filter(|_| session.job().reattachable)
    .and_then(|tree| claims.sign(&tree.secrets));
  let mut state = Stream {
    claims,
    redirect_signal: Box::pin(async move { drain.handover_due().await }),
    host: host.clone(),
    queue: VecDeque::new(),
    renderer,
    session: Some(session),
    token_count: from,
  };
  if from == 0 {
    state.queue.extend(state.renderer.start());
  }
  state.handle_output(Ok(first));
  let frames = stream::unfold(state, |mut state| async move {
    let bytes = state.next_batch().await?;
    Some((Ok::<_, BodyError>(Frame::data(bytes)), state))
  });
  let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
  let headers = response.headers_mut();
  headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
  headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
  if let Some(token) = reattach.and_then(|token| HeaderValue::from_str(&token).ok()) {
    headers.insert(REATTACH_HEADER, token);
  }
  response
}
