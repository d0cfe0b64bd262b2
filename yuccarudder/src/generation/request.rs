use {
  crate::refusal::{Reason, Refusal},
  serde::{Deserialize, Serialize},
  serde_json::{Map, Value},
};

/// The fields that hold a prompt; each endpoint requires one and rejects the other.
const PROMPT_FIELDS: [&str; 2] = ["messages", "prompt"];

/// The API endpoint that was called.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endpoint {
  /// `POST /v1/chat/completions`.
  Chat,
  /// `POST /v1/completions`.
  Text,
}

impl Endpoint {
  fn prompt_field(self) -> &'static str {
    match self {
      Self::Chat => "messages",
      Self::Text => "prompt",
    }
  }
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct StreamOptions {
  #[serde(default)]
  include_usage: bool,
}

/// A parsed request body.
///
/// Only the fields that the router interprets are parsed; the others are forwarded to the engine
/// unchanged.
#[derive(Clone, Debug, Deserialize)]
pub struct Request {
  best_of: Option<u64>,
  max_completion_tokens: Option<u64>,
  max_tokens: Option<u64>,
  /// The name of the service.
  pub model: String,
  n: Option<u64>,
  #[serde(flatten)]
  rest: Map<String, Value>,
  /// Whether the caller requests a streamed answer.
  #[serde(default)]
  pub stream: bool,
  stream_options: Option<StreamOptions>,
}

impl Request {
  /// Returns the request body for the engine, without the fields that differ between runs.
  ///
  /// `limit` is the maximum number of output tokens.
  pub fn engine_body(&self, limit: u64) -> Map<String, Value> {
    let mut body = self.rest.clone();
    body.insert("max_tokens".into(), self.max_output_tokens(limit).into());
    body.insert("model".into(), self.model.clone().into());
    body
  }

  /// Returns whether a streamed answer ends with a usage event.
  pub fn include_usage(&self) -> bool {
    self.stream_options.as_ref().is_some_and(|options| options.include_usage)
  }

  fn max_output_tokens(&self, limit: u64) -> u64 {
    let requested = self.max_completion_tokens.or(self.max_tokens);
    requested.map_or(limit, |requested| requested.min(limit))
  }

  /// Parses a request body.
  ///
  /// # Errors
  ///
  /// Returns a refusal if the body is malformed or requests an unsupported feature.
  pub fn parse(endpoint: Endpoint, body: &[u8]) -> Result<Self, Refusal> {
    let refuse = |detail: String| Refusal::not_run(Reason::BadRequest).with_detail(detail);
    let request: Self = serde_json::from_slice(body).map_err(|error| refuse(error.to_string()))?;
    if request.n.unwrap_or(1) != 1 || request.best_of.unwrap_or(1) != 1 {
      return Err(refuse("`n` and `best_of` must be 1".into()));
    }
    if request.max_output_tokens(u64::MAX) == 0 {
      return Err(refuse("`max_tokens` must be at least 1".into()));
    }
    for name in PROMPT_FIELDS {
      if (name == endpoint.prompt_field()) != request.rest.contains_key(name) {
        return Err(refuse(format!(
          "`{}` is needed, and no other prompt",
          endpoint.prompt_field()
        )));
      }
    }
    Ok(request)
  }
}
