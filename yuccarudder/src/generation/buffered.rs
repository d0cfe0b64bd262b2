use {
  super::{Endpoint, Output, Renderer, Session},
  crate::{
    host::Host,
    http::{self, Body},
    refusal::{Reason, Refusal},
  },
  hyper::{Response, StatusCode},
  std::time::Duration,
};

const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Amount of memory that is reserved each time the text outgrows its reservations.
const RESERVATION_BYTES: usize = 64 << 10;

/// Reads a generation to its end and builds a response with the complete text.
///
/// # Errors
///
/// Returns a refusal if the generation fails, if its text exceeds `MAX_ANSWER_BYTES` or if the host
/// has no memory left to buffer it.
pub async fn response(
  host: &Host,
  mut session: Session,
  endpoint: Endpoint,
  model: String,
  created: Duration,
) -> Result<Response<Body>, Refusal> {
  let mut reservations = Vec::new();
  let mut text = String::new();
  let mut tokens = 0;
  let finish_reason = loop {
    match session.next().await? {
      Output::End { finish_reason } => break finish_reason,
      Output::Restart => {
        text.clear();
        tokens = 0;
      }
      Output::Token {
        text: token_text, ..
      } => {
        text.push_str(&token_text);
        tokens += 1;
      }
    }
    if text.len() > MAX_ANSWER_BYTES {
      return Err(Refusal::failed(Reason::AnswerTooLarge));
    }
    if text.len() > reservations.len() * RESERVATION_BYTES {
      let reservation = host.memory.reserve(RESERVATION_BYTES as u64);
      reservations.push(reservation.map_err(|refusal| Refusal::failed(refusal.reason))?);
    }
  };
  let renderer = Renderer::new(endpoint, session.generation(), model, created);
  let body = renderer.complete(&text, tokens, &finish_reason, session.prompt_tokens());
  host.metrics.completed_requests.inc();
  Ok(http::json(StatusCode::OK, body))
}
