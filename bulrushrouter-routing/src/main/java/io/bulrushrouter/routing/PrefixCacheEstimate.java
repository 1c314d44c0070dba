package io.bulrushrouter.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which prefixes an engine should cache: those used last, up to the cache's size, and
 * those that the engine claims for as long as its claims prove right.
 */
final class PrefixCacheEstimate {

	/** Claims are believed at or above this trust. */
	private static final double MIN_TRUST = 0.5;

	private static final double TRUST_GAIN = 0.2;

	private final long capacityTokens;

	/** Least recently used first; asking for an entry does not count as use. */
	private final Map<Long, Entry> entries = new LinkedHashMap<>();

	private long totalTokens;

	private double trust = 1;

	PrefixCacheEstimate(long capacityTokens) {
		this.capacityTokens = capacityTokens;
	}

	int cachedTokens(long digest) {
		Entry entry = this.entries.get(digest);
		return (entry != null) ? entry.tokens() : 0;
	}

	boolean isEngineReported(long digest) {
		Entry entry = this.entries.get(digest);
		return entry != null && entry.engineReported();
	}

	void recordUse(long digest, int tokens) {
		put(digest, new Entry(tokens, false));
	}

	void recordCacheEvent(long digest, int tokens) {
		Entry known = this.entries.get(digest);
		if (tokens == 0) {
			remove(digest);
		}
		else if (known == null && this.trust >= MIN_TRUST) {
			put(digest, new Entry(tokens, true));
		}
	}

	void recordCheck(boolean right) {
		this.trust += TRUST_GAIN * ((right ? 1 : 0) - this.trust);
		if (!right) {
			this.entries.values().removeIf(this::isUntrusted);
			this.totalTokens = this.entries.values().stream().mapToLong(Entry::tokens).sum();
		}
	}

	private boolean isUntrusted(Entry entry) {
		return entry.engineReported() && this.trust < MIN_TRUST;
	}

	private void put(long digest, Entry entry) {
		remove(digest);
		this.entries.put(digest, entry);
		this.totalTokens += entry.tokens();
		Iterator<Map.Entry<Long, Entry>> eldest = this.entries.entrySet().iterator();
		while (this.totalTokens > this.capacityTokens && eldest.hasNext()) {
			this.totalTokens -= eldest.next().getValue().tokens();
			eldest.remove();
		}
	}

	private void remove(long digest) {
		Entry entry = this.entries.remove(digest);
		if (entry != null) {
			this.totalTokens -= entry.tokens();
		}
	}

	/**
	 * A prefix.
	 *
	 * @param tokens its length
	 * @param engineReported whether only the engine says so
	 */
	private record Entry(int tokens, boolean engineReported) {
	}

}
