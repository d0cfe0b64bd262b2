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

const MAX_REATTACHES: u32 = 20;
const RETRY_DELAY: Duration = Duration::from_millis(100);

#[derive(Deserialize)]
struct Delta {
  content: Option<String>,
}

#[derive(Deserialize)]
struct Choice {
  delta: Option<Delta>,
  finish_reason: Option<String>,
  text: Option<String>,
}

#[derive(Deserialize)]
struct Chunk {
  choices: Vec<Choice>,
}

/// One token as a caller gets it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Token {
  /// Its index.
  pub index: u64,
  /// Its text.
  pub text: String,
}

/// A streamed generation, followed from host to host.
pub struct Generation {
  client: Client,
  events: BoxStream<'static, Option<Event>>,
  finish_reason: Option<String>,
  last: Option<u64>,
  /// How often the stream was taken up again.
  pub reattach_attempts: u32,
  shape: Endpoint,
  token: Option<String>,
}

impl Generation {
  /// Returns why the generation ended, once it is whole.
  pub fn finish_reason(&self) -> Option<&str> {
    self.finish_reason.as_deref()
  }

  pub(super) fn new(client: Client, shape: Endpoint, response: Response<Incoming>) -> Self {
    let mut generation = Self {
      client,
      events: futures::stream::empty().boxed(),
      finish_reason: None,
      last: None,
      reattach_attempts: 0,
      shape,
      token: None,
    };
    generation.take_up(response);
    generation
  }

  /// Returns the next token, or `None` when the generation is whole.
  ///
  /// # Errors
  ///
  /// Returns what is known about a generation that ended early.
  pub async fn next(&mut self) -> Result<Option<Token>, Failure> {
    loop {
      let Some(event) = self.events.next().await.flatten() else {
        self.reattach(Vec::new()).await?;
        continue;
      };
      if event.event == "moved" {
        self.follow(&event).await?;
        continue;
      }
      if event.data == "[DONE]" && self.finish_reason.is_some() {
        return Ok(None);
      }
      if let Some(token) = self.read(&event)? {
        return Ok(Some(token));
      }
    }
  }

  async fn follow(&mut self, event: &Event) -> Result<(), Failure> {
    let moved: Moved = serde_json::from_str(&event.data).map_err(|error| bad(&error))?;
    self.token = Some(moved.reattach);
    self.reattach(moved.entries).await
  }

  fn read(&mut self, event: &Event) -> Result<Option<Token>, Failure> {
    if let Some(failure) = Failure::parse(event.data.as_bytes()) {
      return Err(failure);
    }
    let chunk: Chunk = serde_json::from_str(&event.data).map_err(|error| bad(&error))?;
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
    let text = match self.shape {
      Endpoint::Chat => choice.delta.and_then(|delta| delta.content),
      Endpoint::Text => choice.text,
    };
    self.last = Some(index);
    let text = text.unwrap_or_default();
    Ok(Some(Token { index, text }))
  }

  async fn reattach(&mut self, named: Vec<SocketAddr>) -> Result<(), Failure> {
    let lost = || Failure::local(Execution::Unknown, "link_lost", "the stream broke off");
    let Some(token) = self.token.clone() else {
      return Err(lost());
    };
    let mut last = lost();
    while self.reattach_attempts < MAX_REATTACHES {
      let mut entries = named.clone();
      if entries.is_empty() {
        entries = self.client.entries().await.map(|answer| answer.entries).unwrap_or_default();
      }
      for entry in entries {
        self.reattach_attempts += 1;
        match self.client.reattach(entry, &token, self.last).await {
          Ok(response) => {
            self.take_up(response);
            return Ok(());
          }
          Err(failure) if failure.code == "generation_lost" => return Err(failure),
          Err(failure) => last = failure,
        }
      }
      self.reattach_attempts += 1;
      self.client.invalidate_entries();
      time::sleep(RETRY_DELAY).await;
    }
    Err(last)
  }

  fn take_up(&mut self, response: Response<Incoming>) {
    let token = response.headers().get(REATTACH_HEADER).and_then(|value| value.to_str().ok());
    self.token = token.map(str::to_owned).or(self.token.take());
    let events = response.into_body().into_data_stream().eventsource();
    self.events = events.map(Result::ok).boxed();
  }
}

fn bad(error: &serde_json::Error) -> Failure {
  Failure::local(Execution::Unknown, "bad_answer", error.to_string())
}
