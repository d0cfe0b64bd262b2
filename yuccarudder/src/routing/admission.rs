use {
  super::{AccountKey, Catalog, RouteKey},
  crate::refusal::{Reason, Refusal},
  std::time::Duration,
};

/// Retry-after time while the catalog is too old; by then it is usually confirmed again.
const STALE_CATALOG_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Maximum ages of the catalog for admission decisions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgeLimits {
  /// From this age on, an unknown route or credential may have been added in the meantime, so
  /// requests for it are not rejected for good.
  pub denial: Duration,
  /// From this age on, a known credential may have been revoked longer ago than is allowed, so
  /// it is no longer accepted.
  pub revocation: Duration,
}

/// The attributes of a request that decide on its admission.
#[derive(Clone, Copy, Debug)]
pub struct Attributes<'a> {
  /// Time since the catalog was last confirmed to be current; `None` if it never was.
  pub age: Option<Duration>,
  /// The requested authority (host name and optional port).
  pub authority: &'a str,
  /// The credential in the request.
  pub credential: Option<&'a str>,
  /// The request path without the query string.
  pub path: &'a str,
}

/// The account and route of an admitted request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Admission {
  /// The authenticated account; may be `None` on routes that need no credential.
  pub account: Option<AccountKey>,
  /// The matching route.
  pub route: RouteKey,
}

/// Admits or rejects a request.
///
/// # Errors
///
/// Refuses requests that the catalog does not allow, and requests that a catalog of this age
/// cannot decide on.
pub fn admit(
  catalog: &Catalog,
  attributes: &Attributes<'_>,
  limits: &AgeLimits,
) -> Result<Admission, Refusal> {
  let is_younger_than = |limit: Duration| attributes.age.is_some_and(|age| age < limit);
  let deny = |reason: Reason| {
    if is_younger_than(limits.denial) {
      Refusal::not_run(reason)
    } else {
      stale_catalog()
    }
  };
  let route = catalog.match_route(attributes.authority, attributes.path);
  let route = route.ok_or_else(|| deny(Reason::NotFound))?;
  if catalog.routes[route].public || !catalog.requires_credentials {
    let account = attributes.credential.and_then(|credential| catalog.find_account(credential));
    return Ok(Admission { account, route });
  }
  if !is_younger_than(limits.revocation) {
    return Err(stale_catalog());
  }
  let account = attributes.credential.and_then(|credential| catalog.find_account(credential));
  let account = account.ok_or_else(|| deny(Reason::Unauthorized))?;
  Ok(Admission {
    account: Some(account),
    route,
  })
}

fn stale_catalog() -> Refusal {
  Refusal::not_run(Reason::CutOff).with_retry_after(STALE_CATALOG_RETRY_AFTER)
}
