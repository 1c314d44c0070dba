package io.bulrushrouter.gateway.node;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.gateway.membership.EntryMembership;
import io.bulrushrouter.gateway.source.EntryHeartbeat;
import io.bulrushrouter.gateway.source.EntryRegistry;
import io.bulrushrouter.gateway.source.WriteOutcome;

/**
 * Writes this entry's heartbeat and reads those of the others. Runs on the event loop.
 */
final class MembershipDuty {

	private static final Logger logger = LoggerFactory.getLogger(MembershipDuty.class);

	/**
	 * Shortest interval between two listings, for which other entries may learn late that
	 * this one has started.
	 */
	static final long MIN_LISTING_INTERVAL_MILLIS = 5_000;

	/**
	 * Interval between two listings for each entry in them, which bounds the bytes per
	 * second of a large fleet.
	 */
	static final long LISTING_INTERVAL_PER_ENTRY_MILLIS = 50;

	/** Listings for each heartbeat, since a write costs more than a read. */
	private static final int LISTINGS_PER_HEARTBEAT = 2;

	/** Delay of the first listing, within which a fleet that starts has written. */
	private static final long FIRST_LISTING_MILLIS = 1_000;

	private final EventLoop loop;

	private final String instance;

	private final EntryRegistry registry;

	private final EntryMembership membership;

	private final Runnable onFirst;

	private long sequence;

	private int listings;

	private int knownSize;

	private boolean closed;

	/**
	 * Creates the duty of an entry.
	 * @param loop the event loop
	 * @param instance the name of the entry
	 * @param registry the heartbeats in the store
	 * @param membership receives the heartbeats of the others
	 * @param random the random source
	 * @param onFirst called if no earlier process of the entry has written a heartbeat
	 */
	MembershipDuty(EventLoop loop, String instance, EntryRegistry registry, EntryMembership membership,
			RandomGenerator random, Runnable onFirst) {
		this.loop = loop;
		this.instance = instance;
		this.registry = registry;
		this.membership = membership;
		this.onFirst = onFirst;
		this.sequence = random.nextLong(Long.MAX_VALUE / 2);
	}

	void start() {
		heartbeat();
		this.loop.schedule(this::list, FIRST_LISTING_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void heartbeat() {
		long written = ++this.sequence;
		boolean first = this.listings == 0;
		CompletableFuture.completedStage(null)
			.thenCompose((start) -> this.registry.heartbeat(this.instance, written))
			.whenComplete((result, error) -> {
				if (error != null) {
					logger.error("event=heartbeat-failed instance={} sequence={} detail=\"{}\"", this.instance, written,
							error.toString(), error);
				}
				else if (result == WriteOutcome.FAILED) {
					logger.info("event=heartbeat-failed instance={} sequence={}", this.instance, written);
				}
				else if (first && result == WriteOutcome.CREATED) {
					this.onFirst.run();
				}
			});
	}

	private void list() {
		if (this.closed) {
			return;
		}
		if (++this.listings % LISTINGS_PER_HEARTBEAT == 0) {
			heartbeat();
		}
		CompletableFuture.completedStage(null)
			.thenCompose((start) -> this.registry.list())
			.thenAccept(this::listed)
			.whenComplete((done, error) -> {
				if (error != null) {
					logger.error("event=listing-failed instance={} detail=\"{}\"", this.instance, error.toString(),
							error);
					this.membership.listingFailed();
				}
				this.loop.schedule(this::list, listingIntervalMillis(), TimeUnit.MILLISECONDS);
			});
	}

	private void listed(Optional<List<EntryHeartbeat>> heartbeats) {
		heartbeats.ifPresentOrElse(this.membership::listed, this.membership::listingFailed);
		logSize();
	}

	private long listingIntervalMillis() {
		return Math.max(MIN_LISTING_INTERVAL_MILLIS, LISTING_INTERVAL_PER_ENTRY_MILLIS * this.membership.size());
	}

	private void logSize() {
		if (this.membership.size() != this.knownSize) {
			this.knownSize = this.membership.size();
			logger.info("event=entries instance={} live={}", this.instance, this.knownSize);
		}
	}

	void close() {
		this.closed = true;
	}

}
