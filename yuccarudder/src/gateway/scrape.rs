use {
  super::Gateway,
  crate::http::{self, Body},
  hyper::{Request, Response, StatusCode, body::Incoming},
};

/// Answers a reader of metrics.
pub async fn handle(gateway: Gateway, _request: Request<Incoming>) -> Response<Body> {
  refresh(&gateway);
  let text = gateway.metrics.render() + &gateway.instruments.render();
  http::text(StatusCode::OK, text)
}

fn refresh(gateway: &Gateway) {
  let now = gateway.clock.boot();
  let instruments = &gateway.instruments;
  let runs = gateway.placements.lock().len();
  let state = gateway.lock();
  let age = state.freshness.age(now).map_or(f64::INFINITY, |age| age.as_secs_f64());
  let hosts = state.members.live(now).count();
  let version = state.version();
  drop(state);
  let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
  instruments.catalog_age.set(age);
  instruments.live_hosts.set(gauge(hosts));
  instruments.active_requests.set(gauge(runs));
  instruments.available_targets.set(gauge(gateway.available_target_count()));
  gateway.metrics.settings_age.set(age);
  gateway.metrics.settings_revision.set(i64::try_from(version).unwrap_or(i64::MAX));
}
