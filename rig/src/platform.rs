//! A stand-in for the platform's configuration service.

use {
  crate::answer,
  hyper::{Method, Request, Response, StatusCode, body::Incoming},
  serde::{Deserialize, Serialize},
  std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
  },
  tokio::{sync::watch, time},
  yuccarudder::{
    http::{self, Body},
    platform::{Key, REVISION_HEADER},
  },
};

/// A published document.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Document {
  /// Its revision.
  pub revision: u64,
  /// Its text.
  pub text: String,
}

/// How the platform misbehaves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Faults {
  /// Time by which every answer is late.
  pub delay_ms: u64,
  /// Whether every call fails.
  pub down: bool,
}

struct State {
  calls: Mutex<u64>,
  faults: Mutex<Faults>,
  hosts: watch::Sender<Document>,
  settings: watch::Sender<Document>,
}

/// The platform's configuration service.
#[derive(Clone)]
pub struct Platform {
  state: Arc<State>,
}

impl Platform {
  /// Returns the number of reads so far, a waiting watch counted as one.
  pub fn calls(&self) -> u64 {
    *lock(&self.state.calls)
  }

  /// Answers one request.
  pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
      (&Method::GET, "/v1/hosts") => self.read(Key::Hosts, &request).await,
      (&Method::GET, "/v1/settings") => self.read(Key::Settings, &request).await,
      (&Method::GET, "/calls") => answer::json(&self.calls()),
      (&Method::PUT, "/v1/hosts") => self.replace(Key::Hosts, request).await,
      (&Method::PUT, "/v1/settings") => self.replace(Key::Settings, request).await,
      (&Method::PUT, "/faults") => answer::put(request, |faults| self.set_faults(faults)).await,
      _ => answer::status(StatusCode::NOT_FOUND),
    }
  }

  /// Publishes first documents.
  pub fn new(settings: String, hosts: String) -> Self {
    let document = |text| watch::Sender::new(Document { revision: 1, text });
    Self {
      state: Arc::new(State {
        calls: Mutex::default(),
        faults: Mutex::default(),
        hosts: document(hosts),
        settings: document(settings),
      }),
    }
  }

  /// Publishes a document under the next revision.
  pub fn publish(&self, key: Key, text: impl Into<String>) {
    let text = text.into();
    self.slot(key).send_modify(|document| {
      document.revision += 1;
      document.text = text;
    });
  }

  async fn read(&self, key: Key, request: &Request<Incoming>) -> Response<Body> {
    *lock(&self.state.calls) += 1;
    let faults = *lock(&self.state.faults);
    if faults.delay_ms > 0 {
      time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.down {
      return answer::status(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let number =
      |name| http::query_parameter(request, name).and_then(|text| text.parse::<u64>().ok());
    let after = number("after").unwrap_or_default();
    let wait = Duration::from_millis(number("wait_ms").unwrap_or_default());
    let mut published = self.slot(key).subscribe();
    let changed = published.wait_for(|document| document.revision != after);
    // A wait that runs out is answered with the unchanged revision.
    let _ = time::timeout(wait, changed).await;
    let document = published.borrow().clone();
    let mut response = if document.revision == after {
      answer::status(StatusCode::NOT_MODIFIED)
    } else {
      http::text(StatusCode::OK, document.text)
    };
    response.headers_mut().insert(REVISION_HEADER, document.revision.into());
    response
  }

  async fn replace(&self, key: Key, request: Request<Incoming>) -> Response<Body> {
    let text = answer::body(request).await.and_then(|bytes| String::from_utf8(bytes.into()).ok());
    let Some(text) = text else {
      return answer::status(StatusCode::BAD_REQUEST);
    };
    self.publish(key, text);
    answer::status(StatusCode::NO_CONTENT)
  }

  /// Puts an older document back, as a stale or restored platform does.
  pub fn rewind(&self, key: Key, document: Document) {
    self.slot(key).send_replace(document);
  }

  /// Sets how the platform misbehaves.
  pub fn set_faults(&self, faults: Faults) {
    *lock(&self.state.faults) = faults;
  }

  fn slot(&self, key: Key) -> &watch::Sender<Document> {
    match key {
      Key::Hosts => &self.state.hosts,
      Key::Settings => &self.state.settings,
    }
  }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
