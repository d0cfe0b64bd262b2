use {
  super::{Gateway, call::Call, gateway::State, ingress},
  crate::{routing::Catalog, share::Message},
  std::{cmp::Reverse, net::SocketAddr},
};

/// Number of client accounts that have metrics of their own.
const MAX_METERED_ACCOUNTS: usize = 16;
/// The label of the metrics of all other accounts.
const OTHER: &str = "other";

impl Gateway {
  /// Returns what the next heartbeat tells of the uses of client accounts.
  pub(super) fn tell_account_uses(&self, state: &mut State) -> Vec<Message> {
    if !state.settings.placement.account_shares {
      return Vec::new();
    }
    state.shares.set_local(self.scheduler.lock().account_tokens());
    state.shares.take_news()
  }

  /// Sets the gauges of the tokens in use by the accounts that use most.
  pub(super) fn update_account_gauges(&self) {
    let gauge = &self.instruments.account_tokens;
    gauge.reset();
    let state = self.lock();
    let Some(catalog) = state.catalog.as_deref() else {
      return;
    };
    for (index, (name, tokens)) in largest_accounts(&state, catalog).into_iter().enumerate() {
      let label = if index < MAX_METERED_ACCOUNTS {
        name
      } else {
        OTHER
      };
      gauge.with_label_values(&[label]).add(i64::try_from(tokens).unwrap_or(i64::MAX));
    }
  }

  /// Counts a refusal of a request of a client account. Accounts get counters of their own while there are few.
  pub(super) fn count_account_refusal(&self, account: Option<&str>) {
    let Some(account) = account else {
      return;
    };
    let mut state = self.lock();
    if !state.settings.placement.account_shares {
      return;
    }
    let labels = &mut state.metered_accounts;
    if !labels.contains(account) && labels.len() < MAX_METERED_ACCOUNTS {
      labels.insert(account.to_owned());
    }
    let label = if labels.contains(account) {
      account
    } else {
      OTHER
    };
    self.instruments.account_refusals.with_label_values(&[label]).inc();
  }
}

/// Returns the accounts that use KV cache, with what they use, the largest first.
fn largest_accounts<'a>(state: &State, catalog: &'a Catalog) -> Vec<(&'a str, u64)> {
  let names = catalog.accounts.values().map(|account| account.name.as_str());
  let uses = names.map(|name| (name, state.shares.used(ingress::hash(name))));
  let mut uses: Vec<(&str, u64)> = uses.filter(|(_, tokens)| *tokens > 0).collect();
  uses.sort_unstable_by_key(|(name, tokens)| (Reverse(*tokens), *name));
  uses
}

impl State {
  /// Merges the uses of client accounts that another host told.
  pub(super) fn merge_account_uses(&mut self, host: SocketAddr, messages: &[Message]) {
    if self.settings.placement.account_shares {
      self.shares.merge(host, messages);
    }
  }
}

impl Call {
  /// Returns the hash of the name of the client account, if the request has one.
  pub(super) fn account_hash(&self) -> Option<u64> {
    self.account_name().map(ingress::hash)
  }

  /// Returns whether the client account uses more than its share of the memory of the service.
  pub(super) fn is_over_share(&self) -> bool {
    let engine = self.service().and_then(|service| service.engine.as_ref());
    let Some((account, engine)) = self.account_hash().zip(engine) else {
      return false;
    };
    let state = self.gateway.lock();
    if !state.settings.placement.account_shares {
      return false;
    }
    let engines = state.roster.accepting(&self.service_name).count() as u64;
    state.shares.is_over_share(account, engine.kv_cache_tokens.saturating_mul(engines))
  }
}
