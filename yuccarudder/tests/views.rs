//! How settings reach every host, through outages, rewinds and restarts.

use {
  rig::{
    fleet::{CREDENTIAL, Fleet, Options, SECRET},
    load::{Workload, generate},
    platform::{Document, Faults},
    tally::Tally,
  },
  std::time::{Duration, Instant},
  tokio::{net::TcpListener, time},
  yuccarudder::{
    caller::Client,
    clock::Clock,
    platform::Key,
    refusal::{Execution, Reason},
    tree::Secret,
  },
};

const DOWN: Faults = Faults {
  delay_ms: 0,
  down: true,
};
const PATIENCE: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(10);

async fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
  let begun = Instant::now();
  while !holds() {
    assert!(begun.elapsed() < PATIENCE, "{what}");
    time::sleep(POLL).await;
  }
}

fn in_force(fleet: &Fleet, host: usize) -> u64 {
  let host = fleet.hosts[host].host().unwrap();
  host.view.borrow().settings.revision_in_force()
}

async fn fleet(hosts: usize, overrides: &[&str]) -> Fleet {
  let mut options = Options {
    engines: 1,
    hosts,
    plain_servers: 1,
    ..Options::default()
  };
  options.overrides.extend(overrides.iter().map(ToString::to_string));
  Fleet::start(options).await.unwrap()
}

async fn ask(client: &Client, jobs: u64) -> Tally {
  let mix = Workload::for_fleet(1, Some(3));
  let mut tally = Tally::default();
  for _ in 0..jobs {
    generate(client, &mix, &mut tally).await;
  }
  tally
}

#[tokio::test(flavor = "multi_thread")]
async fn change_reaches_hosts_that_do_not_read_the_platform() {
  let fleet = fleet(12, &[]).await;
  fleet.platform.server.publish(Key::Settings, fleet.tree(&["kollam"]));
  eventually("a host has old settings", || {
    (0..12).all(|host| in_force(&fleet, host) == 2)
  })
  .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_is_watched_by_few_hosts() {
  let fleet = fleet(12, &[]).await;
  // Starting hosts read both documents once.
  time::sleep(Duration::from_secs(4)).await;
  let before = fleet.platform.server.calls();
  time::sleep(Duration::from_secs(4)).await;
  let calls = fleet.platform.server.calls() - before;
  // Five readers a key renew two watches every 2 s; twelve would make 48 calls.
  assert!((10..=30).contains(&calls), "{calls} calls");
}

#[tokio::test(flavor = "multi_thread")]
async fn change_spreads_after_the_platform_went_down() {
  let fleet = fleet(6, &[]).await;
  let tree = fleet.tree(&["kollam"]);
  fleet.platform.server.set_faults(DOWN);
  let first = fleet.hosts[0].host().unwrap();
  first.offer(Key::Settings, 2, &tree, None);
  eventually("a host has old settings", || {
    (0..6).all(|host| in_force(&fleet, host) == 2)
  })
  .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_host_is_not_taken_back_by_a_rewound_platform() {
  let mut fleet = fleet(3, &[]).await;
  let first = fleet.tree(&[]);
  fleet.platform.server.publish(Key::Settings, fleet.tree(&["kollam"]));
  eventually("a host has old settings", || {
    (0..3).all(|host| in_force(&fleet, host) == 2)
  })
  .await;
  let old = Document {
    revision: 1,
    text: first,
  };
  fleet.platform.server.restore(Key::Settings, old);
  fleet.hosts[0].kill().await;
  fleet.hosts[0].start().await.unwrap();
  assert_eq!(in_force(&fleet, 0), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn starting_host_does_not_serve_before_it_has_asked_its_peers() {
  let mut fleet = fleet(1, &[]).await;
  // A peer that accepts the connection and says nothing.
  let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
  let peers = silent.local_addr().unwrap();
  let list = format!(
    "{}- {{callers: \"10.0.0.9:1\", peers: \"{peers}\", data_centre: a, state: live}}\n",
    fleet.host_list(&[])
  );
  fleet.platform.server.publish(Key::Hosts, list);
  fleet.hosts[0].kill().await;
  fleet.hosts[0].spawn().await.unwrap();
  let host = fleet.hosts[0].host().unwrap().clone();
  // One connection comes from the steady exchange, the other from joining.
  let _first = silent.accept().await.unwrap();
  let _second = silent.accept().await.unwrap();
  assert!(host.tree().is_ok());
  assert_eq!(host.serving().err().unwrap().reason, Reason::NoSettings);
  eventually("the host waits for its peer forever", || {
    host.serving().is_ok()
  })
  .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn host_starts_from_its_seeds_while_the_platform_is_down() {
  let mut fleet = fleet(3, &[]).await;
  fleet.platform.server.set_faults(DOWN);
  fleet.hosts[0].kill().await;
  fleet.hosts[0].settings.key = Some(Secret {
    bytes: SECRET.to_vec(),
    id: "k1".into(),
  });
  fleet.hosts[0].settings.seeds = vec![fleet.hosts[1].settings.peers];
  fleet.hosts[0].start().await.unwrap();
  assert_eq!(in_force(&fleet, 0), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_outage_beyond_the_bound_stops_nothing() {
  let fleet = fleet(3, &["isolation_bound: 3s"]).await;
  fleet.platform.server.set_faults(DOWN);
  time::sleep(Duration::from_secs(5)).await;
  let tally = ask(&fleet.client(), 5).await;
  assert_eq!(tally.completed, 5, "{tally}");
}

#[tokio::test(flavor = "multi_thread")]
async fn host_that_is_cut_off_refuses_new_jobs_truthfully() {
  let mut fleet = fleet(3, &["isolation_bound: 3s"]).await;
  fleet.platform.server.set_faults(DOWN);
  fleet.hosts[1].kill().await;
  fleet.hosts[2].kill().await;
  let host = fleet.hosts[0].host().unwrap().clone();
  eventually("the host still serves", || host.serving().is_err()).await;
  let refusal = host.serving().err().unwrap();
  assert_eq!(
    (refusal.execution, refusal.reason),
    (Execution::NotRun, Reason::CutOff)
  );
  let client = Client::new(Clock::system(), vec![host.settings.callers], CREDENTIAL);
  let tally = ask(&client, 1).await;
  assert!(tally.failed.contains_key("cut_off (not_run)"), "{tally}");
  fleet.hosts[1].spawn().await.unwrap();
  fleet.platform.server.set_faults(Faults::default());
  eventually("the host does not serve again", || host.serving().is_ok()).await;
}
