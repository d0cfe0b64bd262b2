use {
  super::{occupancy::Occupancy, unmarked::Unmarked},
  futures::FutureExt,
  socket2::SockRef,
  std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
    time::Duration,
  },
  tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
    time::{self, Sleep},
  },
};

/// Bytes of one read, fewer than the server's read buffer has room for, so that it grows only while it holds
/// a part of a head.
const READ_BYTES: usize = (8 << 10) - 1;
/// Time between two checks whether a caller has left that sent bytes which are not read yet.
const DEPARTURE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The socket of a connection, shared with what watches whether the caller has left.
type SharedStream = Arc<Mutex<TcpStream>>;

/// The connection of a caller, which is reset unless a response that ends with it is whole.
///
/// The kernel resets it as well if this process is killed.
#[derive(Debug)]
pub struct Connection {
  is_reset_on_close: bool,
  occupancy: Option<Arc<Occupancy>>,
  stream: SharedStream,
  unmarked: Unmarked,
}

impl Connection {
  /// Wraps the connection on which `unmarked` says whether such a response is under way.
  pub fn new(stream: TcpStream, unmarked: Unmarked) -> Self {
    Self {
      is_reset_on_close: false,
      occupancy: None,
      stream: Arc::new(Mutex::new(stream)),
      unmarked,
    }
  }

  /// Records what is read and written, which may need more memory.
  #[must_use]
  pub fn with_occupancy(mut self, occupancy: Arc<Occupancy>) -> Self {
    self.occupancy = Some(occupancy);
    self
  }

  /// Returns what watches whether the caller has left.
  pub fn departure(&self) -> Departure {
    Departure {
      recheck: None,
      stream: Arc::clone(&self.stream),
    }
  }

  fn stream(&self) -> MutexGuard<'_, TcpStream> {
    self.stream.lock().unwrap_or_else(PoisonError::into_inner)
  }

  fn record_write(&self) {
    if let Some(occupancy) = &self.occupancy {
      occupancy.record_write();
    }
  }

  /// Tells the kernel whether to reset the connection if it is closed.
  fn set_reset_on_close(&mut self, is_reset_on_close: bool) -> io::Result<()> {
    if self.is_reset_on_close != is_reset_on_close {
      let linger = is_reset_on_close.then_some(Duration::ZERO);
      SockRef::from(&*self.stream()).set_linger(linger)?;
      self.is_reset_on_close = is_reset_on_close;
    }
    Ok(())
  }

  /// Has the connection reset if a response is under way. One whose body has ended may still have bytes to
  /// write.
  fn begin_write(&mut self) -> io::Result<()> {
    if self.unmarked.is_under_way() {
      self.set_reset_on_close(true)?;
    }
    Ok(())
  }
}

impl AsyncRead for Connection {
  fn poll_read(
    self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
  ) -> Poll<io::Result<()>> {
    // Read elsewhere first: only what arrived makes pages of the read buffer resident.
    let mut bytes = [0; READ_BYTES];
    let length = READ_BYTES.min(buffer.remaining());
    let mut part = ReadBuf::new(&mut bytes[..length]);
    ready!(Pin::new(&mut *self.stream()).poll_read(cx, &mut part))?;
    buffer.put_slice(part.filled());
    let length = part.filled().len();
    let recorded = self.occupancy.as_ref().map(|occupancy| occupancy.record_read(length as u64));
    Poll::Ready(recorded.transpose().map(drop).map_err(io::Error::other))
  }
}

impl AsyncWrite for Connection {
  fn poll_write(
    mut self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    bytes: &[u8],
  ) -> Poll<io::Result<usize>> {
    self.begin_write()?;
    let result = ready!(Pin::new(&mut *self.stream()).poll_write(cx, bytes));
    self.record_write();
    Poll::Ready(result)
  }

  fn poll_write_vectored(
    mut self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    slices: &[IoSlice<'_>],
  ) -> Poll<io::Result<usize>> {
    self.begin_write()?;
    let result = ready!(Pin::new(&mut *self.stream()).poll_write_vectored(cx, slices));
    self.record_write();
    Poll::Ready(result)
  }

  fn is_write_vectored(&self) -> bool {
    self.stream().is_write_vectored()
  }

  fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
    Pin::new(&mut *self.stream()).poll_flush(cx)
  }

  fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
    // Shut down once all is written.
    let is_under_way = self.unmarked.is_under_way();
    self.set_reset_on_close(is_under_way)?;
    if self.is_reset_on_close {
      return Poll::Ready(Ok(()));
    }
    Pin::new(&mut *self.stream()).poll_shutdown(cx)
  }
}

/// Watches whether a caller has left while its request is in progress.
///
/// The server notices that by reading, which it does not while it holds bytes that follow the request.
#[derive(Debug)]
pub struct Departure {
  recheck: Option<Pin<Box<Sleep>>>,
  stream: SharedStream,
}

impl Departure {
  /// Resolves once the caller has closed its connection. It is polled after the server and in the same task, as a
  /// socket wakes only the last task that waits to read from it.
  pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
    loop {
      if let Some(recheck) = &mut self.recheck {
        ready!(recheck.as_mut().poll(cx));
        self.recheck = None;
      }
      let stream = self.stream.lock().unwrap_or_else(PoisonError::into_inner);
      if ready!(stream.poll_read_ready(cx)).is_err() {
        return Poll::Ready(());
      }
      let readiness = stream.ready(Interest::READABLE).now_or_never();
      if readiness.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed())) {
        return Poll::Ready(());
      }
      drop(stream);
      self.recheck = Some(Box::pin(time::sleep(DEPARTURE_CHECK_INTERVAL)));
    }
  }
}
