use {
  super::*,
  crate::roster::Key,
  proptest::prelude::*,
  rand::{RngExt, SeedableRng, rngs::StdRng},
  slotmap::SlotMap,
  std::time::{Duration, Instant},
};

const SERVICE: u64 = 1;
/// Time that passes in a step of a simulation, in milliseconds.
const STEP_MS: u64 = 10;
/// Steps between two heartbeats of a host.
const HEARTBEAT_STEPS: u64 = 20;

fn sighting(start: Instant, ms: u64, places: u32) -> Sighting {
  Sighting {
    at: start + Duration::from_millis(ms),
    places,
  }
}

#[test]
fn limit_grows_by_less_than_the_tolerance_beyond_what_was_taken() {
  let now = Instant::now();
  let mut room = Room::default();
  assert_eq!(room.limit(3, 3.0, now), 3);
  room.record_taken(sighting(now, 0, 3));
  assert_eq!(room.limit(3, 3.0, now), 4);
  assert_eq!(room.limit(3, 8.0, now), 7);
  assert_eq!(room.limit(1, 1.0, now), 4);
  assert_eq!(room.limit(12, 3.0, now), 12);
}

#[test]
fn rejection_lowers_the_limit_until_the_next_trial() {
  let now = Instant::now();
  let at = |ms| now + Duration::from_millis(ms);
  let mut room = Room::default();
  room.record_taken(sighting(now, 0, 6));
  room.record_exceeded(sighting(now, 100, 5));
  assert_eq!(room.limit(3, 3.0, at(200)), 4);
  // A report from before the rejection.
  room.record_taken(sighting(now, 50, 6));
  assert_eq!(room.limit(3, 3.0, at(200)), 4);
  assert_eq!(room.limit(3, 3.0, at(10_100)), 5);
}

#[test]
fn hosts_agree_whatever_the_order_of_their_reports() {
  let now = Instant::now();
  let mut first = Room::default();
  first.record_taken(sighting(now, 0, 6));
  let mut second = Room::default();
  second.record_exceeded(sighting(now, 100, 5));
  let (mut left, mut right) = (first, second);
  left.merge(&second);
  right.merge(&first);
  assert_eq!(left, right);
}

#[test]
fn target_always_gets_requests() {
  let now = Instant::now();
  let mut room = Room::default();
  room.record_exceeded(sighting(now, 0, 1));
  assert_eq!(room.limit(1, 1.0, now), 1);
  assert_eq!(Room::default().limit(0, 0.0, now), 1);
}

/// One host of a simulated fleet.
#[derive(Clone, Default)]
struct Host {
  brittleness: Brittleness,
  /// Numbers of requests at the target that the other hosts reported last.
  reported: Vec<u32>,
  /// For each running request, its end and what the host knew when it sent it.
  running: Vec<(u64, Attempt)>,
}

/// Runs a fleet whose hosts share one target with room for `room` requests; returns how often the
/// target fell over because it rejected more than it bears in a second, and the share of the room that was used in the last third, with more load
/// than room.
fn simulate(hosts: usize, room: u32, tolerance: u32, run_ms: u64, seed: u64) -> (u32, f64) {
  let mut random = StdRng::seed_from_u64(seed);
  let start = Instant::now();
  let mut keys: SlotMap<Key, ()> = SlotMap::with_key();
  let key = keys.insert(());
  let statement = BrittleStatement {
    at: start,
    tolerance: Some(f64::from(tolerance)),
  };
  let mut fleet = vec![Host::default(); hosts];
  for host in &mut fleet {
    host.brittleness.record(SERVICE, statement, false);
    host.reported = vec![0; hosts];
  }
  let mut falls = 0;
  let mut rejections: Vec<u64> = Vec::new();
  let mut used = 0;
  let steps = 4_500;
  let mut load: f64 = 0.0;
  for step in 0..steps {
    let ms = step * STEP_MS;
    let now = start + Duration::from_millis(ms);
    if step % 200 == 0 {
      load = [0.0, 0.1, 0.5, 1.0, 4.0][random.random_range(0..5)];
    }
    for host in &mut fleet {
      let mut ended = Vec::new();
      host.running.retain(|(end, attempt)| {
        if *end <= ms {
          ended.push(*attempt);
        }
        *end > ms
      });
      for attempt in ended {
        host.brittleness.record_taken(key, attempt, now);
      }
    }
    // The expected number of requests that arrive in a step, relative to what the target can serve.
    let mut arrivals = load * f64::from(room) * STEP_MS as f64 / run_ms as f64;
    if step >= steps * 2 / 3 {
      // Requests wait at all hosts.
      arrivals = (3 * hosts) as f64;
    }
    while arrivals > 0.0 {
      let arrives = random.random_bool(arrivals.min(1.0));
      arrivals -= 1.0;
      if !arrives {
        continue;
      }
      let index = random.random_range(0..hosts);
      let total: usize = fleet.iter().map(|host| host.running.len()).sum();
      let host = &mut fleet[index];
      let limit = host.brittleness.limit(SERVICE, key, now);
      if host.brittleness.share(key, now).is_none() {
        let share = PlaceShare {
          hosts,
          position: Some(index),
          slots: limit,
        };
        host.brittleness.set_share(key, share, now);
      }
      let in_flight = u32::try_from(host.running.len()).unwrap();
      if host.brittleness.room(SERVICE, key, in_flight, now) == Some(0) {
        continue;
      }
      let attempt = Attempt {
        concurrent: in_flight + host.reported.iter().sum::<u32>() + 1,
        sent_at: now,
        service: SERVICE,
      };
      if total < room as usize {
        let run = random.random_range(run_ms / 2..=run_ms * 3 / 2);
        host.running.push((ms + run, attempt));
      } else {
        host.brittleness.record_rejection(key, attempt, now);
        rejections.retain(|at| ms < at + 1_000);
        rejections.push(ms);
        if rejections.len() > tolerance as usize {
          falls += 1;
          rejections.clear();
        }
      }
    }
    if step >= steps * 2 / 3 {
      used += fleet.iter().map(|host| host.running.len()).sum::<usize>();
    }
    for index in 0..hosts {
      if (step + index as u64).is_multiple_of(HEARTBEAT_STEPS) {
        let rooms: Vec<(Key, Room)> = fleet[index].brittleness.own_rooms().collect();
        let running = u32::try_from(fleet[index].running.len()).unwrap();
        for other in (0..hosts).filter(|other| *other != index) {
          let other = &mut fleet[other];
          other.reported[index] = running;
          for (key, room) in &rooms {
            other.brittleness.merge_room(*key, room);
          }
        }
      }
    }
  }
  let share = used as f64 / (steps as f64 / 3.0) / f64::from(room);
  (falls, share)
}

proptest! {
  #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

  /// Guards against targets that fall over because hosts ask for more room than they have, and against
  /// room that stays unused.
  #[test]
  fn targets_fall_no_more_often_than_is_allowed_and_their_room_is_used(
    hosts in 1..13_usize,
    room in 1..13_u32,
    tolerance in 2..8_u32,
    run_ms in 40..600_u64,
    seed: u64,
  ) {
    let (falls, used) = simulate(hosts, room, tolerance, run_ms, seed);
    prop_assert!(falls <= 2, "{falls} falls");
    prop_assert!(used >= 0.8, "{used} of the room used");
  }
}
