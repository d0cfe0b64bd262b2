use {
  super::order,
  crate::{drain::Phase, host::Host, ticket::Ticket, tree::Tree, view::HostState},
  serde::{Deserialize, Serialize},
  serde_with::{DurationMilliSeconds, serde_as},
  std::{net::SocketAddr, time::Duration},
};

/// The answer of `GET /v1/entries`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
  /// Addresses to use, best first.
  pub entries: Vec<SocketAddr>,
  /// How long the answer may be kept.
  #[serde(rename = "keep_ms")]
  #[serde_as(as = "DurationMilliSeconds<u64>")]
  pub keep: Duration,
  /// Names the home of the caller's keys; absent while the host is leaving.
  pub ticket: Option<String>,
  /// How long the ticket may be used.
  #[serde(rename = "ticket_ms")]
  #[serde_as(as = "DurationMilliSeconds<u64>")]
  pub ticket_life: Duration,
}

/// Answers a caller who asks which addresses to use.
pub fn answer(host: &Host, tree: &Tree) -> Answer {
  let knobs = tree.operator_settings();
  let now = host.clock.now();
  let this = host.settings.callers;
  let hosts = host.view.borrow().hosts.accepted.clone();
  let hosts = hosts.map(|accepted| accepted.document.hosts.clone()).unwrap_or_default();
  let listed_leaving =
    hosts.iter().any(|entry| entry.callers == this && entry.state == HostState::Leaving);
  let named = host.drain.phase(now) == Phase::Serving && !listed_leaving;
  let ticket = Ticket {
    expires: now.saturating_duration_since(host.started) + knobs.ticket_life,
    home: this,
    id: rand::random(),
    incarnation: host.incarnation,
  };
  Answer {
    entries: order(
      &hosts,
      this,
      named,
      &host.leaving.current(now),
      &mut rand::rng(),
    ),
    keep: knobs.entries_keep,
    ticket: named.then(|| ticket.seal(&tree.secrets)).flatten(),
    ticket_life: knobs.ticket_life,
  }
}
