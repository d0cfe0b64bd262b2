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
  refusal: Option<Refusal>,
  send_check: Option<SendCheck>,
  may_have_sent: bool,
}

/// A guard that runs the check of each request on one connection before its first write.
#[derive(Clone, Default)]
pub struct SendGuard {
  state: Arc<Mutex<State>>,
}

impl SendGuard {
  /// Sets the check for the next request.
  pub fn arm(&self, send_check: SendCheck) {
    *self.lock() = State {
      refusal: None,
      send_check: Some(send_check),
      may_have_sent: false,
    };
  }

  /// Takes the refusal of the check, if it refused the request.
  pub fn take_refusal(&self) -> Option<Refusal> {
    self.lock().refusal.take()
  }

  fn lock(&self) -> std::sync::MutexGuard<'_, State> {
    self.state.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Runs the pending check, if any; fails when it or an earlier one refused the request.
  fn check_write(&self) -> io::Result<()> {
    let mut state = self.lock();
    if state.refusal.is_some() {
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
        state.refusal = Some(refusal);
        Err(io::ErrorKind::PermissionDenied.into())
      }
    }
  }

  /// Returns whether a byte of the request may have been written.
  pub fn may_have_sent(&self) -> bool {
    self.lock().may_have_sent
  }
}

/// A stream that writes only what its guard permits.
pub struct GuardedStream<S> {
  send_guard: SendGuard,
  stream: S,
}

impl<S> GuardedStream<S> {
  /// Wraps `stream` so that `send_guard` is consulted before each write.
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
    self.send_guard.check_write()?;
    Pin::new(&mut self.stream).poll_write(cx, bytes)
  }

  fn poll_write_vectored(
    mut self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    bytes: &[io::IoSlice<'_>],
  ) -> Poll<io::Result<usize>> {
    self.send_guard.check_write()?;
    Pin::new(&mut self.stream).poll_write_vectored(cx, bytes)
  }
}
