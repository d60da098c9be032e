//! Bounded queue between the threads that log and the thread that writes the lines.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::log;

const QUEUE_CAPACITY_LINES: usize = 8_192;
const SPACE_POLL_INTERVAL: Duration = Duration::from_millis(1);
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

enum Message {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Writer whose `write` never blocks on the stream. If the queue is full, the
/// line is dropped. The number of dropped lines is written as soon as the stream
/// accepts lines again.
pub(crate) struct Queue {
    sender: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

impl Queue {
    pub(crate) fn new(stream: impl Write + Send + 'static) -> io::Result<Self> {
        let (sender, receiver) = sync_channel(QUEUE_CAPACITY_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer = Writer {
            receiver,
            stream,
            dropped: Arc::clone(&dropped),
        };
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.run())?;
        Ok(Self { sender, dropped })
    }
}

impl Queue {
    /// Waits for space in the queue, for at most [`FLUSH_TIMEOUT`].
    fn send_with_timeout(&self, mut message: Message) -> io::Result<()> {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while Instant::now() < deadline {
            match self.sender.try_send(message) {
                Ok(()) => return Ok(()),
                Err(TrySendError::Full(returned)) => message = returned,
                Err(TrySendError::Disconnected(_)) => break,
            }
            thread::sleep(SPACE_POLL_INTERVAL);
        }
        Err(io::Error::other(
            "the log queue is full, or its thread has ended",
        ))
    }
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.sender.try_send(Message::Line(line.to_vec())).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    /// Waits until earlier lines are written: at most [`FLUSH_TIMEOUT`] for space in the queue,
    /// and as long again for the writing.
    fn flush(&mut self) -> io::Result<()> {
        let (done, wait) = sync_channel(1);
        self.send_with_timeout(Message::Flush(done))?;
        wait.recv_timeout(FLUSH_TIMEOUT).map_err(io::Error::other)
    }
}

struct Writer<W> {
    receiver: Receiver<Message>,
    stream: W,
    dropped: Arc<AtomicU64>,
}

impl<W: Write> Writer<W> {
    fn run(mut self) {
        while let Ok(message) = self.receiver.recv() {
            self.report_dropped();
            self.handle(message);
        }
    }

    /// Writes a line or flushes the stream. An error of the stream can't be reported anywhere
    /// else, so a line that fails counts as dropped.
    fn handle(&mut self, message: Message) {
        match message {
            Message::Line(line) => {
                if self.stream.write_all(&line).is_err() {
                    self.dropped.fetch_add(1, Ordering::Relaxed);
                }
            }
            Message::Flush(done) => {
                let _ = self.stream.flush();
                let _ = done.try_send(());
            }
        }
    }

    fn report_dropped(&mut self) {
        let count = self.dropped.swap(0, Ordering::Relaxed);
        if count == 0 {
            return;
        }
        let time = log::millis(SystemTime::now());
        let line = format!(
            "{{\"time\":{time},\"level\":\"error\",\"event\":\"log-dropped\",\"lines\":{count}}}\n"
        );
        if self.stream.write_all(line.as_bytes()).is_err() {
            self.dropped.fetch_add(count, Ordering::Relaxed);
        }
    }
}
