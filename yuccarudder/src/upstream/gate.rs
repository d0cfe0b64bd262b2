use {
  super::Permit,
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
  permit: Option<Permit>,
  touched: bool,
}

/// Guards the first write of each request on one connection.
#[derive(Clone, Default)]
pub struct Gate {
  state: Arc<Mutex<State>>,
}

impl Gate {
  /// Arms the gate for the next request.
  pub fn arm(&self, permit: Permit) {
    *self.lock() = State {
      denied: None,
      permit: Some(permit),
      touched: false,
    };
  }

  /// Takes the refusal of a denied permit.
  pub fn denied(&self) -> Option<Refusal> {
    self.lock().denied.take()
  }

  fn lock(&self) -> std::sync::MutexGuard<'_, State> {
    self.state.lock().unwrap_or_else(PoisonError::into_inner)
  }

  fn pass(&self) -> io::Result<()> {
    let mut state = self.lock();
    if state.denied.is_some() {
      return Err(io::ErrorKind::PermissionDenied.into());
    }
    let Some(permit) = state.permit.take() else {
      return Ok(());
    };
    match permit() {
      Ok(()) => {
        state.touched = true;
        Ok(())
      }
      Err(refusal) => {
        state.denied = Some(refusal);
        Err(io::ErrorKind::PermissionDenied.into())
      }
    }
  }

  /// Returns whether a byte of the request may have left.
  pub fn touched(&self) -> bool {
    self.lock().touched
  }
}

/// A stream whose writes pass a gate.
pub struct Gated<S> {
  gate: Gate,
  stream: S,
}

impl<S> Gated<S> {
  /// Puts `gate` before the writes of `stream`.
  pub fn new(stream: S, gate: Gate) -> Self {
    Self { gate, stream }
  }
}

impl<S: AsyncRead + Unpin> AsyncRead for Gated<S> {
  fn poll_read(
    mut self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
  ) -> Poll<io::Result<()>> {
    Pin::new(&mut self.stream).poll_read(cx, buffer)
  }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Gated<S> {
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
    self.gate.pass()?;
    Pin::new(&mut self.stream).poll_write(cx, bytes)
  }

  fn poll_write_vectored(
    mut self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    bytes: &[io::IoSlice<'_>],
  ) -> Poll<io::Result<usize>> {
    self.gate.pass()?;
    Pin::new(&mut self.stream).poll_write_vectored(cx, bytes)
  }
}
