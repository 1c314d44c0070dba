package io.bulrushrouter.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates which prefixes an engine caches: those used most recently, up to the cache's
 * size, and those that the engine reports, for as long as prefill times confirm its
 * reports.
 */
final class PrefixCacheEstimate {

	/** Lowest trust at which the engine's reports are used, 0 to 1. */
	private static final double MIN_TRUST = 0.5;

	private static final double TRUST_GAIN = 0.2;

	private final long capacityTokens;

	/** Least recently used first; looking up an entry does not count as use. */
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
		Entry existing = this.entries.get(digest);
		if (tokens == 0) {
			remove(digest);
		}
		else if (existing == null && this.trust >= MIN_TRUST) {
			put(digest, new Entry(tokens, true));
		}
	}

	void recordCheck(boolean correct) {
		this.trust += TRUST_GAIN * ((correct ? 1 : 0) - this.trust);
		if (!correct) {
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
	 * A cached prefix.
	 *
	 * @param tokens its cached length, in tokens
	 * @param engineReported whether only the engine's report says that it is cached
	 */
	private record Entry(int tokens, boolean engineReported) {
	}

}
