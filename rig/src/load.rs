//! A mixed load of streamed generations, lookups and bookings.

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

const CREDENTIAL: &str = "YUCCARUDDER_CREDENTIAL";
const PROGRESS: Duration = Duration::from_secs(1);

/// drive real hosts with a mixed load; the credential is read from YUCCARUDDER_CREDENTIAL
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct Load {
  /// callers at a time
  #[argh(option, default = "16")]
  callers: usize,

  /// the address for callers of a host; may be given several times
  #[argh(option)]
  host: Vec<SocketAddr>,

  /// the service to ask for generations
  #[argh(option)]
  model: String,

  /// seconds to run
  #[argh(option, default = "10")]
  seconds: u64,

  /// the seed of the load
  #[argh(option, default = "1")]
  seed: u64,

  /// the plain service to call
  #[argh(option)]
  service: String,

  /// exact number of tokens of each generation; drawn by the engine if absent
  #[argh(option)]
  tokens: Option<u64>,
}

impl Load {
  /// Runs the load and prints a summary.
  ///
  /// # Errors
  ///
  /// Fails without hosts or a credential.
  pub async fn run(self) -> anyhow::Result<()> {
    ensure!(!self.host.is_empty(), "name at least one host with --host");
    let credential = env::var(CREDENTIAL)
      .with_context(|| format!("set {CREDENTIAL} to the bearer credential of the account"))?;
    let client = Client::new(Clock::system(), self.host.clone(), credential);
    let mix = Mix {
      model: self.model,
      seed: self.seed,
      service: self.service,
      tokens: self.tokens,
    };
    let until = Instant::now() + Duration::from_secs(self.seconds);
    let load = drive(client, mix, self.callers, until);
    let progress = async {
      let mut passed = Duration::ZERO;
      loop {
        time::sleep(PROGRESS).await;
        passed += PROGRESS;
        match self.seconds.checked_sub(passed.as_secs()) {
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

/// What a load asks for.
#[derive(Clone, Debug)]
pub struct Mix {
  /// The service to ask for generations.
  pub model: String,
  /// The seed of the load.
  pub seed: u64,
  /// The plain service to call.
  pub service: String,
  /// Exact number of tokens of each generation.
  pub tokens: Option<u64>,
}

impl Mix {
  /// A call that books a name at the plain service, at most once.
  pub fn booking(&self, name: &str) -> Call {
    Call {
      body: name.to_owned().into(),
      method: Method::POST,
      idempotency_key: Some(name.into()),
      path: "bookings".into(),
      service: self.service.clone(),
    }
  }

  /// What to ask of the fleet that runs in this process.
  pub fn of_fleet(seed: u64, tokens: Option<u64>) -> Self {
    Self {
      model: fleet::MODEL.into(),
      seed,
      service: fleet::SERVICE.into(),
      tokens,
    }
  }
}

/// Runs callers until a time and adds up what they saw.
pub async fn drive(client: Client, mix: Mix, callers: usize, until: Instant) -> Tally {
  let mut tasks = JoinSet::new();
  for index in 0..callers {
    let client = client.clone();
    let mix = mix.clone();
    tasks.spawn(async move { caller(&client, &mix, index, until).await });
  }
  let mut total = Tally::default();
  while let Some(result) = tasks.join_next().await {
    if let Ok(tally) = result {
      total.add(&tally);
    }
  }
  total
}

async fn caller(client: &Client, mix: &Mix, index: usize, until: Instant) -> Tally {
  let mut random = ChaCha8Rng::seed_from_u64(mix.seed.wrapping_add(index as u64));
  let mut tally = Tally::default();
  while Instant::now() < until {
    tally.jobs += 1;
    match random.random_range(0..4) {
      0 => book(client, mix, &mut tally, random.random()).await,
      1 => look_up(client, mix, &mut tally).await,
      _ => generate(client, mix, &mut tally).await,
    }
  }
  tally
}

async fn book(client: &Client, mix: &Mix, tally: &mut Tally, id: u64) {
  let call = mix.booking(&format!("booking-{id:016x}"));
  plain(client, &call, tally).await;
}

async fn look_up(client: &Client, mix: &Mix, tally: &mut Tally) {
  let call = Call {
    body: bytes::Bytes::new(),
    method: Method::GET,
    idempotency_key: None,
    path: "slots".into(),
    service: mix.service.clone(),
  };
  plain(client, &call, tally).await;
}

async fn plain(client: &Client, call: &Call, tally: &mut Tally) {
  let begun = Instant::now();
  let result = client.call(call).await;
  record(&mut tally.calls, begun.elapsed());
  match result {
    Ok(called) if called.status.is_success() => tally.whole += 1,
    Ok(called) => *tally.refused.entry(format!("status {}", called.status)).or_default() += 1,
    Err(failure) => refused(tally, &failure).await,
  }
}

/// Asks for one generation and checks each of its tokens.
pub async fn generate(client: &Client, mix: &Mix, tally: &mut Tally) {
  let mut body = Map::new();
  body.insert("model".into(), mix.model.clone().into());
  body.insert(
    "messages".into(),
    json!([{ "role": "user", "content": "Plan the summer club, week by week." }]),
  );
  if let Some(tokens) = mix.tokens {
    body.insert("rig_tokens".into(), Value::from(tokens));
  }
  let mut begun = Instant::now();
  let mut check = Check::default();
  let result = async {
    let mut generation = client.generate(Endpoint::Chat, body).await?;
    while let Some(token) = generation.next().await? {
      let histogram = if check.tokens() == 0 {
        &mut tally.first
      } else {
        &mut tally.between
      };
      record(histogram, begun.elapsed());
      begun = Instant::now();
      check.take(&token);
    }
    tally.reattached += u64::from(generation.reattach_attempts > 0);
    Ok(())
  };
  match result.await {
    Ok(()) => tally.whole += 1,
    Err(failure) => refused(tally, &failure).await,
  }
  tally.out_of_order += check.faults();
  tally.tokens += check.tokens();
}

/// Records a job without a whole answer and waits as long as the host asked.
async fn refused(tally: &mut Tally, failure: &Failure) {
  tally.refuse(failure);
  time::sleep(failure.retry_after.unwrap_or_default()).await;
}

fn record(histogram: &mut Histogram<u64>, duration: Duration) {
  let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
  // The histogram grows as needed; a time beyond its largest value is left out.
  let _ = histogram.record(micros);
}
