use {
  super::Status,
  crate::{
    drain::Phase,
    host::Host,
    http::{self, Body},
  },
  hyper::{Method, Request, Response, StatusCode, body::Incoming},
  std::time::Instant,
};

/// Handles one HTTP request from an operator.
pub async fn handle(host: Host, request: Request<Incoming>) -> Response<Body> {
  match (request.method(), request.uri().path()) {
    (&Method::GET, "/live") => http::text(StatusCode::OK, "live\n"),
    (&Method::GET, "/metrics") => {
      update_gauges(&host);
      http::text(StatusCode::OK, host.metrics.render())
    }
    (&Method::GET, "/ready") => readiness(&host),
    (&Method::GET, "/status") => {
      let text =
        serde_json::to_string_pretty(&Status::new(&host)).expect("a status is serializable");
      http::json(StatusCode::OK, text)
    }
    _ => http::text(
      StatusCode::NOT_FOUND,
      "see /live, /metrics, /ready and /status\n",
    ),
  }
}

fn readiness(host: &Host) -> Response<Body> {
  if host.drain.phase(host.clock.now()) > Phase::Serving {
    return http::text(StatusCode::SERVICE_UNAVAILABLE, "leaving\n");
  }
  match host.serving_tree() {
    Ok(_) => http::text(StatusCode::OK, "ready\n"),
    Err(refusal) => {
      let text = format!("{}\n", refusal.reason.name());
      http::text(StatusCode::SERVICE_UNAVAILABLE, text)
    }
  }
}

/// Updates the metrics that are computed when they are read.
fn update_gauges(host: &Host) {
  let now = host.clock.now();
  let view = host.view.borrow();
  let metrics = &host.metrics;
  metrics.active_requests.set(i64::try_from(host.limiter.total()).unwrap_or(i64::MAX));
  metrics.host_list_age.set(age_seconds(view.hosts.confirmed_at, now));
  metrics.settings_age.set(age_seconds(view.settings.confirmed_at, now));
  let revision = view.settings.accepted.as_ref().map_or(0, |accepted| accepted.revision);
  metrics.settings_revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
}

/// Returns the time in seconds since the last confirmation; infinite before the first one.
fn age_seconds(confirmed: Option<Instant>, now: Instant) -> f64 {
  confirmed.map_or(f64::INFINITY, |confirmed| {
    now.saturating_duration_since(confirmed).as_secs_f64()
  })
}
