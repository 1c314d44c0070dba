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

	/** Capacity of the queue; at 300 bytes a line, a full queue takes about 2 MB. */
	private static final int MAX_QUEUED_LINES = 8_192;

	/** Time between two batches: each wake-up of the writer costs processor time. */
	private static final long FLUSH_INTERVAL_NANOS = 200_000_000;

	private final OutputStream out;

	private final Object writing = new Object();

	private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);

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
		if (!this.queue.offer(JsonLine.of(event))) {
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
		String line = this.queue.poll();
		while (line != null) {
			lines.append(line);
			line = this.queue.poll();
		}
		if (lines.length() == 0) {
			return;
		}
		try {
			this.out.write(lines.toString().getBytes(StandardCharsets.UTF_8));
			this.out.flush();
		}
		catch (IOException ex) {
			// The log cannot be written, so there is nowhere to report the failure.
			this.running = false;
		}
	}

	@Override
	public void stop() {
		this.running = false;
		flush();
		super.stop();
	}

}
