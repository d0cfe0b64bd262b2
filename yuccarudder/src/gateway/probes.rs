use {
  super::Gateway,
  crate::http::{self, Body},
  hyper::{Request, Response, StatusCode, body::Incoming},
};

/// Answers a reader of metrics.
pub async fn metrics(gateway: Gateway, _request: Request<Incoming>) -> Response<Body> {
  refresh(&gateway);
  let text = gateway.metrics.render() + &gateway.meters.render();
  http::text(StatusCode::OK, text)
}

fn refresh(gateway: &Gateway) {
  let now = gateway.clock.boot();
  let meters = &gateway.meters;
  let runs = gateway.places.lock().len();
  let state = gateway.lock();
  let age = state.freshness.age(now).map_or(f64::INFINITY, |age| age.as_secs_f64());
  let hosts = state.members.live(now).count();
  let version = state.version();
  drop(state);
  let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
  meters.catalog_age.set(age);
  meters.hosts.set(gauge(hosts));
  meters.runs.set(gauge(runs));
  meters.targets.set(gauge(gateway.open_targets()));
  gateway.metrics.settings_age.set(age);
  gateway.metrics.settings_revision.set(i64::try_from(version).unwrap_or(i64::MAX));
}
