//! A stand-in for the platform's configuration service.

use {
  crate::endpoint,
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
  /// Revision; each publication increases it by one.
  pub revision: u64,
  /// Text of the document.
  pub text: String,
}

/// Faults that the platform injects.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Faults {
  /// Delay of each read, in milliseconds.
  pub delay_ms: u64,
  /// Whether every read fails with status 500.
  pub down: bool,
}

struct State {
  calls: Mutex<u64>,
  faults: Mutex<Faults>,
  hosts: watch::Sender<Document>,
  settings: watch::Sender<Document>,
}

/// The platform's configuration service, which publishes the host list and the settings tree.
#[derive(Clone)]
pub struct Platform {
  state: Arc<State>,
}

impl Platform {
  /// Returns the number of reads so far; a long poll counts as one.
  pub fn calls(&self) -> u64 {
    *lock(&self.state.calls)
  }

  /// Handles one request.
  pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
      (&Method::GET, "/v1/hosts") => self.read(Key::Hosts, &request).await,
      (&Method::GET, "/v1/settings") => self.read(Key::Settings, &request).await,
      (&Method::GET, "/calls") => endpoint::json(&self.calls()),
      (&Method::PUT, "/v1/hosts") => self.replace(Key::Hosts, request).await,
      (&Method::PUT, "/v1/settings") => self.replace(Key::Settings, request).await,
      (&Method::PUT, "/faults") => {
        endpoint::put_json(request, |faults| self.set_faults(faults)).await
      }
      _ => endpoint::status(StatusCode::NOT_FOUND),
    }
  }

  /// Creates a service that publishes both documents under revision 1.
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
    self.channel(key).send_modify(|document| {
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
      return endpoint::status(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let parameter =
      |name| http::query_parameter(request, name).and_then(|text| text.parse::<u64>().ok());
    let known_revision = parameter("after").unwrap_or_default();
    let wait = Duration::from_millis(parameter("wait_ms").unwrap_or_default());
    let mut receiver = self.channel(key).subscribe();
    let changed = receiver.wait_for(|document| document.revision != known_revision);
    // After a timeout, the response has the unchanged revision.
    let _ = time::timeout(wait, changed).await;
    let document = receiver.borrow().clone();
    let mut response = if document.revision == known_revision {
      endpoint::status(StatusCode::NOT_MODIFIED)
    } else {
      http::text(StatusCode::OK, document.text)
    };
    response.headers_mut().insert(REVISION_HEADER, document.revision.into());
    response
  }

  async fn replace(&self, key: Key, request: Request<Incoming>) -> Response<Body> {
    let text =
      endpoint::read_body(request).await.and_then(|bytes| String::from_utf8(bytes.into()).ok());
    let Some(text) = text else {
      return endpoint::status(StatusCode::BAD_REQUEST);
    };
    self.publish(key, text);
    endpoint::status(StatusCode::NO_CONTENT)
  }

  /// Replaces a document by an older one, as a platform does that is stale or restored from a
  /// backup.
  pub fn restore(&self, key: Key, document: Document) {
    self.channel(key).send_replace(document);
  }

  /// Sets the faults to inject.
  pub fn set_faults(&self, faults: Faults) {
    *lock(&self.state.faults) = faults;
  }

  fn channel(&self, key: Key) -> &watch::Sender<Document> {
    match key {
      Key::Hosts => &self.state.hosts,
      Key::Settings => &self.state.settings,
    }
  }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
