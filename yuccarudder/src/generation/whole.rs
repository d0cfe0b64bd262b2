use {
  super::{Endpoint, Piece, Render, Session},
  crate::{
    host::Host,
    http::{self, Body},
    refusal::{Reason, Refusal},
  },
  hyper::{Response, StatusCode},
  std::time::Duration,
};

const MAX_BYTES: usize = 16 << 20;
const STEP_BYTES: usize = 64 << 10;

/// Gathers a generation and answers with all of it.
pub async fn response(
  host: &Host,
  mut session: Session,
  endpoint: Endpoint,
  model: String,
  created: Duration,
) -> Result<Response<Body>, Refusal> {
  let mut reserved = Vec::new();
  let mut text = String::new();
  let mut tokens = 0;
  let finish_reason = loop {
    match session.next().await? {
      Piece::End { finish_reason } => break finish_reason,
      Piece::Restart => {
        text.clear();
        tokens = 0;
      }
      Piece::Token { text: token, .. } => {
        text.push_str(&token);
        tokens += 1;
      }
    }
    if text.len() > MAX_BYTES {
      return Err(Refusal::failed(Reason::AnswerTooLarge));
    }
    if text.len() > reserved.len() * STEP_BYTES {
      let step = host.memory.reserve(STEP_BYTES as u64);
      reserved.push(step.map_err(|refusal| Refusal::failed(refusal.reason))?);
    }
  };
  let render = Render::new(endpoint, session.generation(), model, created);
  let body = render.whole(&text, tokens, &finish_reason, session.prompt_tokens());
  host.metrics.answered.inc();
  Ok(http::json(StatusCode::OK, body))
}
