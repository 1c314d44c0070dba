package io.bulrushrouter.launcher;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a log that fills the heap with what callers send.
 */
class AsyncJsonAppenderTests {

	private static final String LONG_VALUE = "x".repeat(16_000);

	private final LoggerContext context = new LoggerContext();

	private final Logger logger = this.context.getLogger("test");

	private AsyncJsonAppender start(OutputStream out) {
		AsyncJsonAppender appender = new AsyncJsonAppender(new PrintStream(out, true, StandardCharsets.UTF_8));
		appender.setContext(this.context);
		appender.start();
		this.logger.setLevel(Level.INFO);
		this.logger.addAppender(appender);
		return appender;
	}

	private static ByteArrayOutputStream blockedUntil(CountDownLatch writable) {
		return new ByteArrayOutputStream() {

			@Override
			public synchronized void write(byte[] bytes, int offset, int length) {
				try {
					writable.await();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
				super.write(bytes, offset, length);
			}

		};
	}

	// Guards against an event loop that stands still until somebody reads the log.
	@Test
	@Timeout(60)
	void neverWaitForTheWriter() {
		CountDownLatch writable = new CountDownLatch(1);
		ByteArrayOutputStream out = blockedUntil(writable);
		AsyncJsonAppender appender = start(out);
		for (int line = 0; line < 200_000; line++) {
			this.logger.info("event=answered request={}", line);
		}
		writable.countDown();
		appender.stop();
		assertThat(out.toString(StandardCharsets.UTF_8)).contains("\"event\":\"log-lines-dropped\"");
	}

	@Test
	void cutLongValues() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		AsyncJsonAppender appender = start(out);
		this.logger.info("event=refused request={} status={} detail=\"{}\"", LONG_VALUE, 404, LONG_VALUE);
		appender.stop();
		String line = out.toString(StandardCharsets.UTF_8);
		String cut = "x".repeat(JsonLine.MAX_VALUE_LENGTH) + "...";
		assertThat(line).contains("\"request\":\"" + cut + "\",\"status\":404,\"detail\":\"" + cut + "\"}\n");
	}

	@Test
	void dropLinesOnceTheQueueHoldsItsLimitOfCharacters() {
		CountDownLatch writable = new CountDownLatch(1);
		ByteArrayOutputStream out = blockedUntil(writable);
		AsyncJsonAppender appender = start(out);
		for (int line = 0; line < 8_000; line++) {
			this.logger.info("event=refused request={} detail=\"{}\"", LONG_VALUE, LONG_VALUE);
		}
		writable.countDown();
		appender.stop();
		assertThat((long) out.size()).isLessThan(2 * AsyncJsonAppender.MAX_QUEUED_CHARACTERS);
		assertThat(out.toString(StandardCharsets.UTF_8)).contains("\"event\":\"log-lines-dropped\"");
	}

}
