//! Slopes of what a host spends on its duties, by size.

use {
  argh::FromArgs,
  cap::Cap,
  hyper::{HeaderMap, StatusCode},
  rand::{SeedableRng, rngs::StdRng},
  serde::Serialize,
  std::{
    alloc::System,
    fmt::Write,
    fs,
    hint::black_box,
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant},
  },
  yuccarudder::{
    entries,
    once::{self, Bounds, Claim, Outcome, Registry},
    target::Targets,
    ticket::Ticket,
    tree::Tree,
    view::HostList,
  },
};

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

const ACCOUNTS: [usize; 4] = [10, 310, 1000, 3100];
const HOSTS: [usize; 4] = [7, 50, 150, 350];
const KEYS: [usize; 4] = [250, 1000, 4000, 16_000];
const REPEATS: u32 = 200;
const TARGETS: [usize; 4] = [23, 100, 300, 770];

/// measure the slopes from which docs/CAPACITY.md is worked out
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct Capacity {
  /// file for the raw results as JSON
  #[argh(option)]
  out: Option<PathBuf>,
}

/// One measured point.
#[derive(Clone, Copy, Debug, Serialize)]
struct Point {
  size: usize,
  value: f64,
}

/// A line through measured points.
#[derive(Clone, Debug, Serialize)]
struct Slope {
  intercept: f64,
  name: &'static str,
  per: &'static str,
  points: Vec<Point>,
  /// Largest distance of a point from the line, as a share of the largest value.
  residual: f64,
  slope: f64,
  unit: &'static str,
}

impl Slope {
  fn fit(
    name: &'static str,
    unit: &'static str,
    per: &'static str,
    sizes: [usize; 4],
    mut measure: impl FnMut(usize) -> f64,
  ) -> Self {
    let points = sizes.map(|size| Point {
      size,
      value: measure(size),
    });
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.size as f64).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.value).sum::<f64>() / count;
    let covariance = |point: &Point| (point.size as f64 - mean_x) * (point.value - mean_y);
    let variance = |point: &Point| (point.size as f64 - mean_x).powi(2);
    let slope =
      points.iter().map(covariance).sum::<f64>() / points.iter().map(variance).sum::<f64>();
    let intercept = mean_y - slope * mean_x;
    let largest = points.iter().map(|point| point.value.abs()).fold(f64::MIN, f64::max);
    let miss = |point: &Point| (point.value - intercept - slope * point.size as f64).abs();
    let residual = points.iter().map(miss).fold(0.0, f64::max) / largest;
    Self {
      intercept,
      name,
      per,
      points: points.to_vec(),
      residual,
      slope,
      unit,
    }
  }
}

impl Capacity {
  /// Runs the measurements, prints the slopes and writes the points.
  ///
  /// # Errors
  ///
  /// Fails when the results cannot be written.
  pub fn run(self) -> anyhow::Result<()> {
    let slopes = slopes();
    println!(
      "{:<34} {:>14} {:>12} {:<18} {:>9}",
      "what", "at zero", "slope", "unit", "residual"
    );
    for slope in &slopes {
      let unit = format!("{} a {}", slope.unit, slope.per);
      println!(
        "{:<34} {:>14.3} {:>12.4} {unit:<18} {:>8.1}%",
        slope.name,
        slope.intercept,
        slope.slope,
        slope.residual * 100.0
      );
    }
    if let Some(path) = self.out {
      fs::write(path, serde_json::to_string_pretty(&slopes)?)?;
    }
    Ok(())
  }
}

fn slopes() -> Vec<Slope> {
  vec![
    Slope::fit(
      "settings tree, by targets",
      "bytes",
      "target",
      TARGETS,
      |size| {
        let text = tree_text(size, 10);
        bytes(|| accept(&text))
      },
    ),
    Slope::fit(
      "settings tree, by accounts",
      "bytes",
      "account",
      ACCOUNTS,
      |size| {
        let text = tree_text(23, size);
        bytes(|| accept(&text))
      },
    ),
    Slope::fit(
      "settings document, by targets",
      "bytes",
      "target",
      TARGETS,
      |size| tree_text(size, 10).len() as f64,
    ),
    Slope::fit(
      "settings document, by accounts",
      "bytes",
      "account",
      ACCOUNTS,
      |size| tree_text(23, size).len() as f64,
    ),
    Slope::fit(
      "accepting settings, by targets",
      "us",
      "target",
      TARGETS,
      |size| {
        let text = tree_text(size, 10);
        micros(20, || accept(&text))
      },
    ),
    Slope::fit(
      "accepting settings, by accounts",
      "us",
      "account",
      ACCOUNTS,
      |size| {
        let text = tree_text(23, size);
        micros(20, || accept(&text))
      },
    ),
    Slope::fit("host list", "bytes", "host", HOSTS, |size| {
      let text = host_text(size);
      bytes(|| HostList::accept("hosts", &text).expect("the list has no faults"))
    }),
    Slope::fit("accepting the host list", "us", "host", HOSTS, |size| {
      let text = host_text(size);
      micros(REPEATS, || {
        HostList::accept("hosts", &text).expect("the list has no faults")
      })
    }),
    Slope::fit("answering /v1/entries", "us", "host", HOSTS, |size| {
      let list = HostList::accept("hosts", &host_text(size)).expect("the list has no faults");
      let mut random = StdRng::seed_from_u64(1);
      let this = address(0);
      micros(REPEATS, || {
        entries::order(&list.hosts, this, true, &[], &mut random)
      })
    }),
    Slope::fit("target table", "bytes", "target", TARGETS, |size| {
      let tree = accept(&tree_text(size, 10));
      bytes(|| table(&tree))
    }),
    Slope::fit("choosing a target", "us", "target", TARGETS, |size| {
      let targets = table(&accept(&tree_text(size, 10)));
      let now = Instant::now();
      micros(10 * REPEATS, || {
        targets.acquire("service", &[], now, rand::random())
      })
    }),
    Slope::fit("remembered keys", "bytes", "key", KEYS, |size| {
      bytes(|| remember(size))
    }),
    Slope::fit("remembering keys", "us", "key", KEYS, |size| {
      micros(5, || remember(size))
    }),
    Slope::fit("signing tickets", "us", "ticket", KEYS, |size| {
      let tree = accept(&tree_text(1, 1));
      micros(3, || {
        (0..size).filter_map(|_| ticket().sign(&tree.secrets)).count()
      })
    }),
  ]
}

fn accept(text: &str) -> Tree {
  Tree::parse("tree", text).expect("the tree has no faults")
}

fn address(index: usize) -> SocketAddr {
  let [_, _, high, low] = u32::try_from(index).unwrap_or_default().to_be_bytes();
  ([10, 1, high, low], 80).into()
}

/// Returns the bytes that a value holds.
fn bytes<T>(build: impl FnOnce() -> T) -> f64 {
  let before = ALLOCATOR.allocated();
  let value = build();
  let held = ALLOCATOR.allocated().saturating_sub(before);
  drop(black_box(value));
  held as f64
}

fn host_text(count: usize) -> String {
  let mut text = String::from("hosts:\n");
  for index in 0..count {
    let address = address(index);
    let _ = writeln!(
      text,
      "- {{callers: \"{address}\", peers: \"{address}\", data_centre: d, state: live}}"
    );
  }
  text
}

/// Returns the median time of some calls in microseconds.
fn micros<T>(repeats: u32, mut call: impl FnMut() -> T) -> f64 {
  let mut times: Vec<Duration> = (0..repeats)
    .map(|_| {
      let begun = Instant::now();
      black_box(call());
      begun.elapsed()
    })
    .collect();
  times.sort_unstable();
  times[times.len() / 2].as_secs_f64() * 1e6
}

/// Claims, sends and finishes keys with answers of 200 bytes.
fn remember(count: usize) -> Registry {
  let now = Instant::now();
  let mut registry = Registry::new(Bounds {
    answer_bytes: usize::MAX,
    keys: count + 1,
  });
  for index in 0..count {
    let key = once::Key {
      account: "account".into(),
      nonce: format!("booking-{index:016x}").into(),
      ticket_id: 1,
    };
    let claim = registry.claim(&key, [0; 32], now + Duration::from_secs(60), now);
    assert!(matches!(claim, Claim::Run));
    registry.authorize_dispatch(&key, now).expect("the key is sent once");
    registry.finish(
      &key,
      Outcome::Answer(once::Answer {
        body: vec![0; 200].into(),
        headers: HeaderMap::new(),
        status: StatusCode::OK,
      }),
    );
  }
  registry
}

fn table(tree: &Tree) -> Targets {
  let targets = Targets::default();
  targets.lock().reconcile(tree);
  targets
}

fn ticket() -> Ticket {
  Ticket {
    expires_after_start: Duration::from_secs(30),
    home: address(1),
    id: 1,
    incarnation: 1,
  }
}

fn tree_text(targets: usize, accounts: usize) -> String {
  let secret = "BwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwc=";
  let mut text = format!("operator: o\nkeys: [{{id: k, secret: {secret}}}]\n");
  text.push_str("data_centres: {d: {}}\nservices:\n  service:\n    kind: engine\n    targets:\n");
  for index in 0..targets {
    let address = address(index);
    let _ = writeln!(
      text,
      "      t{index}: {{address: \"{address}\", data_centre: d}}"
    );
  }
  text.push_str("accounts:\n");
  for index in 0..accounts {
    let _ = writeln!(
      text,
      "  account{index}: {{credentials: [\"{index:064x}\"]}}"
    );
  }
  text
}
