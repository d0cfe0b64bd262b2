use {
  super::{Attachment, Piece, Render, Session},
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

const MAX_BATCH_BYTES: usize = 16 << 10;

/// Header that carries the token with which a caller may reattach.
pub const REATTACH_HEADER: &str = "yuccarudder-reattach";

/// What a caller is told when its stream goes on at another host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Moved {
  /// Addresses to use, best first.
  pub entries: Vec<SocketAddr>,
  /// The token with which to reattach.
  pub reattach: String,
}

struct Stream {
  attachment: Attachment,
  handing_over: Pin<Box<dyn Future<Output = ()> + Send>>,
  host: Host,
  queue: VecDeque<Bytes>,
  render: Render,
  session: Option<Session>,
  tokens: u64,
}

impl Stream {
  fn end(&mut self, finish_reason: &str) {
    if let Some(session) = self.session.take() {
      let prompt_tokens = self.attachment.include_usage.then(|| session.prompt_tokens());
      self.queue.push_back(self.render.end(self.tokens, finish_reason, prompt_tokens));
      self.host.metrics.answered.inc();
    }
  }

  fn fail(&mut self, refusal: &Refusal) {
    self.session = None;
    self.host.metrics.refuse(refusal);
    self.queue.push_back(format!("data: {}\n\n", refusal.json()).into());
  }

  fn hand_over(&mut self) {
    let Ok(tree) = self.host.tree() else {
      return;
    };
    let Some(reattach) = self.attachment.seal(&tree.secrets) else {
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

  /// Returns what is ready, waiting for the first of it.
  async fn next(&mut self) -> Option<Bytes> {
    let first = self.wait().await?;
    let Some(second) = self.ready() else {
      return Some(first);
    };
    let mut batch = BytesMut::from(first);
    batch.extend_from_slice(&second);
    while batch.len() < MAX_BATCH_BYTES {
      let Some(bytes) = self.ready() else {
        break;
      };
      batch.extend_from_slice(&bytes);
    }
    Some(batch.freeze())
  }

  fn ready(&mut self) -> Option<Bytes> {
    if self.queue.is_empty() {
      let piece = self.session.as_mut()?.ready()?;
      self.take(Ok(piece));
    }
    self.queue.pop_front()
  }

  async fn wait(&mut self) -> Option<Bytes> {
    loop {
      if let Some(bytes) = self.queue.pop_front() {
        return Some(bytes);
      }
      let session = self.session.as_mut()?;
      let reattachable = session.job().reattachable;
      tokio::select! {
        biased;
        () = &mut self.handing_over, if reattachable => self.hand_over(),
        piece = session.next() => self.take(piece),
      }
    }
  }

  fn take(&mut self, piece: Result<Piece, Refusal>) {
    match piece {
      Ok(Piece::End { finish_reason }) => self.end(&finish_reason),
      Ok(Piece::Restart) => {}
      Ok(Piece::Token { index, text }) => {
        self.tokens = index + 1;
        self.queue.push_back(self.render.token(index, &text));
      }
      Err(refusal) => self.fail(&refusal),
    }
  }
}

/// Builds a streamed response that starts with `first`, the token at index `from`.
pub fn response(
  host: &Host,
  session: Session,
  render: Render,
  attachment: Attachment,
  from: u64,
  first: Piece,
) -> Response<Body> {
  let drain = host.drain.clone();
  let reattach = host
    .tree()
    .ok()
    .filter(|_| session.job().reattachable)
    .and_then(|tree| attachment.seal(&tree.secrets));
  let mut state = Stream {
    attachment,
    handing_over: Box::pin(async move { drain.handover_due().await }),
    host: host.clone(),
    queue: VecDeque::new(),
    render,
    session: Some(session),
    tokens: from,
  };
  if from == 0 {
    state.queue.extend(state.render.start());
  }
  state.take(Ok(first));
  let frames = stream::unfold(state, |mut state| async move {
    let bytes = state.next().await?;
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
