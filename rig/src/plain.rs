//! A stand-in for a plain service that counts every run of each request.

use {
  crate::answer,
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

const CUT_DELAY: Duration = Duration::from_millis(50);
const SLOTS: &str = r#"["09:00","10:30"]"#;

/// How the service misbehaves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Faults {
  /// Whether each answer to `/slots` breaks off half way.
  pub cut: bool,
  /// Time that each request takes.
  pub delay_ms: u64,
  /// Whether it runs each request and never answers.
  pub swallow: bool,
}

/// A plain service.
///
/// A request to `/bookings` runs the job that its body names; `/slots` only reads.
#[derive(Clone, Default)]
pub struct Plain {
  faults: Arc<Mutex<Faults>>,
  runs: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl Plain {
  async fn book(&self, request: Request<Incoming>) -> Response<Body> {
    let Some(name) = answer::body(request).await else {
      return answer::status(StatusCode::BAD_REQUEST);
    };
    let name = String::from_utf8_lossy(&name).into_owned();
    let run = {
      let mut runs = lock(&self.runs);
      let run = runs.entry(name.clone()).or_default();
      *run += 1;
      *run
    };
    self.misbehave().await;
    let mut response = http::text(StatusCode::CREATED, format!("booked {name} run {run}\n"));
    let kind = "text/plain".parse().expect("the value is valid");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
  }

  /// Answers one request.
  pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
      (&Method::GET, "/runs") => answer::json(&self.runs()),
      (&Method::GET, "/slots") => {
        self.misbehave().await;
        if lock(&self.faults).cut {
          cut(SLOTS)
        } else {
          http::json(StatusCode::OK, SLOTS)
        }
      }
      (&Method::POST, "/bookings") => self.book(request).await,
      (&Method::POST, "/echo") => {
        let mut response = Response::new(http::incoming(request.into_body()));
        let kind = "application/octet-stream".parse().expect("the value is valid");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response
      }
      (&Method::PUT, "/faults") => answer::put(request, |faults| self.set_faults(faults)).await,
      _ => answer::status(StatusCode::NOT_FOUND),
    }
  }

  async fn misbehave(&self) {
    let faults = *lock(&self.faults);
    if faults.swallow {
      future::pending::<()>().await;
    }
    if faults.delay_ms > 0 {
      time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
  }

  /// Returns how often each job ran.
  pub fn runs(&self) -> BTreeMap<String, u64> {
    lock(&self.runs).clone()
  }

  /// Sets how the service misbehaves.
  pub fn set_faults(&self, faults: Faults) {
    *lock(&self.faults) = faults;
  }
}

/// Answers with the first half of a text and breaks off a little later.
fn cut(text: &'static str) -> Response<Body> {
  let half = Bytes::from_static(text.as_bytes()).slice(..text.len() / 2);
  let broken = async {
    time::sleep(CUT_DELAY).await;
    Err(BodyError::from("cut"))
  };
  let frames = stream::once(async { Ok(Frame::data(half)) }).chain(stream::once(broken));
  Response::new(StreamBody::new(frames).boxed_unsync())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
