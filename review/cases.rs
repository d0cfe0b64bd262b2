//! The cases.

use crate::world::{Answer, End, World, config, event_ids, new_id, send, send_with_gap};
use std::io::{self, Write};
use std::thread;
use std::time::Duration;

const ZONES: [&str; 3] = ["east-dist", "north-dist", "xiangshan"];
const SIX: [&str; 6] = [
  "east-dist",
  "east-dist",
  "north-dist",
  "north-dist",
  "xiangshan",
  "xiangshan",
];

/// Runs a case; returns its exit status.
pub fn run(name: &str, record: &str, trouble: bool) -> i32 {
  let mut world = World::new();
  let broken = match name {
    "unframed" => unframed(&mut world, trouble),
    "draining" => draining(&mut world, trouble),
    "twice" => twice(&mut world, trouble),
    "gone" => gone(&mut world, trouble),
    "partial" => partial(&mut world, trouble),
    _ => return 2,
  };
  let log = world.record.clone();
  for line in &broken {
    log.add("check", "broken", "-", line);
    let _ = writeln!(io::stdout(), "broken: {line}");
  }
  drop(world);
  log.write(record);
  i32::from(!broken.is_empty())
}

fn sleep(ms: u64) {
  thread::sleep(Duration::from_millis(ms));
}

/// A model engine that answers without a length crashes.
fn unframed(world: &mut World, trouble: bool) -> Vec<String> {
  world.store.put("op/config", &config(7, 24_000));
  world.start_hosts(&SIX);
  for index in 0..18 {
    world.start_server(
      "llm",
      ZONES[index % 3],
      &format!("i-e{index:02}"),
      &["unframed"],
    );
  }
  world.wait_until_ready();
  sleep(3000);
  let clients: Vec<_> = (0..36)
    .map(|index| {
      let (record, host) = (
        world.record.clone(),
        world.hosts[index % world.hosts.len()].callers,
      );
      sleep(20);
      thread::spawn(move || {
        let id = new_id("plan");
        let headers = "x-yuccarudder-model-id: m\r\nx-yuccarudder-token-usage: 1460,800\r\n";
        let answer: Answer = send(
          &record,
          host,
          "POST",
          &format!("/plan/{id}"),
          &id,
          headers,
          &id,
          39000,
        );
        (id, answer)
      })
    })
    .collect();
  sleep(3000);
  if trouble {
    // 3 of 18 servers are the share of a crash in the site file.
    let crashed = ["i-e00", "i-e07", "i-e14"];
    crashed.iter().for_each(|id| world.kill_server(id));
    // Their entries are removed after three heartbeat intervals of silence.
    sleep(3600);
    crashed.iter().for_each(|id| world.store.remove(&format!("servers/{id}")));
  }
  let mut broken = Vec::new();
  for client in clients {
    let (id, answer) = client.join().unwrap();
    let ids = event_ids(&answer.body);
    let whole = (1..=200).collect::<Vec<u64>>();
    if answer.status == 200 && answer.end == End::Whole && ids != whole {
      broken.push(format!(
        "ORDER: {id} ended as complete after event {} of 200",
        ids.last().unwrap_or(&0)
      ));
    }
  }
  broken
}

/// An engine leaves; while its runs are copied, the engine that receives one of the copies begins to leave, too.
fn draining(world: &mut World, trouble: bool) -> Vec<String> {
  const MBPS: u32 = 10_000;
  world.store.put("op/config", &config(7, MBPS));
  world.start_hosts(&SIX);
  let ids: Vec<String> = (0..7).map(|index| format!("i-e{index:02}")).collect();
  for (index, id) in ids.iter().enumerate() {
    // The first server is alone in its zone, so that its runs are copied to other zones.
    let zone = if index == 0 {
      ZONES[0]
    } else {
      ZONES[1 + index % 2]
    };
    world.start_server(
      "llm",
      zone,
      id,
      &[&format!("kv_mbps={MBPS}"), "token_ms=12"],
    );
  }
  world.wait_until_ready();
  sleep(3500);
  let clients: Vec<_> = (0..42)
        .map(|index| {
            let (record, host) = (world.record.clone(), world.hosts[index % world.hosts.len()].callers);
            sleep(50);
            thread::spawn(move || {
                let id = new_id("plan");
                let headers = "x-yuccarudder-model-id: m\r\nx-yuccarudder-token-usage: 3000,1200\r\nx-yuccarudder-length-hint: 1200\r\n";
                let answer: Answer = send(&record, host, "POST", &format!("/plan/{id}"), &id, headers, &id, 39000);
                (id, answer)
            })
        })
        .collect();
  sleep(2500);
  let first = ids[0].clone();
  world.drain(&first, 8000);
  // The next server leaves two seconds later: the one whose copy was ordered last.
  sleep(2000);
  let entries = world.record.all();
  let address_of = |id: &str| world.with_server(id, |server| server.address.to_string());
  let destination = entries.iter().rev().find(|entry| entry.word == "copies").and_then(|entry| {
    let to = entry.detail.split(' ').find_map(|word| word.strip_prefix("to="))?.to_owned();
    ids.iter().find(|id| address_of(id) == to).cloned()
  });
  let second = destination.expect("no copy was ordered");
  let mut acknowledged = f64::MAX;
  if trouble {
    acknowledged = world.drain(&second, 3500);
  }
  sleep(3500);
  if trouble {
    world.end_server(&second);
  }
  sleep(2500);
  world.end_server(&first);
  let answers: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
  let entries = world.record.all();
  let mut broken = Vec::new();
  for entry in entries.iter().filter(|entry| entry.who == second && entry.word == "arrives") {
    if entry.at > acknowledged + 2000.0 {
      let (_, answer) = answers.iter().find(|(id, _)| *id == entry.request).unwrap();
      let last = event_ids(&answer.body).last().copied().unwrap_or(0);
      broken.push(format!(
                "DRAIN: {} reaches {second} {:.0} ms after the store acknowledged that it drains; its client gets {last} of 300 events, {:?}",
                entry.request, entry.at - acknowledged, answer.end
            ));
    }
  }
  broken
}

/// Engines run requests whose answers are lost.
fn twice(world: &mut World, trouble: bool) -> Vec<String> {
  world.store.put("op/config", &config(7, 24_000));
  world.start_hosts(&SIX);
  for index in 0..18 {
    world.start_server("llm", ZONES[index % 3], &format!("i-e{index:02}"), &[]);
  }
  world.wait_until_ready();
  // A new process has no retries to spend in its first ten seconds.
  sleep(11_000);
  let clients: Vec<_> = (0..400)
    .map(|index| {
      // Half of the servers lose one answer each, of about 22 that they give.
      if trouble && index >= 100 && index % 25 == 0 && index < 325 {
        let server = format!("i-e{:02}", 2 * (index / 25 - 4));
        world.with_server(&server, |server| server.tell("lose 1"));
      }
      let (record, host) = (
        world.record.clone(),
        world.hosts[index % world.hosts.len()].callers,
      );
      sleep(50);
      thread::spawn(move || {
        let id = new_id("sort");
        let headers = "x-yuccarudder-model-id: m\r\nx-yuccarudder-token-usage: 1460,160\r\n";
        send(
          &record,
          host,
          "POST",
          &format!("/sort/{id}"),
          &id,
          headers,
          &id,
          6000,
        );
      })
    })
    .collect();
  for client in clients {
    client.join().unwrap();
  }
  sleep(2500);
  let entries = world.record.all();
  let mut broken = Vec::new();
  for arrival in entries.iter().filter(|entry| entry.word == "runs") {
    let before = entries.iter().filter(|entry| {
      entry.word == "runs"
        && entry.request == arrival.request
        && entry.who != arrival.who
        && entry.at < arrival.at
    });
    for earlier in before {
      let end = entries.iter().find(|entry| {
        entry.word == "ends" && entry.who == earlier.who && entry.request == earlier.request
      });
      let until = end.map_or(f64::MAX, |end| end.at);
      if until > arrival.at + 400.0 {
        broken.push(format!(
          "TWICE: {} goes on at {} while {} still works on it {:.0} ms later",
          arrival.request,
          arrival.who,
          earlier.who,
          until - arrival.at
        ));
      }
    }
  }
  broken
}

/// Engines crash while the others are full; the clients leave before there is room for their streams.
fn gone(world: &mut World, trouble: bool) -> Vec<String> {
  // The longest of two seconds, four times the objective and eight times the pause of the route.
  const GAP_MS: u64 = 2000;
  world.store.put("op/config", &config(7, 24_000));
  world.start_hosts(&SIX);
  for index in 0..18 {
    world.start_server("llm", ZONES[index % 3], &format!("i-e{index:02}"), &[]);
  }
  world.wait_until_ready();
  // A new process has no retries to spend in its first ten seconds.
  sleep(11_000);
  let clients: Vec<_> = (0..230)
    .map(|index| {
      let (record, host) = (
        world.record.clone(),
        world.hosts[index % world.hosts.len()].callers,
      );
      sleep(20);
      thread::spawn(move || {
        let id = new_id("note");
        let tokens = 600 + 160 * (index % 10);
        let headers = format!(
          "x-yuccarudder-model-id: m\r\nx-yuccarudder-token-usage: 3000,{tokens}\r\nx-yuccarudder-length-hint: {tokens}\r\n"
        );
        let path = format!("/note/{id}");
        send_with_gap(&record, host, "POST", &path, &id, &headers, &id, 39000, GAP_MS);
      })
    })
    .collect();
  sleep(1500);
  if trouble {
    // 3 of 18 servers are the share of a crash in the site file.
    let crashed = ["i-e00", "i-e07", "i-e14"];
    crashed.iter().for_each(|id| world.kill_server(id));
    sleep(3600);
    crashed.iter().for_each(|id| world.store.remove(&format!("servers/{id}")));
  }
  for client in clients {
    client.join().unwrap();
  }
  sleep(10_000);
  let entries = world.record.all();
  let mut broken = Vec::new();
  for left in entries.iter().filter(|entry| entry.word == "leaves") {
    let late = entries.iter().filter(|entry| {
      entry.word == "arrives" && entry.request == left.request && entry.at > left.at + 500.0
    });
    for arrival in late {
      broken.push(format!(
        "GONE: {} reaches {} {:.0} ms after its client has closed its connection",
        left.request,
        arrival.who,
        arrival.at - left.at
      ));
    }
  }
  // The rule allows a few.
  if broken.len() > 5 { broken } else { Vec::new() }
}

/// A plain server that answers without a length crashes.
fn partial(world: &mut World, trouble: bool) -> Vec<String> {
  world.store.put("op/config", &config(7, 24_000));
  world.start_hosts(&SIX);
  for index in 0..6 {
    world.start_server(
      "app",
      ZONES[index % 3],
      &format!("i-a{index:02}"),
      &["unframed"],
    );
  }
  world.wait_until_ready();
  sleep(3000);
  let clients: Vec<_> = (0..36)
    .map(|index| {
      let (record, host) = (
        world.record.clone(),
        world.hosts[index % world.hosts.len()].callers,
      );
      thread::spawn(move || {
        let mut answers = Vec::new();
        for count in 0..100 {
          let id = new_id("book");
          let path = format!("/book/{id}");
          let answer = send(&record, host, "POST", &path, &id, "", &id, 1000);
          answers.push((id, answer));
          sleep(5 + (7 * index as u64 + 11 * count) % 97);
        }
        answers
      })
    })
    .collect();
  sleep(2500);
  if trouble {
    // It crashes while it is at work.
    let count = |word: &str| {
      let entries = world.record.all().into_iter();
      entries.filter(|entry| entry.who == "i-a01" && entry.word == word).count()
    };
    while count("runs") < count("ends") + 3 {
      sleep(1);
    }
    // 1 of 6 servers is within the share of a crash in the site file.
    world.kill_server("i-a01");
    sleep(3600);
    world.store.remove("servers/i-a01");
  }
  let mut broken = Vec::new();
  for (id, answer) in clients.into_iter().flat_map(|client| client.join().unwrap()) {
    if answer.status == 200 && answer.end == End::Whole && !answer.body.ends_with('}') {
      broken.push(format!(
        "MIXED: {id} is answered with 200 and {} bytes of a longer body",
        answer.body.len()
      ));
    }
  }
  broken
}
