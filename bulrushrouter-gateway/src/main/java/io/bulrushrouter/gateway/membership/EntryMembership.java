package io.bulrushrouter.gateway.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import io.bulrushrouter.gateway.source.EntryHeartbeat;
import io.bulrushrouter.gateway.upstream.LimitShare;

/**
 * The entries that are alive, judged by their heartbeats in the store. An entry counts as
 * alive until its heartbeat has been the same in several listings in a row, so that a
 * store that is down, or restored from an older copy, removes nobody. Counting an entry
 * too many only makes shares smaller. Not thread-safe.
 */
public final class EntryMembership implements LimitShare {

	/** Listings in a row without a new heartbeat after which an entry counts as gone. */
	private static final int MAX_MISSED_HEARTBEATS = 6;

	/** Number of entries assumed before the first listing. */
	private static final int ASSUMED_ENTRIES = 20;

	/**
	 * The limit of an upstream is divided among this many entries and one more for each
	 * request per second of the limit. Each of them may send one request at any time.
	 */
	private static final int EXTRA_SENDERS = 4;

	/**
	 * Interval at which all other entries together send at most one request to a limited
	 * upstream, by which they notice that the limit is lifted.
	 */
	private static final double PROBE_INTERVAL_SECONDS = 4;

	/**
	 * Failed listings in a row after which this entry counts as disconnected from the
	 * store. It is below {@link #MAX_MISSED_HEARTBEATS}, after which the other entries
	 * divide its shares among themselves.
	 */
	private static final int LISTINGS_UNTIL_DISCONNECTED = 3;

	/**
	 * Part of the sending entries that still send when they are disconnected. If half of
	 * the entries are disconnected and the other half has divided their shares, both
	 * together stay below one and a half times the limit, also when all send at the same
	 * moment. If all are disconnected, a quarter of the limit is used.
	 */
	private static final double DISCONNECTED_SENDERS = 0.25;

	private final String self;

	private final Map<String, Sighting> sightings = new HashMap<>();

	private final Map<String, Integer> positions = new HashMap<>();

	private Set<String> live;

	private boolean listed;

	private int failedListings;

	/**
	 * Creates the membership.
	 * @param self the name of this entry, which always counts as alive
	 */
	public EntryMembership(String self) {
		this.self = self;
		this.live = Set.of(self);
	}

	/**
	 * Records a listing of all heartbeats.
	 * @param heartbeats the heartbeats in the store
	 */
	public void listed(Collection<EntryHeartbeat> heartbeats) {
		this.listed = true;
		this.failedListings = 0;
		this.sightings.replaceAll((instance, sighting) -> sighting.missed());
		heartbeats
			.forEach((heartbeat) -> this.sightings.merge(heartbeat.instance(), new Sighting(heartbeat.revision(), 0),
					(known, seen) -> (known.revision() != seen.revision()) ? seen : known));
		this.sightings.values().removeIf((sighting) -> sighting.missedHeartbeats() >= MAX_MISSED_HEARTBEATS);
		this.live = new TreeSet<>(this.sightings.keySet());
		this.live.add(this.self);
		this.positions.clear();
	}

	/**
	 * Records that the heartbeats could not be listed.
	 */
	public void listingFailed() {
		this.failedListings++;
	}

	/**
	 * Returns the number of entries among which a shared quantity is divided.
	 * @return the number of live entries, this one included, or an assumption before the
	 * first listing
	 */
	public int size() {
		return this.listed ? this.live.size() : ASSUMED_ENTRIES;
	}

	/**
	 * Returns this entry's equal share of a quantity that is allowed to all entries
	 * together. One more entry than known is counted, since a new one is only seen with
	 * the next listing.
	 * @param total the quantity allowed to all entries
	 * @return the share of this entry
	 */
	public double equalShare(double total) {
		return total / (size() + 1);
	}

	/**
	 * Returns this entry's share of the limit of an upstream. A few entries share the
	 * limit, so that even if each of them sends at the same moment the sum stays near it;
	 * which ones depends on the upstream. An entry that does not know the others yet is
	 * not among them.
	 * @param upstream the upstream's identifier
	 * @param requestsPerSecond the limit over all entries
	 * @return the share in requests per second, above 0
	 */
	@Override
	public double share(String upstream, double requestsPerSecond) {
		// Each position has an interval of its own, so that entries which learned of the
		// limit together do not probe together.
		double probing = 1 / (PROBE_INTERVAL_SECONDS * (size() + sharePosition(upstream)));
		return sends(upstream, requestsPerSecond) ? Math.max(probing, requestsPerSecond / senders(requestsPerSecond))
				: probing;
	}

	@Override
	public boolean sends(String upstream, double requestsPerSecond) {
		int senders = senders(requestsPerSecond);
		boolean disconnected = this.failedListings >= LISTINGS_UNTIL_DISCONNECTED;
		int sending = disconnected ? (int) Math.max(1, DISCONNECTED_SENDERS * senders) : senders;
		return this.listed && sharePosition(upstream) < sending;
	}

	private int senders(double requestsPerSecond) {
		return Math.min(size(), EXTRA_SENDERS + (int) requestsPerSecond);
	}

	private int sharePosition(String upstream) {
		return this.positions.computeIfAbsent(upstream, this::position);
	}

	/**
	 * Returns the position of this entry among the live entries by rendezvous hashing.
	 * @param key what the entries are ordered for, such as an upstream's identifier
	 * @return the position from 0, the last one while the others are unknown
	 */
	public int position(String key) {
		if (!this.listed) {
			return ASSUMED_ENTRIES - 1;
		}
		long own = score(key, this.self);
		return (int) this.live.stream().filter((instance) -> score(key, instance) < own).count();
	}

	// The finalizer of SplitMix64 over both names.
	private static long score(String upstream, String instance) {
		long mixed = ((long) upstream.hashCode() << 32) ^ (instance.hashCode() & 0xffffffffL);
		mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
		return mixed ^ (mixed >>> 31);
	}

	/**
	 * The newest heartbeat of an entry.
	 *
	 * @param revision the revision of the heartbeat in the store
	 * @param missedHeartbeats the listings since it was first seen
	 */
	private record Sighting(long revision, int missedHeartbeats) {

		Sighting missed() {
			return new Sighting(this.revision, this.missedHeartbeats + 1);
		}

	}

}
