package io.bulrushrouter.launcher;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * An entry in a process of its own, with the command of the deploy file and half of an
 * edge instance: half of the heap, memory and descriptors.
 */
final class EntryProcess implements AutoCloseable {

	/** Memory of the instance, which the process must not exceed. */
	private static final int MEMORY_MB = 215;

	/** Descriptors of the instance, of which half are for callers. */
	private static final int DESCRIPTORS = 2_100;

	private static final String HEAP = "-Xmx48m";

	/** Time for one ordinary request to be served after the crowd has left. */
	private static final Duration RECOVERY_LIMIT = Duration.ofSeconds(60);

	/** Time between two ordinary requests. */
	private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private final HttpClient client = HttpClient.newHttpClient();

	private final ProgramProcess process;

	private final int callersPort = freePort();

	private final int readinessPort = freePort();

	/**
	 * Starts an entry and waits until it serves.
	 * @param directory receives the settings and the log
	 * @param storePort the port of the store
	 */
	EntryProcess(Path directory, int storePort) throws IOException {
		this("entry", directory, storePort);
	}

	/**
	 * Starts an entry and waits until it serves.
	 * @param name the name of the entry
	 * @param directory receives the settings and the log
	 * @param storePort the port of the store
	 */
	EntryProcess(String name, Path directory, int storePort) throws IOException {
		this.process = new ProgramProcess("gateway", HEAP, directory, settings(name, storePort));
		if (!serves()) {
			close();
			throw new IllegalStateException("the entry does not serve: " + this.process.log());
		}
	}

	private List<String> settings(String name, int storePort) throws IOException {
		return List.of("[instance]", "name = " + name, "data-centre = a", "memory-mb = " + MEMORY_MB,
				"descriptors = " + DESCRIPTORS, "[listen]", "callers = 127.0.0.1:" + this.callersPort,
				"readiness = 127.0.0.1:" + this.readinessPort, "metrics = 127.0.0.1:" + freePort(), "[source]",
				"kind = platform", "store = 127.0.0.1:" + storePort, "[retry]", "ratio = 0.2", "spare = 92");
	}

	// A port that no outgoing connection takes before the process listens on it.
	private static int freePort() throws IOException {
		while (true) {
			int port = ThreadLocalRandom.current().nextInt(20_000, 32_000);
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				return socket.getLocalPort();
			}
			catch (BindException ex) {
				Thread.onSpinWait();
			}
		}
	}

	InetSocketAddress callers() {
		return new InetSocketAddress(InetAddress.getLoopbackAddress(), this.callersPort);
	}

	boolean alive() {
		return this.process.alive();
	}

	/**
	 * Returns the process, to which signals are sent.
	 * @return the process
	 */
	ProgramProcess process() {
		return this.process;
	}

	/**
	 * Returns the largest resident memory of the process so far.
	 * @return the memory in megabytes, 0 if the process has ended
	 */
	long peakMemoryMb() throws IOException {
		return Files.readAllLines(this.process.information("status"))
			.stream()
			.filter((line) -> line.startsWith("VmHWM:"))
			.mapToLong((line) -> Long.parseLong(line.replaceAll("\\D", "")) / 1_024)
			.findFirst()
			.orElse(0);
	}

	long descriptors() throws IOException {
		try (Stream<Path> open = Files.list(this.process.information("fd"))) {
			return open.count();
		}
	}

	/**
	 * Returns whether one ordinary request is answered by an upstream. A caller returns
	 * after a refusal that promises that its request has not run.
	 * @return whether it was answered
	 */
	boolean serves() {
		long deadline = System.nanoTime() + RECOVERY_LIMIT.toNanos();
		while (alive() && System.nanoTime() < deadline) {
			if (ordinaryRequest()) {
				return true;
			}
			LockSupport.parkNanos(RETRY_NANOS);
		}
		return false;
	}

	private boolean ordinaryRequest() {
		URI target = URI.create("http://127.0.0.1:" + this.callersPort + "/work/ordinary");
		HttpRequest request = HttpRequest.newBuilder(target)
			.header(ClientShape.NAMES.deadlineMillis(), "8000")
			.timeout(Duration.ofSeconds(10))
			.POST(HttpRequest.BodyPublishers.ofString("{}"))
			.build();
		try {
			return this.client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == 200;
		}
		catch (IOException ex) {
			return false;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	/**
	 * Checks that the process lives and has exceeded neither the memory nor the
	 * descriptors of its instance.
	 */
	void assertWithinInstance() throws IOException {
		long memoryMb = peakMemoryMb();
		assertWithMessage("the process lives; %s", endOfLog()).that(alive()).isTrue();
		assertWithMessage("memory in megabytes").that(memoryMb).isAtMost(MEMORY_MB);
		assertWithMessage("descriptors").that(descriptors()).isAtMost(DESCRIPTORS);
	}

	/**
	 * Returns the end of the log, for the message of a failure.
	 * @return at most 2,000 characters
	 */
	String endOfLog() throws IOException {
		String text = this.process.log();
		return text.substring(Math.max(0, text.length() - 2_000));
	}

	@Override
	public void close() {
		this.process.close();
	}

}
