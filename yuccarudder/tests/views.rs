//! Propagation of settings to all hosts during platform outages, after platform rollbacks and
//! after restarts.

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

const OUTAGE: Faults = Faults {
  delay_ms: 0,
  down: true,
};
const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

async fn wait_until(failure: &str, mut condition: impl FnMut() -> bool) {
  let start = Instant::now();
  while !condition() {
    assert!(start.elapsed() < TIMEOUT, "{failure}");
    time::sleep(POLL_INTERVAL).await;
  }
}

fn revision_in_force(fleet: &Fleet, host: usize) -> u64 {
  let host = fleet.hosts[host].host().unwrap();
  host.view.borrow().settings.revision_in_force()
}

async fn start_fleet(hosts: usize, overrides: &[&str]) -> Fleet {
  let mut options = Options {
    engines: 1,
    hosts,
    plain_servers: 1,
    ..Options::default()
  };
  options.overrides.extend(overrides.iter().map(ToString::to_string));
  Fleet::start(options).await.unwrap()
}

async fn run_generations(client: &Client, count: u64) -> Tally {
  let workload = Workload::for_fleet(1, Some(3));
  let mut tally = Tally::default();
  for _ in 0..count {
    generate(client, &workload, &mut tally).await;
  }
  tally
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_change_reaches_hosts_that_do_not_read_the_platform() {
  let fleet = start_fleet(12, &[]).await;
  fleet.platform.server.publish(Key::Settings, fleet.tree(&["kollam"]));
  wait_until("a host still has the old settings", || {
    (0..12).all(|host| revision_in_force(&fleet, host) == 2)
  })
  .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_is_watched_by_few_hosts() {
  let fleet = start_fleet(12, &[]).await;
  // Each host reads both documents once when it starts.
  time::sleep(Duration::from_secs(4)).await;
  let calls_before = fleet.platform.server.calls();
  time::sleep(Duration::from_secs(4)).await;
  let calls = fleet.platform.server.calls() - calls_before;
  // Five readers of each of the two keys renew their watch every 2 s, which makes 20 calls;
  // twelve would make 48.
  assert!((10..=30).contains(&calls), "{calls} calls");
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_change_spreads_during_a_platform_outage() {
  let fleet = start_fleet(6, &[]).await;
  let tree = fleet.tree(&["kollam"]);
  fleet.platform.server.set_faults(OUTAGE);
  let first_host = fleet.hosts[0].host().unwrap();
  first_host.offer(Key::Settings, 2, &tree, None);
  wait_until("a host still has the old settings", || {
    (0..6).all(|host| revision_in_force(&fleet, host) == 2)
  })
  .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_host_ignores_an_older_revision_from_the_platform() {
  let mut fleet = start_fleet(3, &[]).await;
  let old_tree = fleet.tree(&[]);
  fleet.platform.server.publish(Key::Settings, fleet.tree(&["kollam"]));
  wait_until("a host still has the old settings", || {
    (0..3).all(|host| revision_in_force(&fleet, host) == 2)
  })
  .await;
  let old_document = Document {
    revision: 1,
    text: old_tree,
  };
  fleet.platform.server.restore(Key::Settings, old_document);
  fleet.hosts[0].kill().await;
  fleet.hosts[0].start().await.unwrap();
  assert_eq!(revision_in_force(&fleet, 0), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn starting_host_does_not_serve_before_it_has_contacted_its_peers() {
  let mut fleet = start_fleet(1, &[]).await;
  // A peer that accepts connections and never responds.
  let silent_peer = TcpListener::bind("127.0.0.1:0").await.unwrap();
  let peers = silent_peer.local_addr().unwrap();
  let host_list = format!(
    "{}- {{callers: \"10.0.0.9:1\", peers: \"{peers}\", data_centre: a, state: live}}\n",
    fleet.host_list(&[])
  );
  fleet.platform.server.publish(Key::Hosts, host_list);
  fleet.hosts[0].kill().await;
  fleet.hosts[0].spawn().await.unwrap();
  let host = fleet.hosts[0].host().unwrap().clone();
  // One connection comes from the periodic exchange, the other from joining.
  let _first_connection = silent_peer.accept().await.unwrap();
  let _second_connection = silent_peer.accept().await.unwrap();
  assert!(host.tree().is_ok());
  assert_eq!(
    host.serving_tree().err().unwrap().reason,
    Reason::NoSettings
  );
  wait_until("the host still waits for the unresponsive peer", || {
    host.serving_tree().is_ok()
  })
  .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn host_starts_from_its_seeds_while_the_platform_is_down() {
  let mut fleet = start_fleet(3, &[]).await;
  fleet.platform.server.set_faults(OUTAGE);
  fleet.hosts[0].kill().await;
  fleet.hosts[0].settings.key = Some(Secret {
    bytes: SECRET.to_vec(),
    id: "k1".into(),
  });
  fleet.hosts[0].settings.seeds = vec![fleet.hosts[1].settings.peers];
  fleet.hosts[0].start().await.unwrap();
  assert_eq!(revision_in_force(&fleet, 0), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_succeed_during_a_platform_outage_beyond_the_isolation_bound() {
  let fleet = start_fleet(3, &["isolation_bound: 3s"]).await;
  fleet.platform.server.set_faults(OUTAGE);
  time::sleep(Duration::from_secs(5)).await;
  let tally = run_generations(&fleet.client(), 5).await;
  assert_eq!(tally.completed, 5, "{tally}");
}

#[tokio::test(flavor = "multi_thread")]
async fn isolated_host_refuses_new_jobs_as_not_run() {
  let mut fleet = start_fleet(3, &["isolation_bound: 3s"]).await;
  fleet.platform.server.set_faults(OUTAGE);
  fleet.hosts[1].kill().await;
  fleet.hosts[2].kill().await;
  let host = fleet.hosts[0].host().unwrap().clone();
  wait_until("the host still serves", || host.serving_tree().is_err()).await;
  let refusal = host.serving_tree().err().unwrap();
  assert_eq!(
    (refusal.execution, refusal.reason),
    (Execution::NotRun, Reason::CutOff)
  );
  let client = Client::new(Clock::system(), vec![host.settings.callers], CREDENTIAL);
  let tally = run_generations(&client, 1).await;
  assert!(tally.failed.contains_key("cut_off (not_run)"), "{tally}");
  fleet.hosts[1].spawn().await.unwrap();
  fleet.platform.server.set_faults(Faults::default());
  wait_until("the host does not serve again", || {
    host.serving_tree().is_ok()
  })
  .await;
}
