//! Bounded queue between those who log and the thread that writes.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::log;

const QUEUE_LINES: usize = 8_192;
const ROOM_POLL: Duration = Duration::from_millis(1);
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

enum Message {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Writer that never waits for the stream behind it. A line that finds the
/// queue full is dropped, and the number of dropped lines is written instead
/// as soon as the stream takes lines again.
pub(crate) struct Queue {
    sender: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

impl Queue {
    pub(crate) fn new(stream: impl Write + Send + 'static) -> io::Result<Self> {
        let (sender, receiver) = sync_channel(QUEUE_LINES);
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
    /// Waits for room in the queue, for a second at most.
    fn send_patiently(&self, mut message: Message) -> io::Result<()> {
        let give_up = Instant::now() + FLUSH_TIMEOUT;
        while Instant::now() < give_up {
            match self.sender.try_send(message) {
                Ok(()) => return Ok(()),
                Err(TrySendError::Full(back)) => message = back,
                Err(TrySendError::Disconnected(_)) => break,
            }
            thread::sleep(ROOM_POLL);
        }
        Err(io::Error::other("the log stream takes no lines"))
    }
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.sender.try_send(Message::Line(line.to_vec())).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    /// Waits until earlier lines are written, or for a second.
    fn flush(&mut self) -> io::Result<()> {
        let (done, wait) = sync_channel(1);
        self.send_patiently(Message::Flush(done))?;
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

    /// A stream that refuses a line has nobody left to tell, so the line
    /// counts as dropped.
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
