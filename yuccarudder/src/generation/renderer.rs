use {
  super::{Endpoint, Id},
  bytes::Bytes,
  serde::Serialize,
  std::time::Duration,
};

#[derive(Serialize)]
struct Delta<'a> {
  #[serde(skip_serializing_if = "Option::is_none")]
  content: Option<&'a str>,
  #[serde(skip_serializing_if = "Option::is_none")]
  role: Option<&'a str>,
}

#[derive(Serialize)]
struct Message<'a> {
  content: &'a str,
  refusal: Option<&'a str>,
  role: &'a str,
}

#[derive(Serialize)]
struct Choice<'a> {
  #[serde(skip_serializing_if = "Option::is_none")]
  delta: Option<Delta<'a>>,
  finish_reason: Option<&'a str>,
  index: u64,
  logprobs: Option<&'a str>,
  #[serde(skip_serializing_if = "Option::is_none")]
  message: Option<Message<'a>>,
  #[serde(skip_serializing_if = "Option::is_none")]
  text: Option<&'a str>,
}

#[derive(Serialize)]
struct Usage {
  completion_tokens: u64,
  prompt_tokens: u64,
  total_tokens: u64,
}

/// A response, or the data of one event of a streamed response.
#[derive(Serialize)]
struct Completion<'a> {
  choices: &'a [Choice<'a>],
  created: u64,
  id: &'a str,
  model: &'a str,
  object: &'a str,
  #[serde(skip_serializing_if = "Option::is_none")]
  usage: Option<Usage>,
}

/// A renderer of one generation in the response format of its endpoint.
#[derive(Clone, Debug)]
pub struct Renderer {
  created: u64,
  id: String,
  model: String,
  endpoint: Endpoint,
}

impl Renderer {
  fn to_json(&self, complete: bool, choices: &[Choice<'_>], usage: Option<Usage>) -> String {
    let object = match (self.endpoint, complete) {
      (Endpoint::Chat, false) => "chat.completion.chunk",
      (Endpoint::Chat, true) => "chat.completion",
      (Endpoint::Text, _) => "text_completion",
    };
    let completion = Completion {
      choices,
      created: self.created,
      id: &self.id,
      model: &self.model,
      object,
      usage,
    };
    serde_json::to_string(&completion).expect("a completion is serializable")
  }

  /// Renders the final events of a stream.
  ///
  /// `tokens` is the number of generated tokens. A usage event is included if `prompt_tokens` is
  /// given.
  pub fn end(&self, tokens: u64, finish_reason: &str, prompt_tokens: Option<u64>) -> Bytes {
    let choice = self.choice(None, Some(finish_reason));
    let mut text = format_event(Some(tokens), &self.to_json(false, &[choice], None));
    if let Some(prompt_tokens) = prompt_tokens {
      let usage = usage(prompt_tokens, tokens);
      text.push_str(&format_event(None, &self.to_json(false, &[], Some(usage))));
    }
    text.push_str("data: [DONE]\n\n");
    text.into()
  }

  /// Creates a renderer; `created` is the time of the request since the Unix epoch.
  pub fn new(endpoint: Endpoint, generation: Id, model: String, created: Duration) -> Self {
    let prefix = match endpoint {
      Endpoint::Chat => "chatcmpl",
      Endpoint::Text => "cmpl",
    };
    Self {
      created: created.as_secs(),
      id: format!("{prefix}-{generation}"),
      model,
      endpoint,
    }
  }

  fn choice<'a>(&self, content: Option<&'a str>, finish_reason: Option<&'a str>) -> Choice<'a> {
    let (delta, text) = match self.endpoint {
      Endpoint::Chat => (
        Some(Delta {
          content,
          role: None,
        }),
        None,
      ),
      Endpoint::Text => (None, Some(content.unwrap_or_default())),
    };
    Choice {
      delta,
      finish_reason,
      index: 0,
      logprobs: None,
      message: None,
      text,
    }
  }

  /// Renders the event with the role that precedes the first token of a chat completion.
  pub fn start(&self) -> Option<Bytes> {
    if self.endpoint == Endpoint::Text {
      return None;
    }
    let mut choice = self.choice(Some(""), None);
    choice.delta = Some(Delta {
      content: Some(""),
      role: Some("assistant"),
    });
    Some(format_event(None, &self.to_json(false, &[choice], None)).into())
  }

  /// Renders the event for one token of a stream.
  pub fn token(&self, index: u64, text: &str) -> Bytes {
    let choice = self.choice(Some(text), None);
    format_event(Some(index), &self.to_json(false, &[choice], None)).into()
  }

  /// Renders the body of a response that is not streamed.
  pub fn complete(
    &self,
    text: &str,
    tokens: u64,
    finish_reason: &str,
    prompt_tokens: u64,
  ) -> String {
    let mut choice = self.choice(Some(text), Some(finish_reason));
    if self.endpoint == Endpoint::Chat {
      choice.delta = None;
      choice.message = Some(Message {
        content: text,
        refusal: None,
        role: "assistant",
      });
    }
    self.to_json(true, &[choice], Some(usage(prompt_tokens, tokens)))
  }
}

fn format_event(id: Option<u64>, data: &str) -> String {
  match id {
    Some(id) => format!("id: {id}\ndata: {data}\n\n"),
    None => format!("data: {data}\n\n"),
  }
}

fn usage(prompt_tokens: u64, completion_tokens: u64) -> Usage {
  Usage {
    completion_tokens,
    prompt_tokens,
    total_tokens: prompt_tokens + completion_tokens,
  }
}
