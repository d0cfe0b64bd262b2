use {
  super::order,
  crate::{drain::Phase, host::Host, ticket::Ticket, tree::Tree, view::HostState},
  serde::{Deserialize, Serialize},
  serde_with::{DurationMilliSeconds, serde_as},
  std::{net::SocketAddr, time::Duration},
};

/// The response body of `GET /v1/entries`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryList {
  /// Addresses to use, in order of preference.
  pub entries: Vec<SocketAddr>,
  /// How long the caller may cache the list.
  #[serde(rename = "keep_ms")]
  #[serde_as(as = "DurationMilliSeconds<u64>")]
  pub keep: Duration,
  /// A signed ticket that makes this host the home of the caller's idempotency keys; absent
  /// while the host is leaving or has no secret to sign with.
  pub ticket: Option<String>,
  /// How long the ticket is valid.
  #[serde(rename = "ticket_ms")]
  #[serde_as(as = "DurationMilliSeconds<u64>")]
  pub ticket_life: Duration,
}

/// Builds the list of entry hosts for one caller, with a new ticket.
pub fn list_entries(host: &Host, tree: &Tree) -> EntryList {
  let operator_settings = tree.operator_settings();
  let now = host.clock.now();
  let own_address = host.settings.callers;
  let hosts = host.view.borrow().hosts.accepted.clone();
  let hosts = hosts.map(|accepted| accepted.document.hosts.clone()).unwrap_or_default();
  let listed_leaving = hosts
    .iter()
    .any(|entry| entry.callers == own_address && entry.state == HostState::Leaving);
  let include_self = host.drain.phase(now) == Phase::Serving && !listed_leaving;
  let ticket = Ticket {
    expires_after_start: now.saturating_duration_since(host.started)
      + operator_settings.ticket_life,
    home: own_address,
    id: rand::random(),
    incarnation: host.incarnation,
  };
  EntryList {
    entries: order(
      &hosts,
      own_address,
      include_self,
      &host.departure_notices.current(now),
      &mut rand::rng(),
    ),
    keep: operator_settings.entries_keep,
    ticket: include_self.then(|| ticket.sign(&tree.secrets)).flatten(),
    ticket_life: operator_settings.ticket_life,
  }
}
