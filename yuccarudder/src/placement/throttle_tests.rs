use {
  super::*,
  crate::{
    member::{Heartbeat, Sent, Table},
    roster::Key,
  },
  proptest::prelude::*,
  rand::{RngExt, SeedableRng, rngs::StdRng},
  slotmap::SlotMap,
  std::{
    collections::VecDeque,
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

/// Longest time until all hosts have heard of each other, in milliseconds.
const MAX_CONTACT_MS: u64 = 2_900;
/// Longest time from the choice of a target to the first byte of the request, in milliseconds.
const MAX_CONNECT_MS: u64 = 240;
/// Time at which a simulation begins; the hosts of the settled fleet have run since zero.
const BEGIN_MS: u64 = 100_000;
/// Time for which a simulation runs, in milliseconds.
const PERIOD_MS: u64 = 10_000;
/// Time that passes in a step of a simulation, in milliseconds.
const STEP_MS: u64 = 25;
/// Steps between two looks at which hosts have been silent for too long.
const FORGET_STEPS: u64 = 20;
/// Hash that identifies the target on all hosts.
const TARGET: u64 = 7;

fn ms(milliseconds: u64) -> Duration {
  Duration::from_millis(milliseconds)
}

fn address(host: usize) -> SocketAddr {
  let [.., high, low] = host.to_be_bytes();
  ([10, 1, high, low], 7200).into()
}

/// When a host runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Life {
  /// It ended so long ago that the other hosts forget it in the simulation.
  Ended,
  /// It starts at this time of the simulation, in milliseconds.
  Joins(u64),
  /// It ends at this time of the simulation, in milliseconds.
  Leaves(u64),
  Stays,
}

#[derive(Clone, Debug)]
struct Scenario {
  hosts: Vec<Life>,
  limit: ColdLimit,
  /// Share of the hosts that have requests for the target.
  loaded_share: f64,
  /// Attempts of a loaded host to send a request, per second.
  attempt_rate: f64,
  seed: u64,
}

struct Host {
  life: Life,
  is_loaded: bool,
  table: Table,
  throttle: Throttle,
}

impl Host {
  fn is_running(&self, now: u64) -> bool {
    match self.life {
      Life::Ended => false,
      Life::Joins(at) => now >= at,
      Life::Leaves(at) => now < at,
      Life::Stays => true,
    }
  }
}

/// A heartbeat on its way.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Message {
  arrives_at: u64,
  sender: usize,
  recipient: usize,
}

/// Hosts that send requests to one cold target, in virtual time.
struct Fleet {
  hosts: Vec<Host>,
  key: Key,
  messages: Vec<Message>,
  random: StdRng,
  start: Instant,
}

impl Fleet {
  fn new(scenario: &Scenario) -> Self {
    let mut random = StdRng::seed_from_u64(scenario.seed);
    let hosts = scenario.hosts.iter().enumerate().map(|(index, life)| {
      let is_loaded = random.random_bool(scenario.loaded_share);
      Host {
        life: *life,
        is_loaded,
        table: Table::new(address(index), 1, vec![address(0), address(1)]),
        throttle: Throttle::default(),
      }
    });
    let mut fleet = Self {
      hosts: hosts.collect(),
      key: SlotMap::<Key, ()>::with_key().insert(()),
      messages: Vec::new(),
      random,
      start: Instant::now(),
    };
    fleet.settle();
    fleet
  }

  /// Lets the hosts that have run for long hear from each other.
  fn settle(&mut self) {
    for sender in 0..self.hosts.len() {
      if let Life::Joins(at) = self.hosts[sender].life {
        self.announce(sender, at);
        continue;
      }
      let life = self.hosts[sender].life;
      let last_heartbeat = match life {
        Life::Ended => BEGIN_MS - 60_000 + self.random.random_range(0..PERIOD_MS),
        _ => BEGIN_MS,
      };
      self.hosts[sender].table.record_sent(Sent {
        at: Duration::ZERO,
        sequence: 1,
      });
      for recipient in 0..self.hosts.len() {
        let is_settled = !matches!(self.hosts[recipient].life, Life::Joins(_));
        if is_settled {
          // Hosts miss different ones of the last heartbeats of another one.
          let last_heard = last_heartbeat.saturating_sub(self.random.random_range(0..3_000));
          self.deliver(sender, recipient, last_heard);
        }
      }
    }
    self.messages.sort_unstable();
    self.messages.reverse();
  }

  /// Lets a host that starts and those that run then hear from each other.
  fn announce(&mut self, joining: usize, at: u64) {
    for other in 0..self.hosts.len() {
      let later = match self.hosts[other].life {
        Life::Joins(joins_at) if joins_at > at || (joins_at == at && other > joining) => continue,
        Life::Ended => continue,
        _ => at,
      };
      for (sender, recipient) in [(joining, other), (other, joining)] {
        if sender != recipient {
          self.messages.push(Message {
            arrives_at: later + self.random.random_range(0..MAX_CONTACT_MS),
            sender,
            recipient,
          });
        }
      }
    }
  }

  fn deliver(&mut self, sender: usize, recipient: usize, at: u64) {
    if sender == recipient {
      return;
    }
    let heartbeat = Heartbeat {
      callers: address(sender).to_string(),
      incarnation: 1,
      sender: address(sender).to_string(),
      sequence: 1,
      ..Heartbeat::default()
    };
    self.hosts[recipient].table.receive(&heartbeat, ms(at));
  }

  /// Returns when requests were sent, in order.
  fn run(&mut self, scenario: &Scenario) -> Vec<Duration> {
    let mut sent = Vec::new();
    let chance = (scenario.attempt_rate * ms(STEP_MS).as_secs_f64()).min(1.0);
    for step in 0..PERIOD_MS / STEP_MS {
      let now = step * STEP_MS;
      while let Some(message) = self.messages.pop_if(|message| message.arrives_at <= now) {
        if self.hosts[message.sender].is_running(now)
          && self.hosts[message.recipient].is_running(now)
        {
          self.deliver(message.sender, message.recipient, BEGIN_MS + now);
        }
      }
      for index in 0..self.hosts.len() {
        let host = &mut self.hosts[index];
        if !host.is_running(now) {
          continue;
        }
        if host.life == Life::Joins(now) || step % FORGET_STEPS == 0 {
          host.table.recipients(ms(BEGIN_MS + now));
        }
        if let Life::Joins(at) = host.life
          && now < at + STEP_MS
        {
          let at = ms(BEGIN_MS + at);
          host.table.record_sent(Sent { at, sequence: 1 });
        }
        if host.is_loaded && self.random.random_bool(chance) {
          let offset = self.random.random_range(0..STEP_MS * 1_000);
          sent.extend(self.try_send(index, scenario, ms(now) + Duration::from_micros(offset)));
        }
      }
    }
    sent.sort_unstable();
    sent
  }

  /// Lets a host send a request if it may; returns when it is sent.
  fn try_send(&mut self, index: usize, scenario: &Scenario, now: Duration) -> Option<Duration> {
    let connect_time = ms(self.random.random_range(1..MAX_CONNECT_MS));
    let host = &mut self.hosts[index];
    let at = self.start + now;
    let limit = &scenario.limit;
    let position = host.table.settled_position(TARGET, limit.window(), ms(BEGIN_MS) + now);
    let share = limit.share(host.table.fleet_size(), position);
    if !host.throttle.allows(self.key, limit, &share, at) {
      return None;
    }
    host.throttle.record(self.key, at);
    host.throttle.record_sent(self.key, at, at + connect_time);
    Some(now + connect_time)
  }
}

/// Returns the largest number of requests sent within a period.
fn most_within(sent: &[Duration], period: Duration) -> usize {
  let mut first = 0;
  let counts = sent.iter().enumerate().map(|(last, at)| {
    while sent[first] + period <= *at {
      first += 1;
    }
    last + 1 - first
  });
  counts.max().unwrap_or(0)
}

fn life() -> impl Strategy<Value = Life> {
  prop_oneof![
    6 => Just(Life::Stays),
    1 => Just(Life::Ended),
    1 => (0..PERIOD_MS / STEP_MS).prop_map(|step| Life::Joins(step * STEP_MS)),
    1 => (0..PERIOD_MS).prop_map(Life::Leaves),
  ]
}

fn scenario() -> impl Strategy<Value = Scenario> {
  let hosts = prop_oneof![
    4 => prop::collection::vec(life(), 2..16),
    2 => prop::collection::vec(life(), 16..76),
    1 => prop::collection::vec(life(), 76..301),
  ];
  let limit = (
    0.5..20.0_f64,
    1.0..2.0_f64,
    prop_oneof![Just(0.0), 0.0..6.0_f64],
  );
  let demand = (
    prop_oneof![Just(1.0), 0.02..1.0_f64],
    prop_oneof![Just(40.0), 0.1..40.0_f64],
  );
  (hosts, limit, demand, any::<u64>()).prop_map(|(hosts, limit, demand, seed)| Scenario {
    hosts,
    limit: ColdLimit {
      rate: limit.0,
      overage: limit.1,
      allowance: limit.2,
    },
    loaded_share: demand.0,
    attempt_rate: demand.1,
    seed,
  })
}

proptest! {
  #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

  /// Guards against hosts that together send more to a cold target in a second than it bears: each by
  /// chance, while they know different lists of hosts, or when connections take different times.
  #[test]
  fn hosts_together_stay_within_the_limit_of_a_cold_target_in_any_second(scenario in scenario()) {
    let sent = Fleet::new(&scenario).run(&scenario);
    let limit = scenario.limit.rate * scenario.limit.overage + scenario.limit.allowance;
    // Less than one a second is one in a longer time.
    let (most, period) = if limit < 1.0 {
      (1, Duration::from_secs_f64(1.0 / limit))
    } else {
      (limit as usize, Duration::from_secs(1))
    };
    let found = most_within(&sent, period);
    prop_assert!(found <= most, "{found} requests in {period:?}, at most {most}");
  }
}

/// How hosts share the limit of a cold target in the report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rule {
  /// Each attempt draws with the probability of the host's share, if that is below one request.
  Draw,
  /// Each host keeps its requests, and sends them in its own turns.
  Turns,
  /// Hosts without a turn pass their requests on to others.
  PassedOn,
}

/// Time for which a request waits at a host, in milliseconds.
const WAIT_MS: u64 = 600;
/// Number of hosts that a request is passed on to at most.
const MAX_HANDOVERS: u32 = 3;

/// Simulates hosts of which the given ones get `demand` requests a second in all; returns when requests were
/// sent and how many there were.
fn use_of_limit(
  rule: Rule,
  limit: &ColdLimit,
  hosts: usize,
  loaded: &[usize],
  demand: f64,
) -> (Vec<Duration>, usize) {
  let mut random = StdRng::seed_from_u64(5);
  let key = SlotMap::<Key, ()>::with_key().insert(());
  let start = Instant::now();
  let whole_share = (limit.rate * limit.overage + limit.allowance) / hosts as f64;
  let holders = hosts.min(limit.requests() as usize);
  let mut throttles = vec![Throttle::default(); hosts];
  // Requests that wait at each host: when they are given up there, and how often they were passed on.
  let mut waiting: Vec<VecDeque<(u64, u32)>> = vec![Default::default(); hosts];
  let (mut sent, mut arrived) = (Vec::new(), 0);
  for now in (0..PERIOD_MS).step_by(STEP_MS as usize) {
    let mut arrivals: Vec<(usize, u32)> = Vec::new();
    let rate = demand / loaded.len() as f64;
    for host in loaded {
      if random.random_bool((rate * ms(STEP_MS).as_secs_f64()).min(1.0)) {
        arrived += 1;
        arrivals.push((*host, 0));
      }
    }
    for (host, queue) in waiting.iter_mut().enumerate() {
      while let Some((_, handovers)) = queue.pop_front_if(|(end, _)| *end <= now) {
        if handovers > 0 && handovers < MAX_HANDOVERS {
          arrivals.push((host, handovers));
        }
      }
    }
    for (host, handovers) in arrivals {
      let passes_on = rule == Rule::PassedOn && (handovers > 0 || host >= holders);
      let (at, handovers) = match passes_on {
        true => (random.random_range(0..holders), handovers + 1),
        false => (host, handovers),
      };
      waiting[at].push_back((now + WAIT_MS, handovers));
    }
    for host in 0..hosts {
      let at = start + ms(now);
      while !waiting[host].is_empty() {
        let is_allowed = if rule == Rule::Draw && whole_share < 1.0 {
          let whole = limit.share(hosts, Some(0));
          let is_free = throttles[host].allows(key, limit, &PlaceShare { slots: 1, ..whole }, at);
          is_free && random.random_bool(whole_share)
        } else {
          throttles[host].allows(key, limit, &limit.share(hosts, Some(host)), at)
        };
        if !is_allowed {
          break;
        }
        throttles[host].record(key, at);
        waiting[host].pop_front();
        sent.push(ms(now));
      }
    }
  }
  (sent, arrived)
}

/// Prints what part of a cold target's limit is used, and the most requests in a second, when one host, a
/// third of them or all have requests.
#[test]
#[ignore = "prints the figures of docs/MEASUREMENTS.md; run it with --nocapture"]
fn report_use_of_cold_targets() {
  for (hosts, rate) in [(7, 6.5), (75, 36.5)] {
    let limit = ColdLimit {
      rate,
      overage: 1.0,
      allowance: 0.0,
    };
    for loaded_count in [1, hosts / 3, hosts] {
      for demand in [0.5 * rate, 2.0 * rate] {
        let mut order: Vec<usize> = (0..hosts).collect();
        let mut figures = vec![(0, 0, 0); 3];
        // Each of several hosts is the loaded one in turn.
        for turn in 0..hosts.min(7) {
          order.rotate_left((turn > 0) as usize * hosts.div_ceil(7));
          for (rule, figure) in [Rule::Draw, Rule::Turns, Rule::PassedOn].iter().zip(&mut figures) {
            let (sent, arrived) =
              use_of_limit(*rule, &limit, hosts, &order[..loaded_count], demand);
            figure.0 += sent.len();
            figure.1 += arrived;
            figure.2 = figure.2.max(most_within(&sent, Duration::from_secs(1)));
          }
        }
        let figures = figures.iter().map(|(sent, arrived, most)| {
          format!(
            "{:3.0}% served, most {most:3}",
            100.0 * *sent as f64 / *arrived as f64
          )
        });
        println!(
          "{hosts:3} hosts, {loaded_count:3} loaded, limit {rate}, demand {demand:5.1}: draw, turns, passed on: {}",
          figures.collect::<Vec<_>>().join("; ")
        );
      }
    }
  }
}
