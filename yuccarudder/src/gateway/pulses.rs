use {
  super::{Gateway, gateway::HOST},
  crate::member::{self, Codec, Known, Phase, Pulse, Sent},
  bytes::Bytes,
  futures::{SinkExt, StreamExt, stream::SplitSink},
  prost::Message,
  std::{collections::HashMap, net::SocketAddr, time::Duration},
  tokio::{net::UdpSocket, time},
  tokio_util::udp::UdpFramed,
};

const PREFIX: &str = "member";
/// Pause before another host is asked for its catalog after one gave none.
const TAKE_DELAY: Duration = Duration::from_millis(100);
const RECEIVE_DELAY: Duration = Duration::from_millis(10);

type Sender = SplitSink<UdpFramed<Codec>, (Bytes, SocketAddr)>;

/// Exchanges pulses with the other hosts until the task is dropped.
pub async fn run(gateway: Gateway, socket: UdpSocket) {
  let (mut sender, mut receiver) = UdpFramed::new(socket, Codec).split();
  let receiving = async {
    loop {
      match receiver.next().await {
        Some(Ok((Some(pulse), _))) => receive(&gateway, &pulse),
        Some(Ok((None, from))) => {
          log::warn!(target: PREFIX, from:% = from; "A pulse cannot be read.");
        }
        // The system tells of peers that cannot be reached; their silence counts.
        Some(Err(_)) | None => time::sleep(RECEIVE_DELAY).await,
      }
    }
  };
  let sending = async {
    let mut sequence = 0;
    loop {
      gateway.tick();
      sequence += 1;
      let hosts = send(&gateway, &mut sender, sequence).await;
      let pause = member::news_period(hosts);
      time::sleep(pause).await;
      let rest = member::period(hosts).saturating_sub(pause);
      // Both news and the end of the period are a reason to send.
      let _ = time::timeout(rest, gateway.news.notified()).await;
    }
  };
  tokio::join!(receiving, sending);
}

/// Sends a pulse to every host; returns their number.
async fn send(gateway: &Gateway, sender: &mut Sender, sequence: u64) -> usize {
  let (pulse, known) = compose(gateway, sequence);
  let hosts = known.len();
  for Known { address, echo } in known {
    let pulse = Pulse {
      echo,
      ..pulse.clone()
    };
    let datagram = pulse.encode_to_vec().into();
    if let Err(error) = sender.send((datagram, address)).await {
      log::debug!(target: PREFIX, address:% = address, error:% = error; "A pulse was not sent.");
    }
  }
  hosts
}

fn compose(gateway: &Gateway, sequence: u64) -> (Pulse, Vec<Known>) {
  let phase = gateway.phase();
  let now = gateway.clock.boot();
  let loads = gateway.places.lock().local_loads();
  let mut state = gateway.lock();
  let (known, forgotten) = state.members.outgoing(now);
  let told = state.duty(now).tells_leaves_for();
  let named = state.members.named_at_once(now);
  state.members.record_sent(Sent { at: now, sequence });
  let age = state.freshness.age(now);
  let pulse = Pulse {
    callers: state.settings.callers.to_string(),
    catalog_age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX) + 1),
    catalog_version: state.version(),
    echo: None,
    evacuated: state.roster.evacuated().map(str::to_owned).collect(),
    operator_revision: state.operator_revision,
    incarnation: state.members.incarnation(),
    leaving: state
      .roster
      .departures(told, gateway.clock.now())
      .map(member::Leaving::from)
      .collect(),
    loads: loads.into_iter().map(|(target, load)| member::Load::new(target, load)).collect(),
    members: some(state.members.live(now).map(|(address, _)| address), named),
    phase: phase.number(),
    reads: state.reads(),
    sender: state.settings.peers.to_string(),
    sequence,
    weight: state.settings.weight,
  };
  drop(state);
  for host in forgotten {
    log::info!(target: PREFIX, host:% = host; "A host is silent for long and forgotten.");
    gateway.places.lock().remove_host(host);
  }
  (pulse, known)
}

/// Returns a few of the hosts, others each time.
fn some(hosts: impl Iterator<Item = SocketAddr>, count: usize) -> Vec<String> {
  let mut hosts: Vec<SocketAddr> = hosts.collect();
  while hosts.len() > count {
    hosts.swap_remove(rand::random_range(0..hosts.len()));
  }
  hosts.into_iter().map(|host| host.to_string()).collect()
}

fn receive(gateway: &Gateway, pulse: &Pulse) {
  let heard = gateway.clock.now();
  let now = gateway.clock.boot();
  let mut state = gateway.lock();
  let Some(news) = state.members.receive(pulse, now) else {
    return;
  };
  let version = state.version();
  if pulse.catalog_version == version
    && version > 0
    && let Some(confirmed) = news.confirmed
  {
    state.freshness.confirm(confirmed);
  }
  if pulse.operator_revision > state.operator_revision {
    state.operator_revision = pulse.operator_revision;
    state.roster.set_evacuated(pulse.evacuated.iter().cloned());
  }
  let told = pulse.leaving.iter();
  let leaving: Vec<_> = told
    .filter_map(|leaving| state.roster.merge_departure(&(*leaving).into(), heard))
    .collect();
  drop(state);
  if !leaving.is_empty() {
    gateway.tell_leaving(&leaving, HOST);
  }
  learn_loads(gateway, pulse, news.sender);
  if pulse.catalog_version > version && gateway.lock().intake.begin(news.sender) {
    tokio::spawn(take_catalog(gateway.clone(), news.sender));
  }
}

fn learn_loads(gateway: &Gateway, pulse: &Pulse, sender: SocketAddr) {
  let leaves = Phase::from_number(pulse.phase) == Phase::Leaving;
  let loads: HashMap<_, _> = pulse.loads.iter().map(|load| (load.target, load.load())).collect();
  let mut ledger = gateway.places.lock();
  if leaves && loads.is_empty() {
    ledger.remove_host(sender);
  } else {
    ledger.set_peer_loads(sender, loads);
  }
}

/// Takes the catalog of other hosts until none has a newer one.
async fn take_catalog(gateway: Gateway, first: SocketAddr) {
  let mut next = Some(first);
  while let Some(host) = next {
    let above = gateway.lock().version();
    match member::fetch(host, above).await {
      Ok(bytes) if bytes.is_empty() => {}
      Ok(bytes) => gateway.offer_catalog(bytes, None, HOST),
      Err(error) => {
        log::warn!(target: PREFIX, host:% = host, above, error:% = error; "Another host's catalog was not taken.");
        time::sleep(TAKE_DELAY).await;
      }
    }
    let now = gateway.clock.boot();
    let mut state = gateway.lock();
    let newer = state.members.with_catalog_above(state.version(), now);
    next = state.intake.next(&newer, rand::random_range(0.0..1.0));
  }
}
