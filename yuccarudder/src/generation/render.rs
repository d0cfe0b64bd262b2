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

#[derive(Serialize)]
struct Answer<'a> {
  choices: &'a [Choice<'a>],
  created: u64,
  id: &'a str,
  model: &'a str,
  object: &'a str,
  #[serde(skip_serializing_if = "Option::is_none")]
  usage: Option<Usage>,
}

/// Renders one generation for its endpoint of the completions API.
#[derive(Clone, Debug)]
pub struct Render {
  created: u64,
  id: String,
  model: String,
  endpoint: Endpoint,
}

impl Render {
  fn answer(&self, whole: bool, choices: &[Choice<'_>], usage: Option<Usage>) -> String {
    let object = match (self.endpoint, whole) {
      (Endpoint::Chat, false) => "chat.completion.chunk",
      (Endpoint::Chat, true) => "chat.completion",
      (Endpoint::Text, _) => "text_completion",
    };
    let answer = Answer {
      choices,
      created: self.created,
      id: &self.id,
      model: &self.model,
      object,
      usage,
    };
    serde_json::to_string(&answer).expect("an answer is serializable")
  }

  /// Renders the end of a stream.
  ///
  /// `tokens` is the number of tokens; `prompt_tokens` is present when the
  /// caller asked for usage counts.
  pub fn end(&self, tokens: u64, finish_reason: &str, prompt_tokens: Option<u64>) -> Bytes {
    let choice = self.piece(None, Some(finish_reason));
    let mut text = event(Some(tokens), &self.answer(false, &[choice], None));
    if let Some(prompt_tokens) = prompt_tokens {
      let usage = usage(prompt_tokens, tokens);
      text.push_str(&event(None, &self.answer(false, &[], Some(usage))));
    }
    text.push_str("data: [DONE]\n\n");
    text.into()
  }

  /// Builds a renderer; `created` is the time since the Unix epoch.
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

  fn piece<'a>(&self, content: Option<&'a str>, finish_reason: Option<&'a str>) -> Choice<'a> {
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

  /// Renders what precedes the first token.
  pub fn start(&self) -> Option<Bytes> {
    if self.endpoint == Endpoint::Text {
      return None;
    }
    let mut choice = self.piece(Some(""), None);
    choice.delta = Some(Delta {
      content: Some(""),
      role: Some("assistant"),
    });
    Some(event(None, &self.answer(false, &[choice], None)).into())
  }

  /// Renders one token of a stream.
  pub fn token(&self, index: u64, text: &str) -> Bytes {
    let choice = self.piece(Some(text), None);
    event(Some(index), &self.answer(false, &[choice], None)).into()
  }

  /// Renders a whole answer.
  pub fn whole(&self, text: &str, tokens: u64, finish_reason: &str, prompt_tokens: u64) -> String {
    let mut choice = self.piece(Some(text), Some(finish_reason));
    if self.endpoint == Endpoint::Chat {
      choice.delta = None;
      choice.message = Some(Message {
        content: text,
        refusal: None,
        role: "assistant",
      });
    }
    self.answer(true, &[choice], Some(usage(prompt_tokens, tokens)))
  }
}

fn event(id: Option<u64>, data: &str) -> String {
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
