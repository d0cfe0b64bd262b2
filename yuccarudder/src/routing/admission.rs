use {
  super::{AccountKey, Catalog, RouteKey},
  crate::refusal::{Reason, Refusal},
  std::time::Duration,
};

/// Time for the catalog to be confirmed again.
const CONFIRM_RETRY: Duration = Duration::from_millis(500);

/// How old the catalog may be for a decision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgeLimits {
  /// Beyond it, a route or credential that is not listed may just have been added.
  pub denial: Duration,
  /// Beyond it, a credential that is listed may have been revoked too long ago.
  pub revocation: Duration,
}

/// What decides whether a request is let in.
#[derive(Clone, Copy, Debug)]
pub struct Attributes<'a> {
  /// Age of the catalog, if it ever was confirmed.
  pub age: Option<Duration>,
  /// The authority that the request is for.
  pub authority: &'a str,
  /// The credential that the caller presents.
  pub credential: Option<&'a str>,
  /// The path, without its query.
  pub path: &'a str,
}

/// A request that was let in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Admission {
  /// The account, if the route needs one.
  pub account: Option<AccountKey>,
  /// The route.
  pub route: RouteKey,
}

/// Decides whether a request is let in.
///
/// # Errors
///
/// Refuses what the catalog does not allow, and what a catalog of this age cannot decide.
pub fn admit(
  catalog: &Catalog,
  arrival: &Attributes<'_>,
  bounds: &AgeLimits,
) -> Result<Admission, Refusal> {
  let within = |bound: Duration| arrival.age.is_some_and(|age| age < bound);
  let deny = |reason: Reason| {
    if within(bounds.denial) {
      Refusal::not_run(reason)
    } else {
      stale()
    }
  };
  let route = catalog.route(arrival.authority, arrival.path);
  let route = route.ok_or_else(|| deny(Reason::NotFound))?;
  if catalog.routes[route].public || !catalog.needs_credentials {
    let account = arrival.credential.and_then(|credential| catalog.account(credential));
    return Ok(Admission { account, route });
  }
  if !within(bounds.revocation) {
    return Err(stale());
  }
  let account = arrival.credential.and_then(|credential| catalog.account(credential));
  let account = account.ok_or_else(|| deny(Reason::Unauthorized))?;
  Ok(Admission {
    account: Some(account),
    route,
  })
}

fn stale() -> Refusal {
  Refusal::not_run(Reason::CutOff).with_retry_after(CONFIRM_RETRY)
}
