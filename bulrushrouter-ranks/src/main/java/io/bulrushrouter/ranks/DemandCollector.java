package io.bulrushrouter.ranks;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.experts.live.ChoiceSample;
import io.bulrushrouter.kernel.TimeSource;

/**
 * Collects the choices of all ranks of a group for its leader, apart from the rounds in
 * which statuses are collected: a lost or late answer makes demand older and delays no
 * switch. The interval between two collections keeps the bytes, with those of one round
 * of statuses, within a share of the leader's link.
 */
final class DemandCollector {

	private static final Logger logger = LoggerFactory.getLogger(DemandCollector.class);

	/** The minimum interval: the engines' counts change with each pass. */
	private static final long MIN_INTERVAL_MILLIS = 100;

	/** The part of the link's bandwidth that a leader may take: a tenth. */
	private static final int LINK_DIVISOR = 10;

	/** The bytes of the request and response of one status, with the headers of TCP. */
	private static final int STATUS_BYTES = 175;

	/** The bytes of the headers of a message with choices. */
	private static final int CHOICES_HEADER_BYTES = 120;

	/** The minimum time between two log lines about missing answers. */
	private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final EventLoop loop;

	private final TimeSource clock;

	private final RankReporter ownReporter;

	private final long linkBytesPerSecond;

	private final Consumer<List<ChoiceSample>> receiver;

	private List<RankConnection> ranks = List.of();

	private boolean running;

	private int rotation;

	private long bytesReceived;

	private long nextLogNanos;

	DemandCollector(EventLoop loop, TimeSource clock, RankReporter ownReporter, long linkBytesPerSecond,
			Consumer<List<ChoiceSample>> receiver) {
		this.loop = loop;
		this.clock = clock;
		this.ownReporter = ownReporter;
		this.linkBytesPerSecond = linkBytesPerSecond;
		this.receiver = receiver;
		this.nextLogNanos = clock.nanos();
	}

	/**
	 * Sets the other ranks of the group and starts to collect.
	 * @param others the connections to the other ranks
	 */
	void collectFrom(Collection<RankConnection> others) {
		this.ranks = List.copyOf(others);
		if (!this.running) {
			this.running = true;
			collect();
		}
	}

	/**
	 * Stops to collect.
	 */
	void stop() {
		this.ranks = List.of();
	}

	private void collect() {
		if (this.ranks.isEmpty()) {
			this.running = false;
			return;
		}
		long startNanos = this.clock.nanos();
		this.bytesReceived = 0;
		CompletableFuture.completedStage(null).thenCompose((start) -> requestAll()).whenComplete((all, failure) -> {
			if (failure != null) {
				logger.error("event=demand-collection-failed detail=\"{}\"", failure.toString(), failure);
			}
			long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(this.clock.nanos() - startNanos);
			long delayMillis = intervalMillis(this.bytesReceived, this.ranks.size(), this.linkBytesPerSecond)
					- elapsedMillis;
			this.loop.schedule(this::collect, Math.max(1, delayMillis), TimeUnit.MILLISECONDS);
		});
	}

	private CompletionStage<Void> requestAll() {
		List<CompletableFuture<Optional<ChoiceSample>>> answers = new ArrayList<>();
		answers.add(this.ownReporter.choices().toCompletableFuture());
		for (List<RankConnection> part : RelayPlan.parts(this.ranks, this.rotation)) {
			answers.add(request(part).toCompletableFuture());
		}
		return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
			.thenAccept((all) -> collected(answers));
	}

	private void collected(List<CompletableFuture<Optional<ChoiceSample>>> answers) {
		List<ChoiceSample> parts = answers.stream().flatMap((answer) -> answer.join().stream()).toList();
		logMissing(answers.size() - parts.size(), answers.size());
		this.receiver.accept(parts);
	}

	/**
	 * Returns the interval from one collection to the next.
	 * @param choicesBytes the bytes that a collection takes
	 * @param ranks the number of ranks whose statuses are read after it
	 * @param linkBytesPerSecond the bandwidth of the leader's link, in bytes per second
	 * @return the interval in milliseconds
	 */
	static long intervalMillis(long choicesBytes, int ranks, long linkBytesPerSecond) {
		long bytes = choicesBytes + (long) STATUS_BYTES * ranks;
		return Math.max(MIN_INTERVAL_MILLIS, 1_000 * LINK_DIVISOR * bytes / linkBytesPerSecond);
	}

	private CompletionStage<Optional<ChoiceSample>> request(List<RankConnection> part) {
		return part.get(0).choices(part.subList(1, part.size())).thenApply((answer) -> {
			this.bytesReceived += answer.map((encoded) -> CHOICES_HEADER_BYTES + encoded.choices().length).orElse(0);
			return answer.map(EncodedSample::decode);
		});
	}

	private void logMissing(int missing, int requested) {
		if (missing == 0) {
			return;
		}
		// A rank that relays nothing must not hide the ranks behind it for long.
		this.rotation++;
		if (this.clock.nanos() - this.nextLogNanos >= 0) {
			this.nextLogNanos = this.clock.nanos() + LOG_INTERVAL_NANOS;
			logger.info("event=choices-missing requested={} unanswered={} bytes={}", requested, missing,
					this.bytesReceived);
		}
	}

}
