use {
  super::SendCheck,
  crate::refusal::Refusal,
  std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll, ready},
  },
  tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// Most bytes that may arrive before the head of a response, or before what follows it is read: far
/// more than interim responses, a head and the buffer of the client take.
const MAX_BYTES_BEFORE_HEAD: usize = 1 << 20;

#[derive(Default)]
struct State {
  /// Bytes that may still arrive before the head of the response; `None` once it is there.
  head_allowance: Option<usize>,
  refusal: Option<Refusal>,
  send_check: Option<SendCheck>,
  may_have_sent: bool,
}

/// A guard that runs the check of each request on one connection before its first write, and bounds
/// the bytes before the head of its response.
#[derive(Clone, Default)]
pub struct SendGuard {
  state: Arc<Mutex<State>>,
}

impl SendGuard {
  /// Sets the check for the next request.
  pub fn arm(&self, send_check: SendCheck) {
    *self.lock() = State {
      head_allowance: Some(MAX_BYTES_BEFORE_HEAD),
      refusal: None,
      send_check: Some(send_check),
      may_have_sent: false,
    };
  }

  /// Records that the head of the response has arrived.
  pub fn record_head(&self) {
    self.lock().head_allowance = None;
  }

  /// Records that bytes have arrived; fails when there are too many without a head.
  fn record_read(&self, count: usize) -> io::Result<()> {
    let mut state = self.lock();
    let Some(allowance) = state.head_allowance else {
      return Ok(());
    };
    let Some(left) = allowance.checked_sub(count) else {
      return Err(io::Error::new(
        io::ErrorKind::InvalidData,
        "too many bytes without the head of a response",
      ));
    };
    state.head_allowance = Some(left);
    Ok(())
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

/// A stream that writes only what its guard permits, and ends if a response has no end of its head.
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
    let filled = buffer.filled().len();
    ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
    Poll::Ready(self.send_guard.record_read(buffer.filled().len() - filled))
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
