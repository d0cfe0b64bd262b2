//! A stand-in for a plain service that counts how often each job runs.

use {
  crate::endpoint,
  bytes::Bytes,
  futures::{StreamExt, stream},
  http_body_util::{BodyExt, StreamBody},
  hyper::{
    Method, Request, Response, StatusCode,
    body::{Frame, Incoming},
    header::CONTENT_TYPE,
  },
  serde::{Deserialize, Serialize},
  std::{
    collections::BTreeMap,
    future,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
  },
  tokio::time,
  yuccarudder::http::{self, Body, BodyError},
};

const TRUNCATION_DELAY: Duration = Duration::from_millis(50);
const SLOTS_JSON: &str = r#"["09:00","10:30"]"#;

/// Faults that the service injects.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Faults {
  /// Whether each response to `/slots` is truncated after half of its body.
  pub cut: bool,
  /// Delay of each response to `/bookings` and `/slots`, in milliseconds.
  pub delay_ms: u64,
  /// Whether bookings run, but neither `/bookings` nor `/slots` ever responds.
  pub swallow: bool,
}

/// A server of a plain service.
///
/// A request to `/bookings` runs the job that its body names; `/slots` only reads.
#[derive(Clone, Default)]
pub struct PlainServer {
  faults: Arc<Mutex<Faults>>,
  runs: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl PlainServer {
  async fn book(&self, request: Request<Incoming>) -> Response<Body> {
    let Some(name) = endpoint::read_body(request).await else {
      return endpoint::status(StatusCode::BAD_REQUEST);
    };
    let name = String::from_utf8_lossy(&name).into_owned();
    let run = {
      let mut runs = lock(&self.runs);
      let run = runs.entry(name.clone()).or_default();
      *run += 1;
      *run
    };
    self.inject_faults().await;
    let mut response = http::text(StatusCode::CREATED, format!("booked {name} run {run}\n"));
    let content_type = "text/plain".parse().expect("the value is valid");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
  }

  /// Handles one request.
  pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
      (&Method::GET, "/runs") => endpoint::json(&self.runs()),
      (&Method::GET, "/slots") => {
        self.inject_faults().await;
        if lock(&self.faults).cut {
          truncated(SLOTS_JSON)
        } else {
          http::json(StatusCode::OK, SLOTS_JSON)
        }
      }
      (&Method::POST, "/bookings") => self.book(request).await,
      (&Method::POST, "/echo") => {
        let mut response = Response::new(http::incoming(request.into_body()));
        let content_type = "application/octet-stream".parse().expect("the value is valid");
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        response
      }
      (&Method::PUT, "/faults") => {
        endpoint::put_json(request, |faults| self.set_faults(faults)).await
      }
      _ => endpoint::status(StatusCode::NOT_FOUND),
    }
  }

  async fn inject_faults(&self) {
    let faults = *lock(&self.faults);
    if faults.swallow {
      future::pending::<()>().await;
    }
    if faults.delay_ms > 0 {
      time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
  }

  /// Returns how often each job ran, by job name.
  pub fn runs(&self) -> BTreeMap<String, u64> {
    lock(&self.runs).clone()
  }

  /// Sets the faults to inject.
  pub fn set_faults(&self, faults: Faults) {
    *lock(&self.faults) = faults;
  }
}

/// Returns a response that sends the first half of a text and fails after
/// [`TRUNCATION_DELAY`].
fn truncated(text: &'static str) -> Response<Body> {
  let first_half = Bytes::from_static(text.as_bytes()).slice(..text.len() / 2);
  let failure = async {
    time::sleep(TRUNCATION_DELAY).await;
    Err(BodyError::from("cut"))
  };
  let frames = stream::once(async { Ok(Frame::data(first_half)) }).chain(stream::once(failure));
  Response::new(StreamBody::new(frames).boxed_unsync())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
