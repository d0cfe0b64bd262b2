use {
  crate::refusal::{Reason, Refusal},
  serde::{Deserialize, Serialize},
  serde_json::{Map, Value},
};

const PROMPTS: [&str; 2] = ["messages", "prompt"];

/// Which of the two generation calls was made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endpoint {
  /// `POST /v1/chat/completions`.
  Chat,
  /// `POST /v1/completions`.
  Text,
}

impl Endpoint {
  fn prompt(self) -> &'static str {
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

/// The fields of a request that concern the system; the engine gets the rest as it came.
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
  /// Whether the caller wants tokens as they come.
  #[serde(default)]
  pub stream: bool,
  stream_options: Option<StreamOptions>,
}

impl Request {
  /// Returns the body to send to an engine, without the fields that each run sets.
  pub fn engine_body(&self, output_tokens: u64) -> Map<String, Value> {
    let mut body = self.rest.clone();
    body.insert(
      "max_tokens".into(),
      self.output_tokens(output_tokens).into(),
    );
    body.insert("model".into(), self.model.clone().into());
    body
  }

  /// Returns whether a streamed answer ends with usage counts.
  pub fn include_usage(&self) -> bool {
    self.stream_options.as_ref().is_some_and(|options| options.include_usage)
  }

  fn output_tokens(&self, bound: u64) -> u64 {
    let asked = self.max_completion_tokens.or(self.max_tokens);
    asked.map_or(bound, |asked| asked.min(bound))
  }

  /// Parses a request body.
  ///
  /// # Errors
  ///
  /// Refuses what cannot be read and what the system does not do.
  pub fn parse(endpoint: Endpoint, body: &[u8]) -> Result<Self, Refusal> {
    let refuse = |detail: String| Refusal::not_run(Reason::BadRequest).with_detail(detail);
    let request: Self = serde_json::from_slice(body).map_err(|error| refuse(error.to_string()))?;
    if request.n.unwrap_or(1) != 1 || request.best_of.unwrap_or(1) != 1 {
      return Err(refuse("`n` and `best_of` must be 1".into()));
    }
    if request.output_tokens(u64::MAX) == 0 {
      return Err(refuse("`max_tokens` must be at least 1".into()));
    }
    for name in PROMPTS {
      if (name == endpoint.prompt()) != request.rest.contains_key(name) {
        return Err(refuse(format!(
          "`{}` is needed, and no other prompt",
          endpoint.prompt()
        )));
      }
    }
    Ok(request)
  }
}
