package io.bulrushrouter.launcher;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import io.bulrushrouter.platform.standin.FleetObjects;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against broken promises of entries beside objects of another writer and
 * upstreams that fail behind runs, while upstreams, the configuration and the entries
 * themselves change. The properties {@code bulrush.seeds}, {@code bulrush.first-seed} and
 * {@code bulrush.entries} ask for more than CI plays.
 */
class EntrySoakTests {

	private static final Duration TIME = Duration.ofSeconds(18);

	private static final int CALLERS = 6;

	private static final int UPSTREAMS = 3;

	private static final int LONGEST_PAUSE_MILLIS = 400;

	/** Time after which a new configuration is in force. */
	private static final long APPLY_MILLIS = 2_000;

	/** Time after which a new upstream serves. */
	private static final long CATCH_UP_MILLIS = 4_000;

	@TempDir
	private Path directory;

	static LongStream seeds() {
		long first = Long.getLong("bulrush.first-seed", 1);
		return LongStream.range(first, first + Integer.getInteger("bulrush.seeds", 1));
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void keepAllPromisesWhileAllChanges(long seed) throws Exception {
		try (Soak soak = new Soak(seed)) {
			soak.run();
			soak.settle();
			assertWithMessage("requests that were answered").that(soak.outcomes.answers()).isAtLeast(1_000);
			assertWithMessage("requests that were served").that(soak.outcomes.successes())
				.isAtLeast(soak.outcomes.answers() / 2);
			List<String> faults = soak.outcomes.faults();
			assertWithMessage("%s broken promises, such as", faults.size())
				.that(faults.subList(0, Math.min(20, faults.size())))
				.isEmpty();
		}
	}

	/**
	 * One play of a seed.
	 */
	private final class Soak implements AutoCloseable {

		private final Random random;

		private final ForeignWriter writer;

		private final SoakOutcomes outcomes = new SoakOutcomes();

		private final ChangingStore store = new ChangingStore();

		private final UpstreamStandin work = UpstreamStandin.fixed();

		private final List<SoakUpstream> upstreams = new ArrayList<>();

		private final List<SoakUpstream> current = new ArrayList<>();

		private final List<SoakEntry> entries = new ArrayList<>();

		private final List<SoakCaller> callers = new ArrayList<>();

		private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(16);

		private final List<Future<?>> tasks = new ArrayList<>();

		private final FleetObjects fleet = new FleetObjects().service("work")
			.route("/work/", true, "work")
			.service("soak")
			.route("/soak-once/", false, "soak")
			.route("/soak-again/", true, "soak");

		private int addedServices;

		private Soak(long seed) throws IOException {
			this.random = new Random(seed);
			this.store.put(FleetObjects.UPSTREAMS, "i-work", FleetObjects.upstream("work", this.work.port(), false));
			for (int index = 0; index < UPSTREAMS; index++) {
				join("soak", false);
			}
			this.writer = this.random.nextBoolean()
					? new ForeignWriter(this.store, seed, 8 + this.random.nextInt(24), 1_000_000)
					: new ForeignWriter(this.store, seed, 2_000 + this.random.nextInt(4_000), 400);
			configure();
		}

		private void run() throws IOException, InterruptedException {
			for (int index = 0; index < Integer.getInteger("bulrush.entries", 2); index++) {
				SoakEntry entry = new SoakEntry("e" + index, EntrySoakTests.this.directory, this.store.port());
				this.entries.add(entry);
				this.outcomes.entry(entry.name(), entry);
			}
			for (SoakEntry entry : this.entries) {
				for (int index = 0; index < CALLERS; index++) {
					this.callers.add(new SoakCaller(entry, this.outcomes));
				}
			}
			long end = System.nanoTime() + TIME.toNanos();
			while (System.nanoTime() < end) {
				switch (this.random.nextInt(8)) {
					case 0, 1, 2 -> this.writer.change();
					case 3 -> this.writer.remove();
					case 4, 5 -> replaceUpstream();
					case 6 -> addService();
					default -> signal(this.entries.get(this.random.nextInt(this.entries.size())));
				}
				Thread.sleep(this.random.nextInt(LONGEST_PAUSE_MILLIS));
				assertNoneEndedByItself();
			}
		}

		// Waits until nothing changes any longer, and checks what holds then.
		private void settle() throws Exception {
			for (Future<?> task : this.tasks) {
				task.get();
			}
			assertNoneEndedByItself();
			for (SoakEntry entry : this.entries) {
				assertWithMessage("an ordinary request is answered; %s", entry.endOfLog())
					.that(entry.process().serves())
					.isTrue();
				entry.process().assertWithinInstance();
			}
			for (SoakCaller caller : this.callers) {
				caller.close();
			}
		}

		private void assertNoneEndedByItself() throws IOException {
			for (SoakEntry entry : this.entries) {
				assertWithMessage("%s ended; %s", entry.name(), entry.endOfLog()).that(entry.endedByItself()).isFalse();
			}
		}

		private SoakUpstream join(String service, boolean sound) throws IOException {
			SoakUpstream upstream = new SoakUpstream(this.outcomes, this.random.nextLong(), sound);
			this.upstreams.add(upstream);
			this.store.put(FleetObjects.UPSTREAMS, upstream.name(), upstream.spec(service, false));
			if (!sound) {
				this.current.add(upstream);
			}
			return upstream;
		}

		private void replaceUpstream() throws IOException {
			SoakUpstream leaving = this.current.remove(0);
			join("soak", false);
			if (this.random.nextBoolean()) {
				this.store.remove(FleetObjects.UPSTREAMS, leaving.name());
			}
			else {
				this.store.put(FleetObjects.UPSTREAMS, leaving.name(), leaving.spec("soak", true));
			}
			leaving.leave();
		}

		private void addService() throws IOException {
			String name = "new-" + this.addedServices++;
			this.fleet.service(name).route("/soak-" + name + "/", true, name);
			join(name, true);
			configure();
			for (SoakEntry entry : this.entries) {
				this.tasks
					.add(this.executor.schedule(() -> ask(entry, name, 404), APPLY_MILLIS, TimeUnit.MILLISECONDS));
				this.tasks
					.add(this.executor.schedule(() -> ask(entry, name, 503), CATCH_UP_MILLIS, TimeUnit.MILLISECONDS));
			}
		}

		private void configure() {
			this.store.put(FleetObjects.CONFIGURATION, FleetObjects.CONFIGURATION_NAME, this.fleet.configuration());
		}

		private Void ask(SoakEntry entry, String route, int wrongStatus) throws IOException {
			if (entry.inTouch()) {
				try (Socket connection = entry.connect()) {
					Optional<SoakCaller.Answer> answer = SoakCaller.send(connection, route,
							entry.name() + "-ask-" + wrongStatus + route);
					if (entry.inTouch() && answer.map(SoakCaller.Answer::status).orElse(wrongStatus) == wrongStatus) {
						this.outcomes.fault(entry.name() + " does not serve " + route + ": " + answer);
					}
				}
				catch (IOException ex) {
					assertWithMessage("%s is in touch", entry.name()).that(entry.inTouch()).isFalse();
				}
			}
			return null;
		}

		private void signal(SoakEntry entry) {
			int choice = this.random.nextInt(3);
			this.tasks.add(this.executor.submit(() -> {
				synchronized (entry) {
					switch (choice) {
						case 0 -> entry.restart();
						case 1 -> entry.crash();
						default -> entry.suspend();
					}
				}
				return null;
			}));
		}

		@Override
		public void close() throws IOException, InterruptedException, ExecutionException {
			this.executor.shutdownNow();
			this.executor.awaitTermination(1, TimeUnit.MINUTES);
			for (SoakEntry entry : this.entries) {
				entry.close();
			}
			for (SoakCaller caller : this.callers) {
				caller.close();
			}
			for (SoakUpstream upstream : this.upstreams) {
				upstream.close();
			}
			this.work.close();
			this.store.close();
		}

	}

}
