//! Measurement of the latency that an entry host adds over direct requests to the same targets.

use {
  crate::{
    cpu, engine,
    engine::Config,
    fleet::{CREDENTIAL, Fleet, HOST_THREAD_NAME, MODEL, Options, SERVICE},
    tally::quantiles,
  },
  anyhow::{Context, ensure},
  argh::FromArgs,
  eventsource_stream::Eventsource,
  futures::StreamExt,
  hdrhistogram::Histogram,
  http_body_util::BodyExt,
  hyper::{Request, Response, StatusCode, body::Incoming, header::AUTHORIZATION},
  serde_json::{Value, json},
  std::{
    net::SocketAddr,
    time::{Duration, Instant},
  },
  tokio::{task::JoinSet, time},
  yuccarudder::{
    clock::Clock,
    generation::Id,
    http::{self, Body},
    upstream::{Call, Pool},
  },
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const READER_TIMEOUT_MS: u64 = 1000;
const PLAIN_CALL_COUNT: u32 = 4000;
const START_INTERVAL: Duration = Duration::from_millis(1);
const SIGNIFICANT_DIGITS: u8 = 3;

/// measure the latency that an entry host adds to each token and each plain call
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "overhead")]
pub struct Overhead {
  /// duration in seconds of the streams on each route
  #[argh(option, default = "8")]
  seconds: u64,

  /// number of engines, whose steps are out of phase
  #[argh(option, default = "20")]
  engines: usize,

  /// milliseconds between the tokens of a stream
  #[argh(option, default = "20")]
  step_ms: u64,

  /// number of concurrent streams
  #[argh(option, default = "1000")]
  streams: usize,

  /// number of threads of the entry host
  #[argh(option, default = "2")]
  threads: usize,
}

/// Route of a request to a target: direct or through an entry host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Route {
  Direct,
  Host,
}

/// Measurement of the streams on one route.
struct Measurement {
  /// CPU time of the host's threads.
  cpu_time: Duration,
  elapsed: Duration,
  /// Age of each token on arrival, in microseconds.
  latency: Histogram<u64>,
}

impl Measurement {
  /// Returns the number of tokens per second.
  fn rate(&self) -> f64 {
    self.latency.len() as f64 / self.elapsed.as_secs_f64()
  }
}

impl Overhead {
  /// Runs the measurement and prints its results.
  ///
  /// # Errors
  ///
  /// Fails if the fleet cannot be started or a request is refused.
  pub async fn run(self) -> anyhow::Result<()> {
    let fleet = Fleet::start(self.options()).await?;
    let direct = self.stream(&fleet, Route::Direct).await?;
    let host = self.stream(&fleet, Route::Host).await?;
    println!(
      "{} streams from {} engines, one token per {} ms, {} host threads",
      self.streams, self.engines, self.step_ms, self.threads
    );
    println!(
      "tokens direct: {:.0} per second, {}",
      direct.rate(),
      quantiles(&direct.latency)
    );
    println!(
      "tokens through host: {:.0} per second, {}",
      host.rate(),
      quantiles(&host.latency)
    );
    print_added(&direct.latency, &host.latency);
    let per_token = host.cpu_time.as_nanos() as f64 / host.latency.len() as f64 / 1000.0;
    let cores = host.cpu_time.as_secs_f64() / host.elapsed.as_secs_f64();
    println!("host CPU time: {per_token:.1} microseconds per token, {cores:.2} cores");
    let direct = call_plain(&fleet, Route::Direct).await?;
    let host = call_plain(&fleet, Route::Host).await?;
    println!("plain calls direct: {}", quantiles(&direct));
    println!("plain calls through host: {}", quantiles(&host));
    print_added(&direct, &host);
    Ok(())
  }

  fn options(&self) -> Options {
    Options {
      engines: self.engines.max(1),
      host_threads: self.threads,
      hosts: 1,
      overrides: vec!["concurrent_jobs: 100000".into(), "in_hand: 100000".into()],
      plain_servers: 1,
      engine_config: Config {
        max_running: self.streams,
        memory_tokens: u64::MAX >> 1,
        timestamps: true,
        step: Duration::from_millis(self.step_ms.max(1)),
        ..Config::default()
      },
      ..Options::default()
    }
  }

  async fn stream(&self, fleet: &Fleet, route: Route) -> anyhow::Result<Measurement> {
    let pool = Pool::new(Clock::system());
    let tokens = self.seconds * 1000 / self.step_ms.max(1);
    let cpu_time = cpu::thread_time(HOST_THREAD_NAME);
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    for index in 0..self.streams {
      let (address, request) = generation_request(fleet, route, index, tokens)?;
      let pool = pool.clone();
      tasks.spawn(async move { measure_latency(send(&pool, address, request).await?).await });
      // Opening all connections at once would add the wait in the accept queue to the latency.
      time::sleep(START_INTERVAL).await;
    }
    let mut latency = histogram();
    while let Some(result) = tasks.join_next().await {
      latency.add(result??)?;
    }
    Ok(Measurement {
      cpu_time: cpu::thread_time(HOST_THREAD_NAME) - cpu_time,
      elapsed: started.elapsed(),
      latency,
    })
  }
}

/// Prints the differences of the latencies in milliseconds.
fn print_added(direct: &Histogram<u64>, host: &Histogram<u64>) {
  let added = |quantile| {
    let microseconds = |histogram: &Histogram<u64>| histogram.value_at_quantile(quantile) as f64;
    (microseconds(host) - microseconds(direct)) / 1000.0
  };
  println!("added: p50 {:.3} ms, p99 {:.3} ms", added(0.5), added(0.99));
}

fn generation_request(
  fleet: &Fleet,
  route: Route,
  index: usize,
  tokens: u64,
) -> anyhow::Result<(SocketAddr, Request<Body>)> {
  let mut body = json!({
    "max_tokens": tokens,
    "model": MODEL,
    "prompt": "a",
    "rig_tokens": tokens,
    "stream": true,
  });
  let (address, path) = match route {
    Route::Direct => {
      body["generation"] = Value::from(Id::random().to_string());
      body["keep_ms"] = Value::from(READER_TIMEOUT_MS);
      body["priority"] = Value::from(5);
      (
        fleet.engines[index % fleet.engines.len()].address,
        "/v1/generations",
      )
    }
    Route::Host => (fleet.hosts[0].settings.callers, "/v1/completions"),
  };
  let request = Request::post(path).header(AUTHORIZATION, format!("Bearer {CREDENTIAL}"));
  Ok((address, request.body(http::full(body.to_string()))?))
}

fn histogram() -> Histogram<u64> {
  Histogram::new(SIGNIFICANT_DIGITS).expect("the precision is valid")
}

async fn call_plain(fleet: &Fleet, route: Route) -> anyhow::Result<Histogram<u64>> {
  let pool = Pool::new(Clock::system());
  let (address, path) = match route {
    Route::Direct => (fleet.plain_servers[0].address, "/slots".to_owned()),
    Route::Host => {
      let callers = fleet.hosts[0].settings.callers;
      (callers, format!("/v1/services/{SERVICE}/slots"))
    }
  };
  let mut latency = histogram();
  for _ in 0..PLAIN_CALL_COUNT {
    let request = Request::get(&path).header(AUTHORIZATION, format!("Bearer {CREDENTIAL}"));
    let started = Instant::now();
    let response = send(&pool, address, request.body(http::empty())?).await?;
    http::collect(response.into_body(), 1000).await.context("the response is incomplete")?;
    latency.record(u64::try_from(started.elapsed().as_micros())?)?;
  }
  Ok(latency)
}

/// Reads a stream of timestamped tokens and records the age of each on arrival, in microseconds.
async fn measure_latency(response: Response<Incoming>) -> anyhow::Result<Histogram<u64>> {
  let mut latency = histogram();
  let mut events = response.into_body().into_data_stream().eventsource();
  while let Some(event) = events.next().await {
    let data = event?.data;
    let Ok(value) = serde_json::from_str::<Value>(&data) else {
      continue;
    };
    let text = value["text"].as_str().or(value["choices"][0]["text"].as_str());
    if let Some(sent_ns) = text.and_then(|text| text.parse::<u64>().ok()) {
      latency.record(engine::timestamp_ns().saturating_sub(sent_ns) / 1000)?;
    }
  }
  Ok(latency)
}

async fn send(
  pool: &Pool,
  address: SocketAddr,
  request: Request<Body>,
) -> anyhow::Result<Response<Incoming>> {
  let call = Call::new(address, CONNECT_TIMEOUT, request);
  let response = pool.send(call).await.map_err(|error| anyhow::anyhow!("{error:?}"))?;
  ensure!(
    response.status() == StatusCode::OK,
    "{address} responded with status {}",
    response.status()
  );
  Ok(response)
}
