//! Passes requests on to other hosts while this host has lost its links to the targets of a service, has no
//! place at brittle ones or at those in their cold start, or has taken all its places at brittle ones.
//!
//! The other host handles the request like one of its own callers: it admits it, counts it against the
//! limits and budgets, and retries it. It does not pass it on again.

use {
  super::{
    Gateway, call::Call, directory, gateway::State, ingress, sending::Failure, verdict::Verdict,
  },
  crate::{
    attempt::{History, Outcome},
    dialect::{Forwarded, HandoverMetadata},
    http::{self, Body, Framing},
    member::{Member, Phase},
    placement::LoadTable,
    plain,
    refusal::{Reason, Refusal},
    routing::Kind,
    upstream::{self, Error},
  },
  hyper::{
    Request, Response, Uri,
    body::Incoming,
    header::{CONTENT_LENGTH, HeaderMap},
  },
  rand::seq::IndexedRandom,
  std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::atomic::Ordering,
    time::{Duration, Instant},
  },
  tokio::time,
};

const PREFIX: &str = "forwarding";
/// Longest wait for a connection to another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time beyond that of the caller for the other host's own refusal to arrive.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// Number of hosts among which the requests for a service are spread at a time, so that the choice costs
/// the same in a fleet of any size.
const HELPERS: usize = 8;
/// How long the same hosts are used; their states are as old as their heartbeats.
const HELPERS_LIFETIME: Duration = Duration::from_millis(500);
/// Maximum number of hosts that a request is passed on to, one after the other.
const MAX_HANDOVERS: usize = 3;

/// Why requests for a service are passed on to another host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cause {
  /// This host has lost its links to the targets, as far as it knows.
  LinksInDoubt,
  /// The targets are brittle or in their cold start, and all their places belong to other hosts.
  NoPlace,
  /// The targets are brittle, and all places of this host there are taken.
  PlacesTaken,
}

/// A host that was chosen to help.
#[derive(Clone, Debug)]
struct Helper {
  address: SocketAddr,
  /// Whether it takes a request that is passed on for what it is. To an older build it is one of a
  /// caller, of which no target has run any.
  knows_handovers: bool,
  /// Address at which other hosts know it.
  peer: SocketAddr,
  /// The number of its places at each brittle target, if they are what it is to help with.
  places: Vec<(u64, u32)>,
}

impl Helper {
  /// Returns how many of its places are free, as far as it has reported its requests.
  fn free_places(&self, load_table: &LoadTable) -> u32 {
    let free = |(target, places): &(u64, u32)| {
      places.saturating_sub(load_table.peer_load(self.peer, *target).requests)
    };
    self.places.iter().map(free).sum()
  }
}

/// Hosts that were chosen to help, when, and why.
#[derive(Debug)]
struct Selection {
  at: Instant,
  cause: Cause,
  hosts: Vec<Helper>,
}

/// The hosts to which requests are passed on, by service.
#[derive(Debug, Default)]
pub struct Helpers {
  by_service: HashMap<String, Selection>,
}

impl State {
  /// Chooses a host that can help with a service as far as is known, in proportion to its capacity or, if
  /// places are taken, to its free ones.
  fn choose_helper(
    &mut self,
    service: &str,
    cause: Cause,
    is_eligible: impl Fn(&Helper) -> bool,
    load_table: &LoadTable,
    now: Instant,
    since_boot: Duration,
  ) -> Option<SocketAddr> {
    let is_recent = |at: Instant| now.saturating_duration_since(at) < HELPERS_LIFETIME;
    self.helpers.by_service.retain(|_, selection| is_recent(selection.at));
    let selection = self.helpers.by_service.get(service);
    if selection.is_none_or(|selection| selection.cause != cause) {
      let selection = Selection {
        at: now,
        cause,
        hosts: self.select_helpers(service, cause, now, since_boot),
      };
      self.helpers.by_service.insert(service.to_owned(), selection);
    }
    // Hosts may have lost their links since they were chosen.
    let hash = ingress::hash(service);
    let cut: HashSet<SocketAddr> = self
      .members
      .live(since_boot)
      .filter(|(_, member)| member.unreachable_services.contains(&hash))
      .map(|(_, member)| member.callers)
      .collect();
    let helpers = &self.helpers.by_service[service].hosts;
    let is_suitable = |helper: &&Helper| is_eligible(helper) && !cut.contains(&helper.address);
    let suitable: Vec<&Helper> = helpers.iter().filter(is_suitable).collect();
    let weight = |helper: &&Helper| match cause {
      Cause::PlacesTaken => helper.free_places(load_table),
      Cause::LinksInDoubt | Cause::NoPlace => 1,
    };
    let chosen = suitable.choose_weighted(&mut rand::rng(), weight);
    chosen.ok().map(|helper| helper.address)
  }

  fn select_helpers(
    &self,
    service: &str,
    cause: Cause,
    now: Instant,
    since_boot: Duration,
  ) -> Vec<Helper> {
    let hash = ingress::hash(service);
    let with_places: Option<HashSet<SocketAddr>> = (cause != Cause::LinksInDoubt).then(|| {
      let targets = self.roster.accepting(service);
      let owners = targets.map(|(key, target)| {
        let holders = self.place_holders(service, key, target, now);
        self.members.first(target.fingerprint, holders)
      });
      owners.flatten().collect()
    });
    let reaching = self.members.live(since_boot).filter(|(address, member)| {
      member.phase == Phase::Ready
        && !member.unreachable_services.contains(&hash)
        && with_places.as_ref().is_none_or(|hosts| hosts.contains(address))
    });
    let reaching: Vec<(SocketAddr, &Member)> = reaching.collect();
    let hosts = reaching.iter().map(|(_, member)| (member.callers, member.weight)).collect();
    let sample = directory::sample(hosts, HELPERS, || rand::random_range(0.0..1.0));
    let chosen = reaching.into_iter().filter(|(_, member)| sample.contains(&member.callers));
    let helper = |(peer, member): (SocketAddr, &Member)| Helper {
      address: member.callers,
      knows_handovers: member.can_assist,
      peer,
      places: if cause == Cause::PlacesTaken {
        self.places_of(peer, service, now, since_boot)
      } else {
        Vec::new()
      },
    };
    chosen.map(helper).collect()
  }

  /// Passes nothing on to a host for some time.
  fn drop_helper(&mut self, host: SocketAddr) {
    for selection in self.helpers.by_service.values_mut() {
      selection.hosts.retain(|helper| helper.address != host);
    }
  }
}

impl Gateway {
  /// Returns whether a host can be told more of a request than its build may read.
  fn passes_over_further_values(&self, host: SocketAddr) -> bool {
    let state = self.lock();
    let mut members = state.members.live(self.clock.since_boot());
    members.any(|(_, member)| member.callers == host && member.passes_over_further_values)
  }
}

impl Call {
  /// Returns whether a target may run the request although another one may have run it.
  pub fn is_repeatable(&self) -> bool {
    matches!(
      self.route().kind,
      Kind::Idempotent | Kind::Stream { resumable: true }
    )
  }

  /// Returns the host to which the request is better passed on; `None` if this host is to send it to a
  /// target itself.
  pub fn helper(&self, history: &History, tried_hosts: &[SocketAddr]) -> Option<SocketAddr> {
    let may_run = history.possible_runs == 0
      || (history.repeatable && history.possible_runs < history.max_runs);
    if self.metadata.forwarded.is_some() || !may_run || tried_hosts.len() >= MAX_HANDOVERS {
      return None;
    }
    // A stream would take up two hosts for as long as it lasts.
    let may_leave = history.attempts == 0 && !matches!(self.route().kind, Kind::Stream { .. });
    let now = self.gateway.clock.now();
    let since_boot = self.gateway.clock.since_boot();
    let mut state = self.gateway.lock();
    let service = self.service_name.as_str();
    let cause = if state.links.status(service).is_doubtful() {
      Cause::LinksInDoubt
    } else if state.lacks_places(service, now, since_boot) {
      Cause::NoPlace
    } else if may_leave
      && state.is_brittle(service)
      && state.are_places_taken(service, &self.gateway.scheduler.lock(), now, since_boot)
    {
      Cause::PlacesTaken
    } else {
      return None;
    };
    let is_untouched =
      history.possible_runs == 0 && !self.counted_elsewhere.load(Ordering::Relaxed);
    // To a host of an older build a request has to be like that of a caller.
    let is_eligible = |helper: &Helper| {
      (is_untouched || helper.knows_handovers) && !tried_hosts.contains(&helper.address)
    };
    let load_table = self.gateway.scheduler.lock();
    state.choose_helper(service, cause, is_eligible, &load_table, now, since_boot)
  }

  /// Passes the request on to another host and waits for the head of its response. `last_event_id` is
  /// that of the last event that the caller got from this host, if any, and `unstopped_at` names the targets
  /// that may still run it.
  ///
  /// # Errors
  ///
  /// Fails when there is no response, or when the other host did not run the request.
  pub async fn hand_over(
    &self,
    host: SocketAddr,
    history: &History,
    last_event_id: Option<u64>,
    unstopped_at: &[u64],
  ) -> Result<Response<Incoming>, Failure> {
    let unstopped_at = if self.gateway.passes_over_further_values(host) {
      unstopped_at
    } else {
      &[]
    };
    let request = self.build_handover(history, last_event_id, unstopped_at);
    let call = upstream::Call::new(host, CONNECT_TIMEOUT, request)
      .with_max_body_bytes(self.max_response_bytes())
      .on_dedicated_connection();
    let response = self.gateway.pool.send(call);
    let timeout = self.time_left() + ANSWER_MARGIN;
    self.may_have_run.store(true, Ordering::Relaxed);
    let result = match time::timeout(timeout, response).await {
      Ok(Ok(response)) => self.classify(host, response),
      Ok(Err(Error::Denied(_) | Error::NotSent { .. })) => Err(Outcome::NotSent.into()),
      Ok(Err(Error::Sent(_))) | Err(_) => Err(Outcome::Lost.into()),
    };
    let outcome = match &result {
      Ok(_) => "answered",
      Err(failure) => failure.outcome.name(),
    };
    let mut state = self.gateway.lock();
    if result.is_err() {
      state.drop_helper(host);
    }
    let is_received = match &result {
      Ok(_) => true,
      Err(failure) => failure.outcome != Outcome::NotSent || failure.response.is_some(),
    };
    if is_received && !self.counted_elsewhere.swap(true, Ordering::Relaxed) {
      // The other host counts the request.
      state.retry_budget.withdraw_request(&self.service_name);
    }
    drop(state);
    self.gateway.instruments.handovers.with_label_values(&[outcome]).inc();
    log::info!(
      target: PREFIX, id = self.id(), host:% = host, outcome, runs = history.possible_runs,
      elapsed_ms = self.elapsed().as_millis() as u64, resumed = last_event_id.is_some(), unstopped = unstopped_at.len();
      "Passed a request on to another host."
    );
    result
  }

  /// Distinguishes responses of targets and final ones of the other host from its promises that the
  /// request has not run.
  fn classify(
    &self,
    host: SocketAddr,
    response: Response<Incoming>,
  ) -> Result<Response<Incoming>, Failure> {
    let metadata = (self.gateway.dialect.read_response)(response.status(), response.headers());
    let request_id = self.metadata.request_id.as_deref();
    let is_leaving = {
      let state = self.gateway.lock();
      let mut members = state.members.live(self.gateway.clock.since_boot());
      members.any(|(_, member)| member.callers == host && member.phase == Phase::Leaving)
    };
    match Verdict::of_host(response.status(), &metadata, request_id, is_leaving) {
      // Hosts send a length or chunks, by which a response that breaks off is told from a whole one.
      Verdict::Answered if Framing::of_response(&response) == Framing::Close => {
        Err(Outcome::Lost.into())
      }
      Verdict::Answered => Ok(response),
      Verdict::NotRun => Err(Failure {
        // A host that has lost its links as well offers the request to no target, and asks for no pause.
        outcome: if metadata.retry_after == Some(Duration::ZERO) {
          Outcome::NotSent
        } else {
          Outcome::NotRun
        },
        response: Some(Box::new(response)),
      }),
      Verdict::Failed | Verdict::Invalid(_) => Err(Outcome::Lost.into()),
    }
  }

  fn build_handover(
    &self,
    history: &History,
    last_event_id: Option<u64>,
    unstopped_at: &[u64],
  ) -> Request<Body> {
    let mut request = Request::new(http::full(self.body.bytes.clone()));
    *request.method_mut() = self.method.clone();
    *request.uri_mut() =
      self.uri.path_and_query().map_or_else(Uri::default, |path| Uri::from(path.clone()));
    let mut headers: HeaderMap = self.headers.clone();
    plain::strip_hop_by_hop(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let metadata = HandoverMetadata {
      forwarded: Forwarded {
        is_counted: self.counted_elsewhere.load(Ordering::Relaxed),
        possible_runs: history.possible_runs,
        since_first_attempt: self.since_first_attempt + self.elapsed(),
      },
      resume: last_event_id.map(|last_event_id| {
        let first_request = self.metadata.resumes.as_deref().filter(|_| self.continues_stream());
        (last_event_id, first_request.unwrap_or(self.id()))
      }),
      timeout: self.time_left(),
      unstopped_at,
    };
    (self.gateway.dialect.write_handover)(&mut headers, &metadata);
    *request.headers_mut() = headers;
    request
  }
}

/// Returns the response of another host for the caller; it breaks off if the other host does, at the
/// deadline of the request and when this process ends.
pub fn relay(call: &Call, response: Response<Incoming>) -> Response<Body> {
  let (mut head, body) = response.into_parts();
  plain::strip_response(&mut head.headers);
  let deadline = time::sleep_until(call.deadline.into());
  let closing = call.gateway.closing.clone().cancelled_owned();
  let id = call.id().to_owned();
  let interruption = async move {
    let reason = tokio::select! {
      () = deadline => Reason::DeadlinePassed,
      () = closing => Reason::HostLeaving,
    };
    log::info!(target: PREFIX, id, reason = reason.name(); "Broke off the response of another host.");
    Refusal::failed(reason)
  };
  Response::from_parts(head, http::interruptible(body, interruption))
}
