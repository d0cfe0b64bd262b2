use {
  super::SendCheck,
  crate::refusal::Refusal,
  std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll},
  },
  tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

#[derive(Default)]
struct State {
  denied: Option<Refusal>,
  send_check: Option<SendCheck>,
  may_have_sent: bool,
}

/// Guards the first write of each request on one connection.
#[derive(Clone, Default)]
pub struct SendGuard {
  state: Arc<Mutex<State>>,
}

impl SendGuard {
  /// Arms the send_guard for the next request.
  pub fn arm(&self, send_check: SendCheck) {
    *self.lock() = State {
      denied: None,
      send_check: Some(send_check),
      may_have_sent: false,
    };
  }

  /// Takes the refusal of a denied send_check.
  pub fn take_refusal(&self) -> Option<Refusal> {
    self.lock().denied.take()
  }

  fn lock(&self) -> std::sync::MutexGuard<'_, State> {
    self.state.lock().unwrap_or_else(PoisonError::into_inner)
  }

  fn check(&self) -> io::Result<()> {
    let mut state = self.lock();
    if state.denied.is_some() {
      return Err(io::ErrorKind::PermissionDenied.into());
    }
    let Some(send_check) = state.send_check.take() else {
      return Ok(());
    };
    match send_check() {
      Ok(()) => {
        state.may_have_sent = true;
        Ok(())
      }
      Err(refusal) => {
        state.denied = Some(refusal);
        Err(io::ErrorKind::PermissionDenied.into())
      }
    }
  }

  /// Returns whether a byte of the request may have left.
  pub fn may_have_sent(&self) -> bool {
    self.lock().may_have_sent
  }
}

/// A stream whose writes pass a send_guard.
pub struct GuardedStream<S> {
  send_guard: SendGuard,
  stream: S,
}

impl<S> GuardedStream<S> {
  /// Puts `send_guard` before the writes of `stream`.
  pub fn new(stream: S, send_guard: SendGuard) -> Self {
    Self { send_guard, stream }
  }
}

impl<S: AsyncRead + Unpin> AsyncRead for GuardedStream<S> {
  fn poll_read(
    mut self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
  ) -> Poll<io::Result<()>> {
    Pin::new(&mut self.stream).poll_read(cx, buffer)
  }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for GuardedStream<S> {
  fn is_write_vectored(&self) -> bool {
    self.stream.is_write_vectored()
  }

  fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
    Pin::new(&mut self.stream).poll_flush(cx)
  }

  fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
    Pin::new(&mut self.stream).poll_shutdown(cx)
  }

  fn poll_write(
    mut self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    bytes: &[u8],
  ) -> Poll<io::Result<usize>> {
    self.send_guard.check()?;
    Pin::new(&mut self.stream).poll_write(cx, bytes)
  }

  fn poll_write_vectored(
    mut self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    bytes: &[io::IoSlice<'_>],
  ) -> Poll<io::Result<usize>> {
    self.send_guard.check()?;
    Pin::new(&mut self.stream).poll_write_vectored(cx, bytes)
  }
}
