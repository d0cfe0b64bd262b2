//! Measurement of how the memory and time that a host spends grow with the size of the system.

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

const ACCOUNT_COUNTS: [usize; 4] = [10, 310, 1000, 3100];
const HOST_COUNTS: [usize; 4] = [7, 50, 150, 350];
const KEY_COUNTS: [usize; 4] = [250, 1000, 4000, 16_000];
const REPEATS: u32 = 200;
const TARGET_COUNTS: [usize; 4] = [23, 100, 300, 770];

/// measure how the costs of a host grow with size, as used in docs/CAPACITY.md
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct Capacity {
  /// file to write the results to as JSON
  #[argh(option)]
  out: Option<PathBuf>,
}

/// Measured value for one size.
#[derive(Clone, Copy, Debug, Serialize)]
struct Point {
  size: usize,
  value: f64,
}

/// Straight line fitted to measured points by least squares.
#[derive(Clone, Debug, Serialize)]
struct Slope {
  intercept: f64,
  name: &'static str,
  per: &'static str,
  points: Vec<Point>,
  /// Largest distance of a point from the line, as a fraction of the largest value.
  residual: f64,
  slope: f64,
  unit: &'static str,
}

impl Slope {
  /// Measures each size and fits a line by least squares.
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
    let distance = |point: &Point| (point.value - intercept - slope * point.size as f64).abs();
    let residual = points.iter().map(distance).fold(0.0, f64::max) / largest;
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
  /// Runs the measurements, prints the slopes and writes them to a file if one is given.
  ///
  /// # Errors
  ///
  /// Fails if the results cannot be written.
  pub fn run(self) -> anyhow::Result<()> {
    let slopes = slopes();
    println!(
      "{:<34} {:>14} {:>12} {:<18} {:>9}",
      "what", "at zero", "slope", "unit", "residual"
    );
    for slope in &slopes {
      let unit = format!("{} per {}", slope.unit, slope.per);
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
      TARGET_COUNTS,
      |size| {
        let text = tree_text(size, 10);
        allocated_bytes(|| parse_tree(&text))
      },
    ),
    Slope::fit(
      "settings tree, by accounts",
      "bytes",
      "account",
      ACCOUNT_COUNTS,
      |size| {
        let text = tree_text(23, size);
        allocated_bytes(|| parse_tree(&text))
      },
    ),
    Slope::fit(
      "settings document, by targets",
      "bytes",
      "target",
      TARGET_COUNTS,
      |size| tree_text(size, 10).len() as f64,
    ),
    Slope::fit(
      "settings document, by accounts",
      "bytes",
      "account",
      ACCOUNT_COUNTS,
      |size| tree_text(23, size).len() as f64,
    ),
    Slope::fit(
      "accepting settings, by targets",
      "us",
      "target",
      TARGET_COUNTS,
      |size| {
        let text = tree_text(size, 10);
        median_microseconds(20, || parse_tree(&text))
      },
    ),
    Slope::fit(
      "accepting settings, by accounts",
      "us",
      "account",
      ACCOUNT_COUNTS,
      |size| {
        let text = tree_text(23, size);
        median_microseconds(20, || parse_tree(&text))
      },
    ),
    Slope::fit("host list", "bytes", "host", HOST_COUNTS, |size| {
      let text = host_list_text(size);
      allocated_bytes(|| HostList::parse("hosts", &text).expect("the host list is valid"))
    }),
    Slope::fit(
      "accepting the host list",
      "us",
      "host",
      HOST_COUNTS,
      |size| {
        let text = host_list_text(size);
        median_microseconds(REPEATS, || {
          HostList::parse("hosts", &text).expect("the host list is valid")
        })
      },
    ),
    Slope::fit("answering /v1/entries", "us", "host", HOST_COUNTS, |size| {
      let list = HostList::parse("hosts", &host_list_text(size)).expect("the host list is valid");
      let mut random = StdRng::seed_from_u64(1);
      let own_address = address(0);
      median_microseconds(REPEATS, || {
        entries::order(&list.hosts, own_address, true, &[], &mut random)
      })
    }),
    Slope::fit("target table", "bytes", "target", TARGET_COUNTS, |size| {
      let tree = parse_tree(&tree_text(size, 10));
      allocated_bytes(|| target_table(&tree))
    }),
    Slope::fit("choosing a target", "us", "target", TARGET_COUNTS, |size| {
      let targets = target_table(&parse_tree(&tree_text(size, 10)));
      let now = Instant::now();
      median_microseconds(10 * REPEATS, || {
        targets.acquire("service", &[], now, rand::random())
      })
    }),
    Slope::fit("remembered keys", "bytes", "key", KEY_COUNTS, |size| {
      allocated_bytes(|| registry(size))
    }),
    Slope::fit("remembering keys", "us", "key", KEY_COUNTS, |size| {
      median_microseconds(5, || registry(size))
    }),
    Slope::fit("signing tickets", "us", "ticket", KEY_COUNTS, |size| {
      let tree = parse_tree(&tree_text(1, 1));
      median_microseconds(3, || {
        (0..size).filter_map(|_| ticket().sign(&tree.secrets)).count()
      })
    }),
  ]
}

fn parse_tree(text: &str) -> Tree {
  Tree::parse("tree", text).expect("the settings tree is valid")
}

fn address(index: usize) -> SocketAddr {
  let [_, _, high, low] = u32::try_from(index).unwrap_or_default().to_be_bytes();
  ([10, 1, high, low], 80).into()
}

/// Returns the number of heap bytes that a built value holds.
fn allocated_bytes<T>(build: impl FnOnce() -> T) -> f64 {
  let before = ALLOCATOR.allocated();
  let value = build();
  let allocated = ALLOCATOR.allocated().saturating_sub(before);
  drop(black_box(value));
  allocated as f64
}

fn host_list_text(count: usize) -> String {
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

/// Returns the median duration of repeated calls, in microseconds.
fn median_microseconds<T>(repeats: u32, mut call: impl FnMut() -> T) -> f64 {
  let mut times: Vec<Duration> = (0..repeats)
    .map(|_| {
      let started = Instant::now();
      black_box(call());
      started.elapsed()
    })
    .collect();
  times.sort_unstable();
  times[times.len() / 2].as_secs_f64() * 1e6
}

/// Creates a registry and claims, dispatches and finishes a number of idempotency keys, each with
/// an answer of 200 bytes.
fn registry(count: usize) -> Registry {
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
    registry.authorize_dispatch(&key, now).expect("the key was not dispatched before");
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

fn target_table(tree: &Tree) -> Targets {
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
