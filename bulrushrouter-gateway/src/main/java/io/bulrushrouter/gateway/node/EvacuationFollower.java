package io.bulrushrouter.gateway.node;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGenerator;

import io.bulrushrouter.gateway.source.Evacuation;
import io.bulrushrouter.gateway.source.Feed;
import io.bulrushrouter.gateway.source.FeedCounters;
import io.bulrushrouter.gateway.source.FeedFollower;
import io.bulrushrouter.gateway.source.FeedResult.Item;
import io.bulrushrouter.gateway.upstream.EvacuatedDataCentres;
import io.bulrushrouter.kernel.TimeSource;

/**
 * Keeps the evacuated data centres up to date. Makes no call to the store where data
 * centres are not evacuated.
 */
final class EvacuationFollower implements AutoCloseable {

	/**
	 * Longest wait of a watch. A connection that silently stopped delivering data is
	 * noticed only when a watch times out.
	 */
	private static final Duration MAX_WATCH_TIMEOUT = Duration.ofSeconds(3);

	/** Shortest wait of a watch, which bounds the calls to the store. */
	private static final Duration MIN_WATCH_TIMEOUT = Duration.ofMillis(300);

	/**
	 * Time that is needed beyond the wait of a watch whose connection was lost: 1.2 s
	 * until the call is repeated or times out, 0.18 s of backoff, 1.2 s of a slow store
	 * for the call that follows, and 0.2 s for connecting and the transit of requests.
	 */
	private static final Duration RECOVERY_TIME = Duration.ofMillis(2_800);

	private final Optional<FeedFollower<Evacuation>> follower;

	EvacuationFollower(ScheduledExecutorService loop, RandomGenerator random, Feed<Evacuation> feed,
			EvacuatedDataCentres evacuated, Optional<Duration> within, FeedCounters counters) {
		TimeSource clock = TimeSource.ofSystem();
		this.follower = within
			.map((bound) -> FeedFollower.builder("evacuations", feed, new EvacuationListener(evacuated, clock))
				.watchTimeout(watchTimeout(bound))
				.loop(loop)
				.clock(clock)
				.random(random)
				.counters(counters)
				.build());
	}

	/**
	 * Returns the wait of a watch.
	 * @param within the time within which no request may reach an evacuated data centre
	 * @return the wait
	 */
	static Duration watchTimeout(Duration within) {
		Duration wait = within.minus(RECOVERY_TIME);
		if (wait.compareTo(MIN_WATCH_TIMEOUT) < 0) {
			return MIN_WATCH_TIMEOUT;
		}
		return (wait.compareTo(MAX_WATCH_TIMEOUT) > 0) ? MAX_WATCH_TIMEOUT : wait;
	}

	void start() {
		this.follower.ifPresent(FeedFollower::start);
	}

	@Override
	public void close() {
		this.follower.ifPresent(FeedFollower::close);
	}

	/**
	 * Passes evacuations on.
	 *
	 * @param evacuated receives them
	 * @param clock the monotonic clock
	 */
	record EvacuationListener(EvacuatedDataCentres evacuated,
			TimeSource clock) implements FeedFollower.Listener<Evacuation> {

		@Override
		public void listed(List<Item<Evacuation>> items, long requestedNanos) {
			this.evacuated.replace(items, this.clock.nanos());
		}

		@Override
		public void changed(List<Item<Evacuation>> changes, long requestedNanos) {
			this.evacuated.change(changes, this.clock.nanos());
		}

		@Override
		public void restored() {
			this.evacuated.storeRestored();
		}

		@Override
		public void unavailable() {
			// Known evacuations stay in force until the store answers again.
		}

	}

}
