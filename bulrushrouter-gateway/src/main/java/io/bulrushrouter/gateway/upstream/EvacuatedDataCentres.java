package io.bulrushrouter.gateway.upstream;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.gateway.source.Evacuation;
import io.bulrushrouter.gateway.source.FeedResult.Item;

/**
 * The data centres that get no new requests. What is known stays in force while the store
 * is unavailable. An evacuation that is missing after the store was restored from a copy
 * stays in force until its operator has had time to write it again. Not thread-safe.
 */
public final class EvacuatedDataCentres {

	private static final Logger logger = LoggerFactory.getLogger(EvacuatedDataCentres.class);

	/** A time that is never reached. */
	private static final long UNTIL_REMOVED = Long.MAX_VALUE;

	private final Map<String, Known> evacuations = new HashMap<>();

	private boolean known;

	private boolean restored;

	private long version;

	private EvacuatedDataCentres(boolean known) {
		this.known = known;
	}

	/**
	 * Creates an instance that is unknown until the evacuations have been listed.
	 * @return the instance
	 */
	public static EvacuatedDataCentres ofUnknown() {
		return new EvacuatedDataCentres(false);
	}

	/**
	 * Creates an instance for a deployment in which no data centre is ever evacuated.
	 * @return the instance
	 */
	public static EvacuatedDataCentres ofNone() {
		return new EvacuatedDataCentres(true);
	}

	/**
	 * Returns whether the evacuations have been listed at least once.
	 * @return whether they are known
	 */
	public boolean known() {
		return this.known;
	}

	/**
	 * Replaces all evacuations.
	 * @param items all evacuations
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void replace(Collection<Item<Evacuation>> items, long nowNanos) {
		Set<String> missing = new HashSet<>(this.evacuations.keySet());
		items.forEach((item) -> {
			missing.remove(item.name());
			begin(item.name(), nowNanos);
		});
		missing.forEach((dataCentre) -> missing(dataCentre, nowNanos));
		this.known = true;
		this.restored = false;
	}

	private void missing(String dataCentre, long nowNanos) {
		if (this.restored) {
			this.evacuations.computeIfPresent(dataCentre, (name, evacuation) -> evacuation
				.until(nowNanos + UpstreamDirectory.REREGISTRATION_WINDOW.toNanos()));
			logger.warn("event=evacuation-missing data-centre={} kept-ms={}", dataCentre,
					UpstreamDirectory.REREGISTRATION_WINDOW.toMillis());
		}
		else if (this.evacuations.get(dataCentre).endNanos() == UNTIL_REMOVED) {
			end(dataCentre, nowNanos);
		}
	}

	/**
	 * Applies changes.
	 * @param items the begun and ended evacuations, in order
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void change(Collection<Item<Evacuation>> items, long nowNanos) {
		items.forEach((item) -> {
			if (item.value().isPresent()) {
				begin(item.name(), nowNanos);
			}
			else {
				end(item.name(), nowNanos);
			}
		});
	}

	private void begin(String dataCentre, long nowNanos) {
		Known evacuation = this.evacuations.get(dataCentre);
		if (evacuation != null) {
			this.evacuations.put(dataCentre, evacuation.until(UNTIL_REMOVED));
			return;
		}
		logger.warn("event=evacuation-begun data-centre={} evacuated={}", dataCentre, this.evacuations.size() + 1);
		this.evacuations.put(dataCentre, new Known(nowNanos, UNTIL_REMOVED));
		this.version++;
	}

	private void end(String dataCentre, long nowNanos) {
		Known ended = this.evacuations.remove(dataCentre);
		if (ended != null) {
			logger.warn("event=evacuation-ended data-centre={} age-ms={} evacuated={}", dataCentre,
					TimeUnit.NANOSECONDS.toMillis(nowNanos - ended.beganNanos()), this.evacuations.size());
			this.version++;
		}
	}

	/**
	 * Records that the store was restored from a copy, which may lack evacuations that
	 * their operator writes again.
	 */
	public void storeRestored() {
		this.restored = true;
	}

	/**
	 * Ends the evacuations that a restored store lacks and that were not written again in
	 * time.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void expire(long nowNanos) {
		if (this.evacuations.isEmpty()) {
			return;
		}
		Set.copyOf(this.evacuations.keySet()).forEach((dataCentre) -> {
			long endNanos = this.evacuations.get(dataCentre).endNanos();
			if (endNanos != UNTIL_REMOVED && nowNanos - endNanos >= 0) {
				end(dataCentre, nowNanos);
			}
		});
	}

	/**
	 * Returns whether a data centre is evacuated.
	 * @param dataCentre the data centre
	 * @return whether it gets no new requests
	 */
	public boolean contains(String dataCentre) {
		return this.evacuations.containsKey(dataCentre);
	}

	/**
	 * Returns the number of evacuated data centres.
	 * @return the number
	 */
	public int size() {
		return this.evacuations.size();
	}

	/**
	 * Returns a number that grows with each begin and end of an evacuation.
	 * @return the number
	 */
	long version() {
		return this.version;
	}

	/**
	 * An evacuation that is in force.
	 *
	 * @param beganNanos when this entry learned of it
	 * @param endNanos when it ends unless it is written again, or {@link #UNTIL_REMOVED}
	 */
	private record Known(long beganNanos, long endNanos) {

		Known until(long nanos) {
			return new Known(this.beganNanos, nanos);
		}

	}

}
