package io.bulrushrouter.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which prefixes an engine should cache: those used last, up to the cache's size, and
 * those that the engine claims for as long as its claims prove right.
 */
final class PrefixBelief {

	/** Claims are believed at or above this trust. */
	private static final double BELIEVED = 0.5;

	private static final double GAIN = 0.2;

	private final long capacityTokens;

	/** Least recently used first; asking for an entry does not count as use. */
	private final Map<Long, Entry> entries = new LinkedHashMap<>();

	private long heldTokens;

	private double trust = 1;

	PrefixBelief(long capacityTokens) {
		this.capacityTokens = capacityTokens;
	}

	int tokens(long digest) {
		Entry entry = this.entries.get(digest);
		return (entry != null) ? entry.tokens() : 0;
	}

	boolean isClaimed(long digest) {
		Entry entry = this.entries.get(digest);
		return entry != null && entry.claimed();
	}

	void used(long digest, int tokens) {
		put(digest, new Entry(tokens, false));
	}

	void claimed(long digest, int tokens) {
		Entry known = this.entries.get(digest);
		if (tokens == 0) {
			remove(digest);
		}
		else if (known == null && this.trust >= BELIEVED) {
			put(digest, new Entry(tokens, true));
		}
	}

	void checked(boolean right) {
		this.trust += GAIN * ((right ? 1 : 0) - this.trust);
		if (!right) {
			this.entries.values().removeIf(this::isDoubtful);
			this.heldTokens = this.entries.values().stream().mapToLong(Entry::tokens).sum();
		}
	}

	private boolean isDoubtful(Entry entry) {
		return entry.claimed() && this.trust < BELIEVED;
	}

	private void put(long digest, Entry entry) {
		remove(digest);
		this.entries.put(digest, entry);
		this.heldTokens += entry.tokens();
		Iterator<Map.Entry<Long, Entry>> eldest = this.entries.entrySet().iterator();
		while (this.heldTokens > this.capacityTokens && eldest.hasNext()) {
			this.heldTokens -= eldest.next().getValue().tokens();
			eldest.remove();
		}
	}

	private void remove(long digest) {
		Entry entry = this.entries.remove(digest);
		if (entry != null) {
			this.heldTokens -= entry.tokens();
		}
	}

	/**
	 * A prefix.
	 *
	 * @param tokens its length
	 * @param claimed whether only the engine says so
	 */
	private record Entry(int tokens, boolean claimed) {
	}

}
