//! All entry hosts are killed at once, and a server leaves whose entry is removed at that time.

use {
  crate::{
    hosts::{self, Fleet},
    server::Server,
    store::Store,
    wire::Record,
  },
  std::{
    net::Ipv4Addr,
    sync::{
      Arc,
      atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
  },
};

/// The entry hosts of the sheet, and its zones.
const HOSTS: usize = 75;
const ZONES: [&str; 3] = ["east-dist", "north-dist", "xiangshan"];
/// By how much reads with `outdated` are behind: "may be seconds old".
const STALENESS: Duration = Duration::from_secs(5);
/// `drain_timeout_ms` and `contact_ms` of the sheet.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(3000);
const CONTACT: Duration = Duration::from_millis(4000);
/// How long the leaving server goes on: `drain_timeout_ms` "and a little longer (at times many seconds)".
const SERVED_ON: Duration = Duration::from_secs(8);
/// Pause after which a killed process is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(100);
const CLIENTS: usize = 8;
const CLIENT_PAUSE: Duration = Duration::from_millis(60);

pub fn run(path: &str, trouble: bool) -> i32 {
  let record = Record::create(path);
  let [a, b] = hosts::network();
  let ip = |host: u8| Ipv4Addr::new(a, b, 100, host);
  let store = Store::start(ip(1), STALENESS, record.clone());
  store.write("op/config", Some(&config()));
  let servers: Vec<Server> = (0..4_u8)
    .map(|index| {
      let zone = ZONES[usize::from(index) % ZONES.len()];
      Server::start(ip(10 + index), &format!("i-{index}"), zone, &store, &record)
    })
    .collect();
  let mut fleet = Fleet::prepare(HOSTS, &ZONES, store.address);
  fleet.start(true);
  fleet.wait_until_ready();
  record.add("all hosts are ready");
  thread::sleep(Duration::from_secs(12));

  let addresses: Vec<_> =
    fleet.hosts.iter().map(|host| (host.callers(), host.directory())).collect();
  let is_over = Arc::new(AtomicBool::new(false));
  let answered = Arc::new(AtomicUsize::new(0));
  let clients: Vec<_> = (0..CLIENTS)
    .map(|client| {
      let (record, addresses) = (record.clone(), addresses.clone());
      let (is_over, answered) = (Arc::clone(&is_over), Arc::clone(&answered));
      thread::spawn(move || {
        let mut number = 0;
        let mut known: Option<(Instant, Vec<_>)> = None;
        while !is_over.load(Ordering::SeqCst) {
          thread::sleep(CLIENT_PAUSE);
          number += 1;
          let choice = number * 31 + client * 7;
          // Keeps an answer of the directory for its time, two seconds.
          if known.as_ref().is_none_or(|(at, _)| at.elapsed() >= Duration::from_secs(2)) {
            let nodes = (0..3).map(|offset| addresses[(choice + offset) % addresses.len()].1);
            if let Some(list) = nodes.into_iter().find_map(hosts::look_up) {
              known = Some((Instant::now(), list));
            }
          }
          let Some((_, list)) = &known else {
            continue;
          };
          let host = list[choice % list.len()];
          let id = format!("{client:02x}{number:06x}");
          record.add(&format!("client: sends {id} to {host}"));
          let status = hosts::book(host, &id).map_or(0, |answer| answer.status());
          record.add(&format!("client: {id} answered {status}"));
          answered.fetch_add(usize::from(status == 200), Ordering::SeqCst);
        }
      })
    })
    .collect();
  thread::sleep(Duration::from_secs(4));

  let leaving = &servers[3];
  if trouble {
    record.add("driver: kills all hosts");
    fleet.kill();
  }
  leaving.is_listed.store(false, Ordering::SeqCst);
  let acknowledged = store.write(&format!("servers/{}", leaving.id), None);
  record.add(&format!("store: the entry of {} is removed; it serves on", leaving.id));
  if trouble {
    thread::sleep(RESTART_PAUSE);
    fleet.start(false);
    record.add("driver: has started all hosts again");
  }
  let in_touch_from = if trouble {
    fleet.hosts.iter().filter_map(|host| host.started).max().unwrap() + CONTACT
  } else {
    acknowledged
  };
  thread::sleep(SERVED_ON.saturating_sub(acknowledged.elapsed()));
  leaving.end();
  record.add(&format!("server {}: has ended", leaving.id));
  thread::sleep(Duration::from_secs(1));
  is_over.store(true, Ordering::SeqCst);
  for client in clients {
    client.join().unwrap();
  }
  drop(fleet);

  let answered = answered.load(Ordering::SeqCst);
  assert!(answered > 50, "hardly a request was served");
  let bound = acknowledged + DRAIN_TIMEOUT;
  let arrivals = leaving.arrivals.lock().unwrap();
  let late: Vec<_> =
    arrivals.iter().filter(|arrival| arrival.at > bound && arrival.at > in_touch_from).collect();
  for arrival in &late {
    record.add(&format!(
      "broken: {} reached {} {} ms after the store acknowledged that it is gone",
      arrival.request,
      leaving.id,
      (arrival.at - acknowledged).as_millis()
    ));
  }
  println!("{answered} requests served, {} reached the server that had left too late", late.len());
  i32::from(!late.is_empty())
}

/// The configuration: one route to the plain service, for requests that may run once at most.
fn config() -> String {
  let key = hosts::KEY;
  format!(
    r#"{{"version":7,"routes":[{{"name":"book","hostname":"ficu95.example","path_prefix":"/pule252/","route_type":"non_idempotent","timeout_ms":1000,"target_latency_ms":150,"priority":2,"backend":"app","max_attempts":1,"public":false}}],"backends":[{{"name":"app","health_check_path":"/healthz","max_connections":510,"protocol":"h1","tls":false,"warmup_s":0.0,"warmup_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"huka270","api_keys":["{key}"],"priority":1}}]}}"#
  )
}
