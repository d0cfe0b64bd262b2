use {
  super::{Batch, Faults, Load, Traits, batch::Start, stream::Stream},
  crate::answer,
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

const GENERATIONS: &str = "/v1/generations";
const LOAD_LAG: Duration = Duration::from_millis(500);
const MEAN_LOG_LENGTH: f64 = 4.5;
const SPREAD_LOG_LENGTH: f64 = 1.0;

#[derive(Deserialize)]
struct Order {
  generation: Id,
  keep_ms: u64,
  max_tokens: u64,
  messages: Option<serde_json::Value>,
  priority: u64,
  prompt: Option<serde_json::Value>,
  /// Exact number of tokens, for tests.
  rig_tokens: Option<u64>,
}

impl Order {
  /// Draws a long-tailed length that no one knows ahead.
  fn length(&self, shortest: u64) -> u64 {
    let drawn = self.rig_tokens.unwrap_or_else(|| {
      let mut seed = [0; 32];
      seed[..16].copy_from_slice(&self.generation.0);
      let mut random = ChaCha8Rng::from_seed(seed);
      let lengths = LogNormal::new(MEAN_LOG_LENGTH, SPREAD_LOG_LENGTH).expect("the spread is fit");
      // A float converts to the nearest whole number in range.
      lengths.sample(&mut random) as u64
    });
    drawn.max(shortest).clamp(1, self.max_tokens)
  }

  /// Estimates the prompt's tokens as one per four bytes.
  fn prompt_tokens(&self) -> u64 {
    let prompt = self.messages.as_ref().or(self.prompt.as_ref());
    let bytes = prompt.map_or(0, |prompt| prompt.to_string().len());
    bytes as u64 / 4 + 1
  }
}

/// A model engine.
#[derive(Clone)]
pub struct Engine {
  asked: Arc<AtomicU64>,
  batch: Arc<Mutex<Batch>>,
  faults: Arc<Mutex<Faults>>,
  reported: Arc<Mutex<Load>>,
  traits: Traits,
}

impl Engine {
  /// Answers one request.
  pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let id = path
      .strip_prefix(GENERATIONS)
      .and_then(|rest| rest.strip_prefix('/'))
      .and_then(|id| serde_json::from_value::<Id>(id.into()).ok());
    match (request.method(), path.as_str(), id) {
      (&Method::DELETE, _, Some(id)) => {
        let cancelled = lock(&self.batch).cancel(id);
        answer::status(if cancelled {
          StatusCode::NO_CONTENT
        } else {
          StatusCode::NOT_FOUND
        })
      }
      (&Method::GET, _, Some(id)) => {
        if lock(&self.faults).forget {
          return answer::status(StatusCode::NOT_FOUND);
        }
        let from = http::query_parameter(&request, "from").and_then(|from| from.parse().ok());
        self.read(id, from.unwrap_or_default()).await
      }
      (&Method::GET, "/v1/load", _) => answer::json(&*lock(&self.reported)),
      (&Method::POST, GENERATIONS, _) => self.start(request).await,
      (&Method::PUT, "/faults", _) => answer::put(request, |faults| self.set_faults(faults)).await,
      _ => answer::status(StatusCode::NOT_FOUND),
    }
  }

  /// Returns the number of generations that it was asked to start.
  pub fn asked(&self) -> u64 {
    self.asked.load(Ordering::Relaxed)
  }

  /// Returns the load as it is now.
  pub fn load(&self) -> Load {
    lock(&self.batch).load()
  }

  /// Builds an idle engine.
  pub fn new(traits: Traits) -> Self {
    Self {
      asked: Arc::default(),
      batch: Arc::new(Mutex::new(Batch::new(traits))),
      faults: Arc::default(),
      reported: Arc::default(),
      traits,
    }
  }

  async fn read(&self, id: Id, from: u64) -> Response<Body> {
    if lock(&self.faults).swallow {
      future::pending::<()>().await;
    }
    let attached = lock(&self.batch).attach(id);
    let Some((progress, prompt_tokens)) = attached else {
      return answer::status(StatusCode::NOT_FOUND);
    };
    let reader = progress.borrow().reader;
    let detach = Detach {
      batch: Arc::clone(&self.batch),
      id,
      reader,
    };
    let events = Stream::new(id, from, progress, prompt_tokens, Arc::clone(&self.faults))
      .stamped(self.traits.stamped);
    let frames = stream::unfold((events, detach), |(mut events, detach)| async move {
      let bytes = events.next().await?;
      Some((Ok::<_, BodyError>(Frame::data(bytes)), (events, detach)))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
  }

  /// Steps the batch and publishes late load reports until the task is dropped.
  pub async fn run(self) {
    let mut steps = time::interval(self.traits.step);
    steps.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reports = time::interval(LOAD_LAG);
    let mut fresh = self.load();
    *lock(&self.reported) = fresh;
    loop {
      tokio::select! {
        _ = steps.tick() => {
          if !lock(&self.faults).stall {
            lock(&self.batch).step(Instant::now());
          }
        }
        _ = reports.tick() => {
          *lock(&self.reported) = fresh;
          fresh = self.load();
        }
      }
    }
  }

  /// Sets how the engine misbehaves.
  pub fn set_faults(&self, faults: Faults) {
    *lock(&self.faults) = faults;
  }

  async fn start(&self, request: Request<Incoming>) -> Response<Body> {
    self.asked.fetch_add(1, Ordering::Relaxed);
    if lock(&self.faults).refuse {
      return answer::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let Some(order) = answer::parse::<Order>(request).await else {
      return answer::status(StatusCode::BAD_REQUEST);
    };
    let started = lock(&self.batch).start(Start {
      id: order.generation,
      keep: Duration::from_millis(order.keep_ms),
      length: order.length(self.traits.shortest),
      priority: order.priority,
      prompt_tokens: order.prompt_tokens(),
    });
    if !started {
      return answer::status(StatusCode::CONFLICT);
    }
    self.read(order.generation, 0).await
  }
}

struct Detach {
  batch: Arc<Mutex<Batch>>,
  id: Id,
  reader: u64,
}

impl Drop for Detach {
  fn drop(&mut self) {
    lock(&self.batch).detach(self.id, self.reader, Instant::now());
  }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
