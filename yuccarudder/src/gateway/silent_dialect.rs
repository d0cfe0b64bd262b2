use {
  crate::{dialect::Dialect, relocation},
  std::sync::Arc,
};

/// Returns a dialect for tests of hosts that serve no callers: no target answers, and nothing is read or written.
pub(super) fn dialect() -> Dialect {
  Dialect {
    identify: Arc::new(|_, _, _| Box::pin(async { None })),
    inspect: Arc::new(|_| Box::pin(async { None })),
    ping: Arc::new(|_, _| Box::pin(async { false })),
    read_catalog: |_| anyhow::bail!("there is none"),
    read_request: |_| Default::default(),
    read_response: |_, _| Default::default(),
    release: Arc::new(|_, _| Box::pin(async {})),
    copy: Arc::new(|_| Box::pin(async { Err(relocation::Failure::Busy) })),
    write_handover: |_, _| {},
    write_request: |_, _| {},
  }
}
