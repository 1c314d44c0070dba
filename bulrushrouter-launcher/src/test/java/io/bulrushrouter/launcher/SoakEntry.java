package io.bulrushrouter.launcher;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * An entry of the soak, which is stopped, killed and suspended, and started again.
 */
final class SoakEntry implements AutoCloseable {

	/** Time that entries have to notice the leaving of an upstream. */
	static final long DRAIN_NANOS = TimeUnit.SECONDS.toNanos(2);

	/** Time without a signal after which the bounds of time hold. */
	private static final long CONTACT_NANOS = TimeUnit.SECONDS.toNanos(3);

	/** Time from SIGTERM to SIGKILL. */
	private static final long GRACE_SECONDS = 8;

	private static final long SUSPENDED_MILLIS = 1_000;

	private final String name;

	private final Path directory;

	private final int storePort;

	private volatile EntryProcess process;

	private volatile long disturbedNanos;

	private volatile long brokenNanos = System.nanoTime() - TimeUnit.DAYS.toNanos(1);

	private volatile boolean signalled;

	SoakEntry(String name, Path directory, int storePort) throws IOException {
		this.name = name;
		this.directory = Files.createDirectories(directory.resolve(name));
		this.storePort = storePort;
		start();
	}

	private void start() throws IOException {
		this.process = new EntryProcess(this.name, this.directory, this.storePort);
		this.disturbedNanos = System.nanoTime();
		this.signalled = false;
	}

	String name() {
		return this.name;
	}

	Socket connect() throws IOException {
		return new Socket(this.process.callers().getAddress(), this.process.callers().getPort());
	}

	/**
	 * Returns whether the bounds of time hold.
	 * @return whether it has had no signal for a while
	 */
	boolean inTouch() {
		return !this.signalled && System.nanoTime() - this.disturbedNanos > CONTACT_NANOS;
	}

	/**
	 * Returns whether connections may end without an answer.
	 * @param nanos the time at which the request was sent
	 * @return whether the process was killed since, or suspended
	 */
	boolean brokenSince(long nanos) {
		return this.brokenNanos - nanos > 0;
	}

	/**
	 * Returns whether the process has ended without a signal.
	 * @return whether it has
	 */
	boolean endedByItself() {
		return !this.signalled && !this.process.alive();
	}

	String endOfLog() throws IOException {
		return this.process.endOfLog();
	}

	EntryProcess process() {
		return this.process;
	}

	/**
	 * Stops the process and starts it again.
	 */
	void restart() throws IOException, InterruptedException {
		this.signalled = true;
		this.process.process().terminate();
		if (!this.process.process().awaitEnd(GRACE_SECONDS)) {
			kill();
		}
		start();
	}

	/**
	 * Kills the process and starts it again.
	 */
	void crash() throws IOException {
		this.signalled = true;
		kill();
		start();
	}

	private void kill() {
		this.brokenNanos = Long.MAX_VALUE;
		this.process.close();
		this.brokenNanos = System.nanoTime();
	}

	/**
	 * Suspends the process for a second.
	 */
	void suspend() throws IOException, InterruptedException {
		this.signalled = true;
		this.process.process().signal("STOP");
		Thread.sleep(SUSPENDED_MILLIS);
		this.process.process().signal("CONT");
		this.disturbedNanos = System.nanoTime();
		this.brokenNanos = this.disturbedNanos + CONTACT_NANOS;
		this.signalled = false;
	}

	@Override
	public void close() {
		this.signalled = true;
		this.process.close();
	}

}
