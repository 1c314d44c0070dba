package io.bulrushrouter.routing;

import java.util.Arrays;

/**
 * A fixed-size hash table of the prompt prefixes that an upstream is estimated to cache.
 * A new prefix replaces the one in its slot.
 */
final class CachedPrefixTable {

	/** Slots per upstream, a power of two; 64 slots take about 1 KB. */
	private static final int SLOTS = 64;

	/** Time after which an entry expires unless it is added again, in nanoseconds. */
	private static final long ENTRY_TTL_NANOS = 60_000_000_000L;

	private final long[] digests = new long[SLOTS];

	private final int[] cachedTokens = new int[SLOTS];

	private final long[] addedNanos = new long[SLOTS];

	int cachedTokens(long digest, long nowNanos) {
		int slot = slot(digest);
		boolean isPresent = this.digests[slot] == digest && nowNanos - this.addedNanos[slot] < ENTRY_TTL_NANOS;
		return isPresent ? this.cachedTokens[slot] : 0;
	}

	void add(long digest, int tokenCount, long nowNanos) {
		int slot = slot(digest);
		this.digests[slot] = digest;
		this.cachedTokens[slot] = tokenCount;
		this.addedNanos[slot] = nowNanos;
	}

	void clear() {
		Arrays.fill(this.cachedTokens, 0);
	}

	private static int slot(long digest) {
		return (int) ((digest * 0x9E3779B97F4A7C15L) >>> 58);
	}

}
