//! Generator of a mixed load of streamed generations, lookups and bookings.

use {
  crate::{
    fleet,
    tally::{Check, Tally},
  },
  anyhow::{Context, ensure},
  argh::FromArgs,
  hdrhistogram::Histogram,
  hyper::Method,
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  serde_json::{Map, Value, json},
  std::{
    env,
    net::SocketAddr,
    time::{Duration, Instant},
  },
  tokio::{task::JoinSet, time},
  yuccarudder::{
    caller::{Call, Client, Failure},
    clock::Clock,
    generation::Endpoint,
  },
};

const CREDENTIAL_VARIABLE: &str = "YUCCARUDDER_CREDENTIAL";
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// send a mixed load to running hosts; the credential is read from YUCCARUDDER_CREDENTIAL
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct Load {
  /// number of concurrent callers
  #[argh(option, default = "16")]
  callers: usize,

  /// address of a host for callers; may be given several times
  #[argh(option)]
  host: Vec<SocketAddr>,

  /// service for generations
  #[argh(option)]
  model: String,

  /// duration of the load in seconds
  #[argh(option, default = "10")]
  seconds: u64,

  /// seed of the load
  #[argh(option, default = "1")]
  seed: u64,

  /// plain service to call
  #[argh(option)]
  service: String,

  /// exact number of tokens of each generation; sampled by the engine if absent
  #[argh(option)]
  tokens: Option<u64>,
}

impl Load {
  /// Runs the load and prints a summary.
  ///
  /// # Errors
  ///
  /// Fails if no host is given or the credential is not set.
  pub async fn run(self) -> anyhow::Result<()> {
    ensure!(!self.host.is_empty(), "pass at least one --host");
    let credential = env::var(CREDENTIAL_VARIABLE).with_context(|| {
      format!("set {CREDENTIAL_VARIABLE} to the bearer credential of the client account")
    })?;
    let client = Client::new(Clock::system(), self.host.clone(), credential);
    let workload = Workload {
      model: self.model,
      seed: self.seed,
      service: self.service,
      tokens: self.tokens,
    };
    let end = Instant::now() + Duration::from_secs(self.seconds);
    let load = run_callers(client, workload, self.callers, end);
    let progress = async {
      let mut elapsed = Duration::ZERO;
      loop {
        time::sleep(PROGRESS_INTERVAL).await;
        elapsed += PROGRESS_INTERVAL;
        match self.seconds.checked_sub(elapsed.as_secs()) {
          Some(left) => eprintln!("{left} s left"),
          None => eprintln!("waiting for the last jobs"),
        }
      }
    };
    let tally = tokio::select! {
      tally = load => tally,
      () = progress => Tally::default(),
    };
    print!("{tally}");
    Ok(())
  }
}

/// Services and parameters of the requests of a load.
#[derive(Clone, Debug)]
pub struct Workload {
  /// The service for generations.
  pub model: String,
  /// The seed of the random choices.
  pub seed: u64,
  /// The plain service to call.
  pub service: String,
  /// Exact number of tokens of each generation; sampled by the engine if absent.
  pub tokens: Option<u64>,
}

impl Workload {
  /// Returns a call that books a name at the plain service, with the name as idempotency key.
  pub fn booking(&self, name: &str) -> Call {
    Call {
      body: name.to_owned().into(),
      method: Method::POST,
      idempotency_key: Some(name.into()),
      path: "bookings".into(),
      service: self.service.clone(),
    }
  }

  /// Creates a workload for the services of a [`fleet::Fleet`].
  pub fn for_fleet(seed: u64, tokens: Option<u64>) -> Self {
    Self {
      model: fleet::MODEL.into(),
      seed,
      service: fleet::SERVICE.into(),
      tokens,
    }
  }
}

/// Runs concurrent callers, which start jobs until `end`, and returns their merged tallies.
pub async fn run_callers(
  client: Client,
  workload: Workload,
  callers: usize,
  end: Instant,
) -> Tally {
  let mut tasks = JoinSet::new();
  for index in 0..callers {
    let client = client.clone();
    let workload = workload.clone();
    tasks.spawn(async move { run_caller(&client, &workload, index, end).await });
  }
  let mut total = Tally::default();
  while let Some(result) = tasks.join_next().await {
    if let Ok(tally) = result {
      total.merge(&tally);
    }
  }
  total
}

async fn run_caller(client: &Client, workload: &Workload, index: usize, end: Instant) -> Tally {
  let mut random = ChaCha8Rng::seed_from_u64(workload.seed.wrapping_add(index as u64));
  let mut tally = Tally::default();
  while Instant::now() < end {
    tally.jobs += 1;
    match random.random_range(0..4) {
      0 => book(client, workload, &mut tally, random.random()).await,
      1 => look_up(client, workload, &mut tally).await,
      _ => generate(client, workload, &mut tally).await,
    }
  }
  tally
}

async fn book(client: &Client, workload: &Workload, tally: &mut Tally, id: u64) {
  let call = workload.booking(&format!("booking-{id:016x}"));
  call_plain(client, &call, tally).await;
}

async fn look_up(client: &Client, workload: &Workload, tally: &mut Tally) {
  let call = Call {
    body: bytes::Bytes::new(),
    method: Method::GET,
    idempotency_key: None,
    path: "slots".into(),
    service: workload.service.clone(),
  };
  call_plain(client, &call, tally).await;
}

async fn call_plain(client: &Client, call: &Call, tally: &mut Tally) {
  let started = Instant::now();
  let result = client.call(call).await;
  record(&mut tally.call_time, started.elapsed());
  match result {
    Ok(response) if response.status.is_success() => tally.completed += 1,
    Ok(response) => *tally.failed.entry(format!("status {}", response.status)).or_default() += 1,
    Err(failure) => handle_failure(tally, &failure).await,
  }
}

/// Requests one generation and checks and times each of its tokens.
pub async fn generate(client: &Client, workload: &Workload, tally: &mut Tally) {
  let mut body = Map::new();
  body.insert("model".into(), workload.model.clone().into());
  body.insert(
    "messages".into(),
    json!([{ "role": "user", "content": "Plan the summer club, week by week." }]),
  );
  if let Some(tokens) = workload.tokens {
    body.insert("rig_tokens".into(), Value::from(tokens));
  }
  let mut started = Instant::now();
  let mut check = Check::default();
  let result = async {
    let mut generation = client.generate(Endpoint::Chat, body).await?;
    while let Some(token) = generation.next().await? {
      let histogram = if check.tokens() == 0 {
        &mut tally.time_to_first_token
      } else {
        &mut tally.time_between_tokens
      };
      record(histogram, started.elapsed());
      started = Instant::now();
      check.observe(&token);
    }
    tally.reattached += u64::from(generation.reattach_attempts > 0);
    Ok(())
  };
  match result.await {
    Ok(()) => tally.completed += 1,
    Err(failure) => handle_failure(tally, &failure).await,
  }
  tally.token_errors += check.errors();
  tally.tokens += check.tokens();
}

/// Records a failed job and waits for the delay that the host requested, if any.
async fn handle_failure(tally: &mut Tally, failure: &Failure) {
  tally.record_failure(failure);
  time::sleep(failure.retry_after.unwrap_or_default()).await;
}

fn record(histogram: &mut Histogram<u64>, duration: Duration) {
  let microseconds = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
  // The histogram resizes itself; a value beyond its largest possible size is dropped.
  let _ = histogram.record(microseconds);
}
