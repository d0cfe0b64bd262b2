use {
  super::{Client, Failure},
  crate::{
    generation::{Endpoint, Moved, REATTACH_HEADER},
    refusal::Execution,
  },
  eventsource_stream::{Event, Eventsource},
  futures::{StreamExt, stream::BoxStream},
  http_body_util::BodyExt,
  hyper::{Response, body::Incoming},
  serde::Deserialize,
  std::{net::SocketAddr, time::Duration},
  tokio::time,
};

/// Number of attempts to resume one generation after which no further round over the hosts starts.
/// Each round counts as one more attempt, so that the rounds also end while no host is known.
const MAX_REATTACH_ATTEMPTS: u32 = 20;
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The new content in a chunk of a chat completion.
#[derive(Deserialize)]
struct Delta {
  content: Option<String>,
}

/// A choice of a chunk; chat completions set `delta`, text completions `text`.
#[derive(Deserialize)]
struct Choice {
  delta: Option<Delta>,
  finish_reason: Option<String>,
  text: Option<String>,
}

/// The data of a stream event.
#[derive(Deserialize)]
struct Chunk {
  choices: Vec<Choice>,
}

/// A token of a generation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Token {
  /// Position in the generation, from 0.
  pub index: u64,
  /// Text of the token.
  pub text: String,
}

/// A streamed generation that is resumed at another host when its connection breaks.
pub struct Generation {
  client: Client,
  events: BoxStream<'static, Option<Event>>,
  finish_reason: Option<String>,
  last_index: Option<u64>,
  /// Number of attempts to resume the stream, with a round over all hosts counted as one more.
  pub reattach_attempts: u32,
  endpoint: Endpoint,
  reattach_token: Option<String>,
}

impl Generation {
  /// Returns why the generation finished; `None` before it is complete.
  pub fn finish_reason(&self) -> Option<&str> {
    self.finish_reason.as_deref()
  }

  pub(super) fn new(client: Client, endpoint: Endpoint, response: Response<Incoming>) -> Self {
    let mut generation = Self {
      client,
      events: futures::stream::empty().boxed(),
      finish_reason: None,
      last_index: None,
      reattach_attempts: 0,
      endpoint,
      reattach_token: None,
    };
    generation.attach(response);
    generation
  }

  /// Returns the next token, or `None` when the generation is complete.
  ///
  /// # Errors
  ///
  /// Fails if the generation ended early and cannot be resumed.
  pub async fn next(&mut self) -> Result<Option<Token>, Failure> {
    loop {
      let Some(event) = self.events.next().await.flatten() else {
        self.reattach(Vec::new()).await?;
        continue;
      };
      if event.event == "moved" {
        self.follow_redirect(&event).await?;
        continue;
      }
      if event.data == "[DONE]" && self.finish_reason.is_some() {
        return Ok(None);
      }
      if let Some(token) = self.parse(&event)? {
        return Ok(Some(token));
      }
    }
  }

  /// Reattaches at the hosts that a `moved` event names.
  async fn follow_redirect(&mut self, event: &Event) -> Result<(), Failure> {
    let moved: Moved = serde_json::from_str(&event.data).map_err(|error| bad_answer(&error))?;
    self.reattach_token = Some(moved.reattach);
    self.reattach(moved.entries).await
  }

  /// Parses an event; `None` if it carries no token.
  fn parse(&mut self, event: &Event) -> Result<Option<Token>, Failure> {
    if let Some(failure) = Failure::parse(event.data.as_bytes()) {
      return Err(failure);
    }
    let chunk: Chunk = serde_json::from_str(&event.data).map_err(|error| bad_answer(&error))?;
    let Some(choice) = chunk.choices.into_iter().next() else {
      return Ok(None);
    };
    if choice.finish_reason.is_some() {
      self.finish_reason = choice.finish_reason;
      return Ok(None);
    }
    let Ok(index) = event.id.parse() else {
      return Ok(None);
    };
    let text = match self.endpoint {
      Endpoint::Chat => choice.delta.and_then(|delta| delta.content),
      Endpoint::Text => choice.text,
    };
    self.last_index = Some(index);
    let text = text.unwrap_or_default();
    Ok(Some(Token { index, text }))
  }

  /// Resumes the stream at one of the `preferred` hosts, or at any entry host if there are none.
  async fn reattach(&mut self, preferred: Vec<SocketAddr>) -> Result<(), Failure> {
    let connection_lost =
      || Failure::local(Execution::Unknown, "link_lost", "the stream broke off");
    let Some(token) = self.reattach_token.clone() else {
      return Err(connection_lost());
    };
    let mut last_failure = connection_lost();
    while self.reattach_attempts < MAX_REATTACH_ATTEMPTS {
      let mut entries = preferred.clone();
      if entries.is_empty() {
        entries = self.client.entries().await.map(|answer| answer.entries).unwrap_or_default();
      }
      for entry in entries {
        self.reattach_attempts += 1;
        match self.client.reattach(entry, &token, self.last_index).await {
          Ok(response) => {
            self.attach(response);
            return Ok(());
          }
          Err(failure) if failure.code == "generation_lost" => return Err(failure),
          Err(failure) => last_failure = failure,
        }
      }
      self.reattach_attempts += 1;
      self.client.invalidate_entries();
      time::sleep(RETRY_DELAY).await;
    }
    Err(last_failure)
  }

  /// Switches to the events of a response, and to its reattach token if it has one.
  fn attach(&mut self, response: Response<Incoming>) {
    let token = response.headers().get(REATTACH_HEADER).and_then(|value| value.to_str().ok());
    self.reattach_token = token.map(str::to_owned).or(self.reattach_token.take());
    let events = response.into_body().into_data_stream().eventsource();
    self.events = events.map(Result::ok).boxed();
  }
}

fn bad_answer(error: &serde_json::Error) -> Failure {
  Failure::local(Execution::Unknown, "bad_answer", error.to_string())
}
