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
import java.util.stream.Stream;

import io.bulrushrouter.gateway.source.FeedResult.Item;
import io.bulrushrouter.gateway.source.UpstreamRecord;

/**
 * Directory of the upstreams that may take requests. An upstream that is listed as
 * leaving or is removed from the list gets no new requests from then on. The exception is
 * a store that recovers from an outage: entries of live upstreams may have lapsed
 * meanwhile, so a removed upstream is kept for as long as it may take to register again.
 */
public final class UpstreamDirectory {

	/**
	 * Time after the store's recovery in which upstreams with lapsed entries register
	 * again. The platform specifies two seconds.
	 */
	public static final Duration REREGISTRATION_WINDOW = Duration.ofMillis(2_200);

	private final Map<String, UpstreamRecord> listed = new HashMap<>();

	private final Map<String, UpstreamRecord> lapsed = new HashMap<>();

	private final Map<String, List<UpstreamRecord>> readyByService = new HashMap<>();

	private boolean known;

	private boolean storeLost;

	private long reregistrationEndNanos = Long.MIN_VALUE;

	/**
	 * Returns whether the list has been read at least once.
	 * @return whether the list is known
	 */
	public boolean known() {
		return this.known;
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
			put(item, nowNanos);
		});
		removed.forEach((id) -> remove(id, nowNanos));
		this.known = true;
		this.readyByService.clear();
	}

	/**
	 * Applies changes to the list.
	 * @param items the changed or removed entries, in order
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void change(Collection<Item<UpstreamRecord>> items, long nowNanos) {
		storeAnswered(nowNanos);
		items.forEach((item) -> put(item, nowNanos));
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

	private void storeAnswered(long nowNanos) {
		if (this.storeLost) {
			this.storeLost = false;
			this.reregistrationEndNanos = nowNanos + REREGISTRATION_WINDOW.toNanos();
		}
	}

	private void put(Item<UpstreamRecord> item, long nowNanos) {
		Optional<UpstreamRecord> value = item.value();
		if (value.isEmpty()) {
			remove(item.name(), nowNanos);
			return;
		}
		this.lapsed.remove(item.name());
		this.listed.put(item.name(), value.get());
	}

	private void remove(String id, long nowNanos) {
		UpstreamRecord previous = this.listed.remove(id);
		if (previous != null && !previous.leaving() && nowNanos < this.reregistrationEndNanos) {
			this.lapsed.put(id, previous);
		}
	}

	/**
	 * Drops the lapsed upstreams that have not registered again in time.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void expire(long nowNanos) {
		if (!this.lapsed.isEmpty() && nowNanos >= this.reregistrationEndNanos) {
			this.lapsed.clear();
			this.readyByService.clear();
		}
	}

	/**
	 * Returns the upstreams of a service that may get requests.
	 * @param service the service's name
	 * @return the upstreams, sorted by identifier
	 */
	public List<UpstreamRecord> ready(String service) {
		return this.readyByService.computeIfAbsent(service, this::collect);
	}

	private List<UpstreamRecord> collect(String service) {
		return Stream.concat(this.listed.values().stream(), this.lapsed.values().stream())
			.filter((upstream) -> !upstream.leaving() && upstream.service().equals(service))
			.sorted(Comparator.comparing(UpstreamRecord::id))
			.toList();
	}

	/**
	 * Returns whether an upstream may get requests.
	 * @param id the upstream's identifier
	 * @return whether it is listed, or kept although its entry lapsed, and not leaving
	 */
	public boolean accepts(String id) {
		UpstreamRecord found = this.listed.getOrDefault(id, this.lapsed.get(id));
		return found != null && !found.leaving();
	}

	/**
	 * Returns the identifiers of all known upstreams, including leaving and lapsed ones.
	 * @return the identifiers
	 */
	public Set<String> identifiers() {
		Set<String> all = new HashSet<>(this.listed.keySet());
		all.addAll(this.lapsed.keySet());
		return all;
	}

}
