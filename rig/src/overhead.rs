//! What an entry host adds to going direct to the same target, in one run.

use {
  crate::{
    cpu, engine,
    engine::Config,
    fleet::{CREDENTIAL, Fleet, HOST_THREADS, MODEL, Options, SERVICE},
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
const KEEP_MS: u64 = 1000;
const PLAIN_CALLS: u32 = 4000;
const RAMP: Duration = Duration::from_millis(1);
const SIGNIFICANT_DIGITS: u8 = 3;

/// measure what an entry host adds to each token and each plain call
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "overhead")]
pub struct Overhead {
  /// seconds of streaming in each of the two ways
  #[argh(option, default = "8")]
  seconds: u64,

  /// engines, whose steps are out of phase
  #[argh(option, default = "20")]
  engines: usize,

  /// milliseconds between the tokens of a stream
  #[argh(option, default = "20")]
  step_ms: u64,

  /// streams at a time
  #[argh(option, default = "1000")]
  streams: usize,

  /// threads of the entry host
  #[argh(option, default = "2")]
  threads: usize,
}

/// Which way a request goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
  Direct,
  Host,
}

/// What one way of streaming showed.
struct Streamed {
  cpu: Duration,
  elapsed: Duration,
  latency: Histogram<u64>,
}

impl Streamed {
  fn rate(&self) -> f64 {
    self.latency.len() as f64 / self.elapsed.as_secs_f64()
  }
}

impl Overhead {
  /// Runs the measurement and prints it.
  ///
  /// # Errors
  ///
  /// Fails when the fleet cannot be started or a request is refused.
  pub async fn run(self) -> anyhow::Result<()> {
    let fleet = Fleet::start(self.options()).await?;
    let direct = self.stream(&fleet, Way::Direct).await?;
    let host = self.stream(&fleet, Way::Host).await?;
    println!(
      "{} streams at {} engines, a token each {} ms, {} host threads",
      self.streams, self.engines, self.step_ms, self.threads
    );
    println!(
      "tokens direct: {:.0} a second, {}",
      direct.rate(),
      quantiles(&direct.latency)
    );
    println!(
      "tokens by host: {:.0} a second, {}",
      host.rate(),
      quantiles(&host.latency)
    );
    added(&direct.latency, &host.latency);
    let per_token = host.cpu.as_nanos() as f64 / host.latency.len() as f64 / 1000.0;
    let cores = host.cpu.as_secs_f64() / host.elapsed.as_secs_f64();
    println!("host processor: {per_token:.1} microseconds a token, {cores:.2} cores");
    let direct = plain(&fleet, Way::Direct).await?;
    let host = plain(&fleet, Way::Host).await?;
    println!("plain calls direct: {}", quantiles(&direct));
    println!("plain calls by host: {}", quantiles(&host));
    added(&direct, &host);
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

  async fn stream(&self, fleet: &Fleet, way: Way) -> anyhow::Result<Streamed> {
    let pool = Pool::new(Clock::system());
    let tokens = self.seconds * 1000 / self.step_ms.max(1);
    let cpu = cpu::of_threads(HOST_THREADS);
    let begun = Instant::now();
    let mut tasks = JoinSet::new();
    for index in 0..self.streams {
      let (address, request) = generation(fleet, way, index, tokens)?;
      let pool = pool.clone();
      tasks.spawn(async move { read(send(&pool, address, request).await?).await });
      // Connections that all come at once would wait for the listener instead.
      time::sleep(RAMP).await;
    }
    let mut latency = histogram();
    while let Some(result) = tasks.join_next().await {
      latency.add(result??)?;
    }
    Ok(Streamed {
      cpu: cpu::of_threads(HOST_THREADS) - cpu,
      elapsed: begun.elapsed(),
      latency,
    })
  }
}

fn added(direct: &Histogram<u64>, host: &Histogram<u64>) {
  let added = |quantile| {
    let micros = |histogram: &Histogram<u64>| histogram.value_at_quantile(quantile) as f64;
    (micros(host) - micros(direct)) / 1000.0
  };
  println!("added: p50 {:.3} ms, p99 {:.3} ms", added(0.5), added(0.99));
}

fn generation(
  fleet: &Fleet,
  way: Way,
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
  let (address, path) = match way {
    Way::Direct => {
      body["generation"] = Value::from(Id::random().to_string());
      body["keep_ms"] = Value::from(KEEP_MS);
      body["priority"] = Value::from(5);
      (
        fleet.engines[index % fleet.engines.len()].address,
        "/v1/generations",
      )
    }
    Way::Host => (fleet.hosts[0].settings.callers, "/v1/completions"),
  };
  let request = Request::post(path).header(AUTHORIZATION, format!("Bearer {CREDENTIAL}"));
  Ok((address, request.body(http::full(body.to_string()))?))
}

fn histogram() -> Histogram<u64> {
  Histogram::new(SIGNIFICANT_DIGITS).expect("the precision is valid")
}

async fn plain(fleet: &Fleet, way: Way) -> anyhow::Result<Histogram<u64>> {
  let pool = Pool::new(Clock::system());
  let (address, path) = match way {
    Way::Direct => (fleet.plain_servers[0].address, "/slots".to_owned()),
    Way::Host => {
      let callers = fleet.hosts[0].settings.callers;
      (callers, format!("/v1/services/{SERVICE}/slots"))
    }
  };
  let mut times = histogram();
  for _ in 0..PLAIN_CALLS {
    let request = Request::get(&path).header(AUTHORIZATION, format!("Bearer {CREDENTIAL}"));
    let begun = Instant::now();
    let response = send(&pool, address, request.body(http::empty())?).await?;
    http::collect(response.into_body(), 1000).await.context("the answer broke off")?;
    times.record(u64::try_from(begun.elapsed().as_micros())?)?;
  }
  Ok(times)
}

/// Reads a stream of timestamped tokens and records how old each is on arrival.
async fn read(response: Response<Incoming>) -> anyhow::Result<Histogram<u64>> {
  let mut latency = histogram();
  let mut events = response.into_body().into_data_stream().eventsource();
  while let Some(event) = events.next().await {
    let data = event?.data;
    let Ok(value) = serde_json::from_str::<Value>(&data) else {
      continue;
    };
    let text = value["text"].as_str().or(value["choices"][0]["text"].as_str());
    if let Some(sent) = text.and_then(|text| text.parse::<u64>().ok()) {
      latency.record(engine::timestamp_ns().saturating_sub(sent) / 1000)?;
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
    "{address} answered {}",
    response.status()
  );
  Ok(response)
}
