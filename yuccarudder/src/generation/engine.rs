use {
  super::{Event, Id, Input},
  crate::{
    http::{self, BodyError},
    tree::Settings,
    upstream::{Admission, Call, Error, Pool, SendCheck},
  },
  bytes::Bytes,
  eventsource_stream::Eventsource,
  futures::{StreamExt, stream::BoxStream},
  http_body_util::BodyExt,
  hyper::{Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE},
  serde_json::{Map, Value},
  std::{net::SocketAddr, time::Duration},
  tokio::time,
};

/// Maximum size of an event, which is larger than any that engines send. A stream without event ends
/// therefore fails instead of filling the memory.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Timeout of each cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
const CANCEL_ATTEMPTS: u32 = 3;

/// The events of one generation, received from its engine over one HTTP response.
pub struct EventStream {
  events: BoxStream<'static, Input>,
}

/// The position in a stream of server-sent events.
#[derive(Default)]
struct EventPosition {
  /// Size of the event that has not ended yet.
  event_bytes: usize,
  /// Whether nothing has followed the last line end.
  at_line_start: bool,
}

impl EventPosition {
  /// Advances past bytes of the stream. A blank line ends an event.
  fn advance(&mut self, bytes: &[u8]) {
    for byte in bytes {
      self.event_bytes += 1;
      match byte {
        b'\n' if self.at_line_start => self.event_bytes = 0,
        b'\n' => self.at_line_start = true,
        b'\r' => {}
        _ => self.at_line_start = false,
      }
    }
  }
}

impl EventStream {
  pub(super) fn new(body: Incoming) -> Self {
    let mut position = EventPosition::default();
    let events = body
      .into_data_stream()
      .map(move |chunk| {
        let chunk = chunk.map_err(|error| Box::new(error) as BodyError)?;
        position.advance(&chunk);
        if position.event_bytes > MAX_EVENT_BYTES {
          return Err("an event exceeds the maximum size".into());
        }
        Ok::<_, BodyError>(chunk)
      })
      .eventsource()
      .map(|event| match event {
        Ok(event) => {
          serde_json::from_str::<Event>(&event.data).map_or(Input::ConnectionLost, Input::Event)
        }
        Err(_) => Input::ConnectionLost,
      });
    Self {
      events: events.boxed(),
    }
  }

  /// Returns the next event, or `Input::ConnectionLost` if the response has ended or is malformed.
  pub async fn next(&mut self) -> Input {
    self.events.next().await.unwrap_or(Input::ConnectionLost)
  }
}

/// The result of a request for the events of a generation.
pub enum OpenOutcome {
  /// The engine takes no work now (status 429 or 503).
  Busy,
  /// The engine does not know the generation (status 404).
  NotFound,
  /// The engine sends the events.
  Stream(EventStream),
  /// No response head arrived before the timeout.
  TimedOut,
  /// The engine refused the request with another status.
  Refused(StatusCode),
  /// The call ended without a response head.
  Failed(Error),
}

/// A client of one engine.
pub struct Engine<'a> {
  /// Address of the engine.
  pub address: SocketAddr,
  /// Effective settings in the data centre of the engine.
  pub settings: Settings,
  /// Connection pool to use.
  pub pool: &'a Pool,
}

impl Engine<'_> {
  async fn open_stream(&self, call: Call, timeout: Duration) -> OpenOutcome {
    match time::timeout(timeout, self.pool.send(call)).await {
      Ok(Ok(response)) => open_outcome(response),
      Ok(Err(error)) => OpenOutcome::Failed(error),
      Err(_) => OpenOutcome::TimedOut,
    }
  }

  /// Requests the events of an existing generation, starting at the token index `from`.
  pub async fn resume(&self, generation: Id, from: u64) -> OpenOutcome {
    let uri = format!("/v1/generations/{generation}?from={from}");
    let request = Request::get(uri).body(http::empty()).expect("the request is valid");
    let call = Call::new(self.address, self.settings.connect_timeout, request);
    self.open_stream(call, self.settings.stall_timeout).await
  }

  /// Starts a generation and requests its events.
  pub async fn start(
    &self,
    generation: Id,
    body: &Map<String, Value>,
    admission: Option<Admission>,
    send_check: SendCheck,
  ) -> OpenOutcome {
    let mut body = body.clone();
    let keep_ms = u64::try_from(self.settings.reattach_window.as_millis()).unwrap_or(u64::MAX);
    body.insert("generation".into(), generation.to_string().into());
    body.insert("keep_ms".into(), keep_ms.into());
    body.insert("priority".into(), self.settings.priority.into());
    let bytes = Bytes::from(Value::Object(body).to_string());
    let request = Request::post("/v1/generations")
      .header(CONTENT_TYPE, "application/json")
      .body(http::full(bytes))
      .expect("the request is valid");
    let call = Call {
      admission,
      // The response to an earlier request might refuse this one.
      new_connection: true,
      send_check,
      ..Call::new(self.address, self.settings.connect_timeout, request)
    };
    self.open_stream(call, self.settings.first_token_timeout).await
  }
}

fn open_outcome(response: Response<Incoming>) -> OpenOutcome {
  match response.status() {
    StatusCode::OK => OpenOutcome::Stream(EventStream::new(response.into_body())),
    StatusCode::NOT_FOUND => OpenOutcome::NotFound,
    StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => OpenOutcome::Busy,
    status => OpenOutcome::Refused(status),
  }
}

/// Cancels a generation; stops after `CANCEL_ATTEMPTS` failed requests.
pub async fn cancel(pool: Pool, address: SocketAddr, generation: Id, connect_timeout: Duration) {
  for _ in 0..CANCEL_ATTEMPTS {
    let request = Request::delete(format!("/v1/generations/{generation}"));
    let request = request.body(http::empty()).expect("the request is valid");
    let call = Call::new(address, connect_timeout, request);
    if let Ok(Ok(_)) = time::timeout(CANCEL_TIMEOUT, pool.send(call)).await {
      return;
    }
  }
}
