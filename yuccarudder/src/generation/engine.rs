use {
  super::{Event, Id, Input},
  crate::{
    http::{self, Body, BodyError},
    tree::Knobs,
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

const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
const CANCEL_TRIES: u32 = 3;

/// A link to one generation at an engine.
pub struct Link {
  events: BoxStream<'static, Input>,
}

impl Link {
  fn new(body: Incoming) -> Self {
    let events = body
      .into_data_stream()
      .map(|chunk| chunk.map_err(|error| Box::new(error) as BodyError))
      .eventsource()
      .map(|event| match event {
        Ok(event) => {
          serde_json::from_str::<Event>(&event.data).map_or(Input::LinkLost, Input::Event)
        }
        Err(_) => Input::LinkLost,
      });
    Self {
      events: events.boxed(),
    }
  }

  /// Returns the next input.
  pub async fn next(&mut self) -> Input {
    self.events.next().await.unwrap_or(Input::LinkLost)
  }
}

/// What became of an attempt to open a link.
pub enum Opened {
  /// The engine takes no work now.
  Busy,
  /// The engine has no such generation.
  Gone,
  /// The link is open.
  Link(Link),
  /// No response head came in time.
  Stalled,
  /// The engine refused the request with this status.
  Refused(StatusCode),
  /// The call failed.
  Unsent(Error),
}

/// One engine as a host talks to it.
pub struct Engine<'a> {
  /// Where it listens.
  pub address: SocketAddr,
  /// The knobs at its data centre.
  pub knobs: Knobs,
  /// Connections to use.
  pub pool: &'a Pool,
}

impl Engine<'_> {
  async fn open(
    &self,
    request: Request<Body>,
    admission: Option<Admission>,
    send_check: SendCheck,
    timeout: Duration,
  ) -> Opened {
    let call = Call {
      admission,
      send_check,
      ..Call::new(self.address, self.knobs.connect_timeout, request)
    };
    match time::timeout(timeout, self.pool.send(call)).await {
      Ok(Ok(response)) => opened(response),
      Ok(Err(error)) => Opened::Unsent(error),
      Err(_) => Opened::Stalled,
    }
  }

  /// Opens a new link to a generation from a token index.
  pub async fn resume(&self, generation: Id, from: u64) -> Opened {
    let uri = format!("/v1/generations/{generation}?from={from}");
    let request = Request::get(uri).body(http::empty()).expect("the request is valid");
    self.open(request, None, Box::new(|| Ok(())), self.knobs.stall_timeout).await
  }

  /// Starts a generation.
  pub async fn start(
    &self,
    generation: Id,
    body: &Map<String, Value>,
    admission: Option<Admission>,
    permit: SendCheck,
  ) -> Opened {
    let mut body = body.clone();
    let keep = u64::try_from(self.knobs.reattach_window.as_millis()).unwrap_or(u64::MAX);
    body.insert("generation".into(), generation.to_string().into());
    body.insert("keep_ms".into(), keep.into());
    body.insert("priority".into(), self.knobs.priority.into());
    let bytes = Bytes::from(Value::Object(body).to_string());
    let request = Request::post("/v1/generations")
      .header(CONTENT_TYPE, "application/json")
      .body(http::full(bytes))
      .expect("the request is valid");
    self.open(request, admission, permit, self.knobs.first_token_timeout).await
  }
}

fn opened(response: Response<Incoming>) -> Opened {
  match response.status() {
    StatusCode::OK => Opened::Link(Link::new(response.into_body())),
    StatusCode::NOT_FOUND => Opened::Gone,
    StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Opened::Busy,
    status => Opened::Refused(status),
  }
}

/// Cancels a generation, trying a few times.
pub async fn cancel(pool: Pool, address: SocketAddr, generation: Id, connect_timeout: Duration) {
  for _ in 0..CANCEL_TRIES {
    let request = Request::delete(format!("/v1/generations/{generation}"));
    let request = request.body(http::empty()).expect("the request is valid");
    let call = Call::new(address, connect_timeout, request);
    if let Ok(Ok(_)) = time::timeout(CANCEL_TIMEOUT, pool.send(call)).await {
      return;
    }
  }
}
