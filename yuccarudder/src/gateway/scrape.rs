use {
  super::Gateway,
  crate::http::{self, Body},
  hyper::{Request, Response, StatusCode, body::Incoming},
};

/// Responds to a scrape with all metrics in the Prometheus text format.
pub async fn handle(gateway: Gateway, _request: Request<Incoming>) -> Response<Body> {
  update_gauges(&gateway);
  let text = gateway.metrics.render() + &gateway.instruments.render();
  http::text(StatusCode::OK, text)
}

/// Sets the gauges, which are only computed when they are scraped.
fn update_gauges(gateway: &Gateway) {
  let now = gateway.clock.since_boot();
  let instruments = &gateway.instruments;
  let active_requests = gateway.scheduler.lock().len();
  let state = gateway.lock();
  let age = state.freshness.age(now).map_or(f64::INFINITY, |age| age.as_secs_f64());
  let live_hosts = state.members.live(now).count();
  let version = state.catalog_version();
  let paced_targets = state.paces.len();
  instruments.pause_hazard.set(state.paces.total_rate(gateway.clock.now()));
  drop(state);
  let to_gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
  instruments.catalog_age.set(age);
  instruments.paced_targets.set(to_gauge(paced_targets));
  instruments.live_hosts.set(to_gauge(live_hosts));
  instruments.active_requests.set(to_gauge(active_requests));
  instruments.available_targets.set(to_gauge(gateway.available_target_count()));
  gateway.update_account_gauges();
  gateway.metrics.settings_age.set(age);
  gateway.metrics.settings_revision.set(i64::try_from(version).unwrap_or(i64::MAX));
}
