use {
  super::{Batch, Config, Faults, Load, batch::Spec, stream::Stream},
  crate::endpoint,
  futures::stream,
  http_body_util::{BodyExt, StreamBody},
  hyper::{
    Method, Request, Response, StatusCode,
    body::{Frame, Incoming},
    header::{CONTENT_TYPE, HeaderValue},
  },
  rand::SeedableRng,
  rand_chacha::ChaCha8Rng,
  rand_distr::{Distribution, LogNormal},
  serde::Deserialize,
  std::{
    future,
    sync::{
      Arc, Mutex, MutexGuard, PoisonError,
      atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
  },
  tokio::time::{self, MissedTickBehavior},
  yuccarudder::{
    generation::Id,
    http::{self, Body, BodyError},
  },
};

const GENERATIONS_PATH: &str = "/v1/generations";
/// Interval between load reports, and the age of each when it is published.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Mean of the natural logarithm of a generation's length in tokens.
const LENGTH_LOG_MEAN: f64 = 4.5;
/// Standard deviation of the natural logarithm of a generation's length in tokens.
const LENGTH_LOG_DEVIATION: f64 = 1.0;

/// Body of a request to start a generation.
#[derive(Deserialize)]
struct StartRequest {
  generation: Id,
  keep_ms: u64,
  max_tokens: u64,
  messages: Option<serde_json::Value>,
  priority: u64,
  prompt: Option<serde_json::Value>,
  /// Exact number of tokens to decode, set by tests and load generators.
  rig_tokens: Option<u64>,
}

impl StartRequest {
  /// Returns the number of tokens to decode: `rig_tokens`, or a sample of a long-tailed
  /// distribution that is seeded with the generation ID. As with real engines, the router cannot
  /// know the length in advance.
  fn length(&self, min_tokens: u64) -> u64 {
    let sampled = self.rig_tokens.unwrap_or_else(|| {
      let mut seed = [0; 32];
      seed[..16].copy_from_slice(&self.generation.0);
      let mut random = ChaCha8Rng::from_seed(seed);
      let lengths = LogNormal::new(LENGTH_LOG_MEAN, LENGTH_LOG_DEVIATION)
        .expect("the standard deviation is finite");
      // The cast truncates and saturates at the bounds of `u64`.
      lengths.sample(&mut random) as u64
    });
    sampled.max(min_tokens).clamp(1, self.max_tokens)
  }

  /// Estimates the number of prompt tokens as one per four bytes of JSON.
  fn prompt_tokens(&self) -> u64 {
    let prompt = self.messages.as_ref().or(self.prompt.as_ref());
    let bytes = prompt.map_or(0, |prompt| prompt.to_string().len());
    bytes as u64 / 4 + 1
  }
}

/// A stand-in engine, which handles the HTTP API of a model engine.
#[derive(Clone)]
pub struct Engine {
  start_requests: Arc<AtomicU64>,
  batch: Arc<Mutex<Batch>>,
  faults: Arc<Mutex<Faults>>,
  reported_load: Arc<Mutex<Load>>,
  config: Config,
}

impl Engine {
  /// Handles one request.
  pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let id = path
      .strip_prefix(GENERATIONS_PATH)
      .and_then(|rest| rest.strip_prefix('/'))
      .and_then(|id| serde_json::from_value::<Id>(id.into()).ok());
    match (request.method(), path.as_str(), id) {
      (&Method::DELETE, _, Some(id)) => {
        let cancelled = lock(&self.batch).cancel(id);
        endpoint::status(if cancelled {
          StatusCode::NO_CONTENT
        } else {
          StatusCode::NOT_FOUND
        })
      }
      (&Method::GET, _, Some(id)) => {
        if lock(&self.faults).forget {
          return endpoint::status(StatusCode::NOT_FOUND);
        }
        let from = http::query_parameter(&request, "from").and_then(|from| from.parse().ok());
        self.attach(id, from.unwrap_or_default()).await
      }
      (&Method::GET, "/v1/load", _) => endpoint::json(&*lock(&self.reported_load)),
      (&Method::POST, GENERATIONS_PATH, _) => self.start(request).await,
      (&Method::PUT, "/faults", _) => {
        endpoint::put_json(request, |faults| self.set_faults(faults)).await
      }
      _ => endpoint::status(StatusCode::NOT_FOUND),
    }
  }

  /// Returns the number of start requests received, including refused ones.
  pub fn start_requests(&self) -> u64 {
    self.start_requests.load(Ordering::Relaxed)
  }

  /// Returns the current load, without the delay of the reported load.
  pub fn load(&self) -> Load {
    lock(&self.batch).load()
  }

  /// Creates an engine without generations.
  pub fn new(config: Config) -> Self {
    Self {
      start_requests: Arc::default(),
      batch: Arc::new(Mutex::new(Batch::new(config))),
      faults: Arc::default(),
      reported_load: Arc::default(),
      config,
    }
  }

  async fn attach(&self, id: Id, first_index: u64) -> Response<Body> {
    if lock(&self.faults).swallow {
      future::pending::<()>().await;
    }
    let attached = lock(&self.batch).attach(id);
    let Some((progress, prompt_tokens)) = attached else {
      return endpoint::status(StatusCode::NOT_FOUND);
    };
    let reader = progress.borrow().newest_reader;
    let guard = ReaderGuard {
      batch: Arc::clone(&self.batch),
      id,
      reader,
    };
    let events = Stream::new(
      id,
      first_index,
      progress,
      prompt_tokens,
      Arc::clone(&self.faults),
    )
    .timestamps(self.config.timestamps);
    let frames = stream::unfold((events, guard), |(mut events, guard)| async move {
      let bytes = events.next().await?;
      Some((Ok::<_, BodyError>(Frame::data(bytes)), (events, guard)))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let content_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
  }

  /// Steps the batch and publishes load reports until the task is dropped.
  ///
  /// Each report is published one interval after it was taken, as the reports of real engines lag
  /// behind their load.
  pub async fn run(self) {
    let mut steps = time::interval(self.config.step);
    steps.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reports = time::interval(LOAD_REPORT_INTERVAL);
    let mut next_report = self.load();
    *lock(&self.reported_load) = next_report;
    loop {
      tokio::select! {
        _ = steps.tick() => {
          if !lock(&self.faults).stall {
            lock(&self.batch).step(Instant::now());
          }
        }
        _ = reports.tick() => {
          *lock(&self.reported_load) = next_report;
          next_report = self.load();
        }
      }
    }
  }

  /// Sets the faults to inject.
  pub fn set_faults(&self, faults: Faults) {
    *lock(&self.faults) = faults;
  }

  async fn start(&self, request: Request<Incoming>) -> Response<Body> {
    self.start_requests.fetch_add(1, Ordering::Relaxed);
    if lock(&self.faults).refuse {
      return endpoint::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let Some(start) = endpoint::read_json::<StartRequest>(request).await else {
      return endpoint::status(StatusCode::BAD_REQUEST);
    };
    let started = lock(&self.batch).start(Spec {
      id: start.generation,
      reader_timeout: Duration::from_millis(start.keep_ms),
      length: start.length(self.config.min_tokens),
      priority: start.priority,
      prompt_tokens: start.prompt_tokens(),
    });
    if !started {
      return endpoint::status(StatusCode::CONFLICT);
    }
    self.attach(start.generation, 0).await
  }
}

/// Detaches a reader from its generation when the response ends or is dropped.
struct ReaderGuard {
  batch: Arc<Mutex<Batch>>,
  id: Id,
  reader: u64,
}

impl Drop for ReaderGuard {
  fn drop(&mut self) {
    lock(&self.batch).detach(self.id, self.reader, Instant::now());
  }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
