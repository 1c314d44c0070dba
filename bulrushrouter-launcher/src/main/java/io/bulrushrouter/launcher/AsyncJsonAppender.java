package io.bulrushrouter.launcher;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.UnsynchronizedAppenderBase;

/**
 * Writes the log as JSON lines. A log call never blocks: it adds its line to a bounded
 * queue or, if the queue is full, counts the line as dropped. One thread writes the
 * queued lines in batches.
 */
final class AsyncJsonAppender extends UnsynchronizedAppenderBase<ILoggingEvent> {

	private static final int MAX_QUEUED_LINES = 8_192;

	/** Limit of the characters of all queued lines, some 300 for each. */
	static final long MAX_QUEUED_CHARACTERS = 300L * MAX_QUEUED_LINES;

	/** Characters of the lines that are encoded and written at once. */
	private static final int MAX_BATCH_CHARACTERS = 64 * 1024;

	/** Time between two batches: each wake-up of the writer costs processor time. */
	private static final long FLUSH_INTERVAL_NANOS = 200_000_000;

	private final OutputStream out;

	private final Object writing = new Object();

	private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);

	private final AtomicLong queuedCharacters = new AtomicLong();

	private final AtomicLong dropped = new AtomicLong();

	private volatile boolean running;

	private Thread writer;

	AsyncJsonAppender(PrintStream out) {
		this.out = out;
	}

	@Override
	public void start() {
		this.running = true;
		this.writer = new Thread(this::run, "log");
		this.writer.setDaemon(true);
		this.writer.start();
		super.start();
	}

	@Override
	protected void append(ILoggingEvent event) {
		String line = JsonLine.of(event);
		boolean fits = this.queuedCharacters.addAndGet(line.length()) <= MAX_QUEUED_CHARACTERS;
		if (!fits || !this.queue.offer(line)) {
			this.queuedCharacters.addAndGet(-line.length());
			this.dropped.incrementAndGet();
		}
	}

	private void run() {
		while (this.running) {
			LockSupport.parkNanos(FLUSH_INTERVAL_NANOS);
			flush();
		}
	}

	// A log call must not wait for this lock.
	private void flush() {
		synchronized (this.writing) {
			writeQueued();
		}
	}

	private void writeQueued() {
		StringBuilder lines = new StringBuilder();
		long droppedLines = this.dropped.getAndSet(0);
		if (droppedLines > 0) {
			lines.append("{\"event\":\"log-lines-dropped\",\"count\":").append(droppedLines).append("}\n");
		}
		try {
			String line = this.queue.poll();
			while (line != null) {
				lines.append(line);
				this.queuedCharacters.addAndGet(-line.length());
				if (lines.length() > MAX_BATCH_CHARACTERS) {
					write(lines);
				}
				line = this.queue.poll();
			}
			write(lines);
		}
		catch (IOException ex) {
			// The log cannot be written, so there is nowhere to report the failure.
			this.running = false;
		}
	}

	private void write(StringBuilder lines) throws IOException {
		if (lines.length() > 0) {
			this.out.write(lines.toString().getBytes(StandardCharsets.UTF_8));
			this.out.flush();
			lines.setLength(0);
		}
	}

	@Override
	public void stop() {
		this.running = false;
		flush();
		super.stop();
	}

}
