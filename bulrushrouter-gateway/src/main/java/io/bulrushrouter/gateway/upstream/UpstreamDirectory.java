package io.bulrushrouter.gateway.upstream;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.stream.Stream;

import io.bulrushrouter.gateway.source.FeedResult.Item;
import io.bulrushrouter.gateway.source.UpstreamRecord;

/**
 * Directory of the upstreams that may take requests. An upstream that is listed as
 * leaving or is removed from the list gets no new requests from then on, also when a
 * store that was restored from a copy lists it as it was before. The exception is a store
 * that recovers from an outage or is restored: entries of live upstreams may be missing,
 * so a removed upstream is kept for as long as it may take to register again.
 */
public final class UpstreamDirectory {

	/**
	 * Time after the store's recovery in which upstreams with lapsed entries register
	 * again. The platform specifies two seconds.
	 */
	public static final Duration REREGISTRATION_WINDOW = Duration.ofMillis(2_200);

	/**
	 * How long an upstream is kept whose removal followed the store's return: it may have
	 * been removed for good, and then gets nothing new from the end of the shortest drain
	 * time on, which is two seconds.
	 */
	private static final long LATE_REMOVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Time after which an upstream that had been removed, and is in the copy from which
	 * the store was restored, is taken for alive: by then the store has dropped the
	 * entries without a heartbeat.
	 */
	private static final long COPY_CONFIRMATION_NANOS = TimeUnit.SECONDS.toNanos(5);

	/** How long the departure or removal of an upstream is remembered. */
	private static final long DEPARTURE_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);

	private final Map<String, UpstreamRecord> listed = new HashMap<>();

	private final Map<String, Lapsed> lapsed = new HashMap<>();

	private final Map<String, List<UpstreamRecord>> readyByService = new HashMap<>();

	private final Map<String, Departure> departures = new HashMap<>();

	private final Map<String, Long> unconfirmedUntilNanos = new HashMap<>();

	private final EvacuatedDataCentres evacuated;

	private BiConsumer<UpstreamRecord, Origin> onRegistration = (upstream, origin) -> {
	};

	private long evacuatedVersion;

	private boolean restored;

	private boolean known;

	private boolean storeLost;

	private long reregistrationEndNanos = Long.MIN_VALUE;

	/**
	 * Creates an empty directory.
	 * @param evacuated the data centres whose upstreams get no new requests
	 */
	public UpstreamDirectory(EvacuatedDataCentres evacuated) {
		this.evacuated = evacuated;
	}

	/**
	 * Creates an empty directory for a deployment without evacuations.
	 */
	public UpstreamDirectory() {
		this(EvacuatedDataCentres.ofNone());
	}

	/**
	 * Sets the receiver of all registrations that are read from now on.
	 * @param receiver receives the upstream and where its registration was read
	 */
	public void onRegistration(BiConsumer<UpstreamRecord, Origin> receiver) {
		this.onRegistration = receiver;
	}

	/**
	 * Returns whether the list and the evacuations have been read at least once.
	 * @return whether both are known
	 */
	public boolean known() {
		return this.known && this.evacuated.known();
	}

	/**
	 * Replaces the whole list.
	 * @param items all entries
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void replace(Collection<Item<UpstreamRecord>> items, long nowNanos) {
		storeAnswered(nowNanos);
		Set<String> removed = new HashSet<>(this.listed.keySet());
		items.forEach((item) -> {
			removed.remove(item.name());
			put(item, this.reregistrationEndNanos, nowNanos);
		});
		removed.forEach((id) -> remove(id, this.reregistrationEndNanos, nowNanos));
		this.restored = false;
		this.known = true;
		this.readyByService.clear();
	}

	/**
	 * Applies changes to the list.
	 * @param items the changed or removed entries, in order
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void change(Collection<Item<UpstreamRecord>> items, long nowNanos) {
		boolean removedDuringOutage = storeAnswered(nowNanos);
		long keptUntilNanos = removedDuringOutage ? this.reregistrationEndNanos
				: Math.min(this.reregistrationEndNanos, nowNanos + LATE_REMOVAL_NANOS);
		items.forEach((item) -> {
			this.unconfirmedUntilNanos.remove(item.name());
			put(item, keptUntilNanos, nowNanos);
		});
		if (!items.isEmpty()) {
			this.readyByService.clear();
		}
	}

	/**
	 * Records that the store is unavailable.
	 */
	public void storeLost() {
		this.storeLost = true;
	}

	/**
	 * Returns whether the last call to the store failed.
	 * @return whether registrations do not arrive
	 */
	public boolean storeUnavailable() {
		return this.storeLost;
	}

	/**
	 * Records that the store was restored from a copy, which may lack entries that live
	 * upstreams write again, and may hold entries as they were before a departure.
	 */
	public void storeRestored() {
		this.storeLost = true;
		this.restored = true;
	}

	// Returns whether this is the first answer after an outage.
	private boolean storeAnswered(long nowNanos) {
		if (!this.storeLost) {
			return false;
		}
		this.storeLost = false;
		this.reregistrationEndNanos = nowNanos + REREGISTRATION_WINDOW.toNanos();
		return true;
	}

	private void put(Item<UpstreamRecord> item, long keptUntilNanos, long nowNanos) {
		Optional<UpstreamRecord> value = item.value();
		if (value.isEmpty()) {
			remove(item.name(), keptUntilNanos, nowNanos);
			return;
		}
		this.lapsed.remove(item.name());
		UpstreamRecord upstream = value.get();
		this.onRegistration.accept(upstream, origin());
		Departure departure = this.departures.get(item.name());
		if (departure != null && departure.incarnation() == upstream.incarnation()) {
			upstream = afterDeparture(upstream, departure, nowNanos);
		}
		if (upstream.leaving()) {
			this.departures.put(item.name(), new Departure(upstream.incarnation(), false, nowNanos));
		}
		this.listed.put(item.name(), upstream);
	}

	private Origin origin() {
		if (this.restored) {
			return Origin.COPY;
		}
		return this.known ? Origin.CURRENT : Origin.FIRST_LIST;
	}

	private UpstreamRecord afterDeparture(UpstreamRecord upstream, Departure departure, long nowNanos) {
		boolean sameIncarnation = this.restored || upstream.incarnation() != UpstreamRecord.UNKNOWN_INCARNATION;
		if (!departure.removed() && sameIncarnation) {
			return upstream.asLeaving();
		}
		if (this.restored) {
			this.unconfirmedUntilNanos.put(upstream.id(), nowNanos + COPY_CONFIRMATION_NANOS);
		}
		else {
			this.departures.remove(upstream.id());
		}
		return upstream;
	}

	private void remove(String id, long keptUntilNanos, long nowNanos) {
		UpstreamRecord previous = this.listed.remove(id);
		if (previous == null || previous.leaving()) {
			return;
		}
		this.departures.put(id, new Departure(previous.incarnation(), true, nowNanos));
		if (nowNanos < keptUntilNanos) {
			this.lapsed.put(id, new Lapsed(previous, keptUntilNanos));
		}
	}

	/**
	 * Drops the lapsed upstreams that have not registered again in time.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void expire(long nowNanos) {
		this.evacuated.expire(nowNanos);
		if (this.lapsed.values().removeIf((entry) -> nowNanos >= entry.keptUntilNanos())) {
			this.readyByService.clear();
		}
		if (this.unconfirmedUntilNanos.values().removeIf((until) -> nowNanos - until >= 0)) {
			this.readyByService.clear();
		}
	}

	/**
	 * Forgets departures of upstreams that have not been listed for a long time.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void forgetOldDepartures(long nowNanos) {
		this.departures.entrySet()
			.removeIf((entry) -> !this.listed.containsKey(entry.getKey())
					&& nowNanos - entry.getValue().seenNanos() > DEPARTURE_RETENTION_NANOS);
	}

	/**
	 * Returns the upstreams of a service that may get requests.
	 * @param service the service's name
	 * @return the upstreams, sorted by identifier
	 */
	public List<UpstreamRecord> ready(String service) {
		if (this.evacuatedVersion != this.evacuated.version()) {
			this.evacuatedVersion = this.evacuated.version();
			this.readyByService.clear();
		}
		return this.readyByService.computeIfAbsent(service, this::collect);
	}

	/**
	 * Returns the upstreams of all services that may get requests.
	 * @return the upstreams
	 */
	public List<UpstreamRecord> ready() {
		return this.listed.values().stream().filter(this::usable).toList();
	}

	private List<UpstreamRecord> collect(String service) {
		return Stream.concat(this.listed.values().stream(), this.lapsed.values().stream().map(Lapsed::upstream))
			.filter((upstream) -> usable(upstream) && upstream.service().equals(service))
			.sorted(Comparator.comparing(UpstreamRecord::id))
			.toList();
	}

	/**
	 * Returns whether an upstream may get requests.
	 * @param id the upstream's identifier
	 * @return whether it is listed, or kept although its entry lapsed, not leaving, and
	 * not in an evacuated data centre
	 */
	public boolean accepts(String id) {
		return Optional.ofNullable(this.listed.get(id))
			.or(() -> Optional.ofNullable(this.lapsed.get(id)).map(Lapsed::upstream))
			.filter(this::usable)
			.isPresent();
	}

	/**
	 * Finds a listed upstream, which may be leaving.
	 * @param id the upstream's identifier
	 * @return the upstream, or empty if it is not listed
	 */
	public Optional<UpstreamRecord> find(String id) {
		return Optional.ofNullable(this.listed.get(id));
	}

	private boolean usable(UpstreamRecord upstream) {
		return !upstream.leaving() && !this.unconfirmedUntilNanos.containsKey(upstream.id())
				&& !this.evacuated.contains(upstream.dataCentre());
	}

	/**
	 * Returns the identifiers of all known upstreams, including leaving and lapsed ones
	 * and those in evacuated data centres.
	 * @return the identifiers
	 */
	public Set<String> identifiers() {
		Set<String> all = new HashSet<>(this.listed.keySet());
		all.addAll(this.lapsed.keySet());
		return all;
	}

	/**
	 * Where a registration was read.
	 */
	public enum Origin {

		/** The first list that this entry has read. */
		FIRST_LIST,

		/** The list of a store that was restored from a copy. */
		COPY,

		/** A later list, or a change. */
		CURRENT

	}

	/**
	 * An upstream that is kept although its entry is missing.
	 *
	 * @param upstream the upstream
	 * @param keptUntilNanos the time until which it may register again
	 */
	private record Lapsed(UpstreamRecord upstream, long keptUntilNanos) {
	}

	/**
	 * The end of an upstream's incarnation as this entry learned of it.
	 *
	 * @param incarnation the start of the incarnation
	 * @param removed whether the upstream was removed from the list without having been
	 * listed as leaving
	 * @param seenNanos when this entry learned of it
	 */
	private record Departure(long incarnation, boolean removed, long seenNanos) {
	}

}
