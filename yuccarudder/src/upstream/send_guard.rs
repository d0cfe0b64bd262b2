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
const MAX_BYTES_BEFORE_HEAD: u64 = 1 << 20;
/// Bytes that may arrive for one byte of a body, and more: a chunk of one byte takes up six.
const BYTES_PER_BODY_BYTE: u64 = 8;
/// Most bytes of framing for the bytes of a body.
const MAX_FRAMING_BYTES: u64 = 8 << 20;
/// Bytes that may arrive beyond those of a body: trailers, and what the client reads ahead.
const EXTRA_BODY_BYTES: u64 = 1 << 20;

#[derive(Default)]
struct State {
  /// Bytes that may still arrive in the current part of the response: until its head is there, and then in its
  /// body; `None` if there is no bound.
  allowance: Option<u64>,
  /// The same for the body until the head is there.
  body_allowance: Option<u64>,
  refusal: Option<Refusal>,
  send_check: Option<SendCheck>,
  may_have_sent: bool,
}

/// A guard that runs the check of each request on one connection before its first write, and bounds
/// the bytes of its response.
#[derive(Clone, Default)]
pub struct SendGuard {
  state: Arc<Mutex<State>>,
}

impl SendGuard {
  /// Sets the check for the next request, and the most bytes that the body of its response may have.
  pub fn arm(&self, send_check: SendCheck, max_body_bytes: Option<u64>) {
    *self.lock() = State {
      allowance: Some(MAX_BYTES_BEFORE_HEAD),
      body_allowance: max_body_bytes.map(max_bytes_with_framing),
      refusal: None,
      send_check: Some(send_check),
      may_have_sent: false,
    };
  }

  /// Records that the head of the response has arrived.
  pub fn record_head(&self) {
    let mut state = self.lock();
    state.allowance = state.body_allowance;
  }

  /// Records that bytes have arrived; fails when there are too many for a head or a body.
  fn record_read(&self, count: usize) -> io::Result<()> {
    let mut state = self.lock();
    let Some(allowance) = state.allowance else {
      return Ok(());
    };
    let Some(left) = allowance.checked_sub(count as u64) else {
      return Err(io::Error::new(
        io::ErrorKind::InvalidData,
        "too many bytes for the head or the body of a response",
      ));
    };
    state.allowance = Some(left);
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

/// Returns how many bytes may arrive for a body of up to `body_bytes`, however it is framed.
fn max_bytes_with_framing(body_bytes: u64) -> u64 {
  let framing = body_bytes.saturating_mul(BYTES_PER_BODY_BYTE - 1).min(MAX_FRAMING_BYTES);
  body_bytes.saturating_add(framing).saturating_add(EXTRA_BODY_BYTES)
}

/// A stream that writes only what its guard permits, and fails if a response has no end.
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
