package io.bulrushrouter.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Measures the load of a sidecar's upstream: the prompt tokens without a first token yet,
 * the prefill time per token, and the prefixes that the engine should cache. The
 * measurements come from the sidecar's own requests and do not depend on the engine's
 * metrics. Not thread-safe.
 *
 * <pre>{@code
 * tracker.accepted(key, prefixDigest, prefixTokens, promptTokens, now);
 * tracker.firstToken(key, now);
 * tracker.ended(key);
 * LoadReport answer = tracker.report(List.of(prefixDigest), now);
 * }</pre>
 */
public final class LoadTracker {

	/** Factor by which each measurement reduces the weight of earlier ones. */
	private static final double DECAY = 0.97;

	private static final double NANOS_PER_MILLI = 1e6;

	private final long incarnation;

	private final PrefixCacheEstimate prefixCache;

	private final Map<Long, PendingRequest> pending = new LinkedHashMap<>();

	private final Map<Long, Boolean> running = new HashMap<>();

	private long sequence;

	private long queuedTokens;

	private double kvUse;

	private double measuredMillis;

	private double measuredTokens;

	private long lastFirstTokenNanos;

	private LoadTracker(long incarnation, PrefixCacheEstimate prefixCache, long nowNanos) {
		this.incarnation = incarnation;
		this.prefixCache = prefixCache;
		this.lastFirstTokenNanos = nowNanos;
	}

	/**
	 * Returns a tracker of an idle upstream.
	 * @param incarnation the sidecar's incarnation
	 * @param cacheTokens the size of the engine's prefix cache, in tokens
	 * @param nowNanos the time, in nanoseconds
	 * @return the tracker
	 */
	public static LoadTracker of(long incarnation, long cacheTokens, long nowNanos) {
		return new LoadTracker(incarnation, new PrefixCacheEstimate(cacheTokens), nowNanos);
	}

	/**
	 * Records that a request was accepted.
	 * @param key identifies the attempt within this sidecar
	 * @param prefixDigest the hash of the prompt's prefix
	 * @param prefixTokens the length of the prefix, in tokens
	 * @param promptTokens the prompt's length, in tokens
	 * @param nowNanos the time, in nanoseconds
	 */
	public void accepted(long key, long prefixDigest, int prefixTokens, int promptTokens, long nowNanos) {
		int cached = Math.min(prefixTokens, this.prefixCache.cachedTokens(prefixDigest));
		PendingRequest request = new PendingRequest(cached, this.prefixCache.isEngineReported(prefixDigest),
				promptTokens, nowNanos);
		this.pending.put(key, request);
		this.queuedTokens += request.uncachedTokens();
		this.prefixCache.recordUse(prefixDigest, prefixTokens);
	}

	/**
	 * Records a request's first token, or a plain service's answer.
	 * @param key identifies the attempt
	 * @param nowNanos the time, in nanoseconds
	 */
	public void firstToken(long key, long nowNanos) {
		PendingRequest request = this.pending.remove(key);
		if (request == null) {
			return;
		}
		this.queuedTokens -= request.uncachedTokens();
		this.running.put(key, Boolean.TRUE);
		double millis = (nowNanos - Math.max(request.acceptedNanos(), this.lastFirstTokenNanos)) / NANOS_PER_MILLI;
		this.lastFirstTokenNanos = nowNanos;
		recordPrefill(request, millis);
	}

	private void recordPrefill(PendingRequest request, double millis) {
		double millisIfCached = request.uncachedTokens() * millisPerToken();
		double millisIfUncached = request.promptTokens() * millisPerToken();
		// A time above the geometric mean of both predictions counts as a cache miss.
		boolean missed = request.engineReported() && millisIfCached > 0
				&& millis * millis > millisIfCached * millisIfUncached;
		if (request.engineReported()) {
			this.prefixCache.recordCheck(!missed);
		}
		int tokens = missed ? request.promptTokens() : request.uncachedTokens();
		this.measuredMillis = this.measuredMillis * DECAY + millis;
		this.measuredTokens = this.measuredTokens * DECAY + tokens;
	}

	/**
	 * Records that a request ended, whether or not it produced a first token.
	 * @param key identifies the attempt
	 */
	public void ended(long key) {
		this.running.remove(key);
		PendingRequest request = this.pending.remove(key);
		if (request != null) {
			this.queuedTokens -= request.uncachedTokens();
		}
	}

	/**
	 * Applies the engine's report that it cached or evicted a prefix. Reports of cached
	 * prefixes are ignored once prefill times show that they are wrong.
	 * @param prefixDigest the hash of the prefix
	 * @param cachedTokens the number of its tokens that are cached; 0 if it was evicted
	 */
	public void cacheEvent(long prefixDigest, int cachedTokens) {
		this.prefixCache.recordCacheEvent(prefixDigest, cachedTokens);
	}

	/**
	 * Records the engine's report of its KV cache use.
	 * @param kvUse the used part, 0 to 1
	 */
	public void kvUse(double kvUse) {
		this.kvUse = kvUse;
	}

	/**
	 * Returns the measured prefill time per prompt token.
	 * @return the time, in milliseconds; 0 before the first measurement
	 */
	public double millisPerToken() {
		return (this.measuredTokens > 0) ? this.measuredMillis / this.measuredTokens : 0;
	}

	/**
	 * Returns a report of the current load.
	 * @param prefixDigests the hashes of the prefixes to report on
	 * @param nowNanos the time, in nanoseconds
	 * @return the report
	 */
	public LoadReport report(List<Long> prefixDigests, long nowNanos) {
		this.sequence++;
		List<PrefixHint> hints = prefixDigests.stream()
			.map((digest) -> new PrefixHint(digest, this.prefixCache.cachedTokens(digest)))
			.toList();
		return new LoadReport(this.incarnation, this.sequence, 0, remainingTokens(nowNanos), this.running.size(),
				this.kvUse, millisPerToken(), hints);
	}

	private long remainingTokens(long nowNanos) {
		if (this.pending.isEmpty() || millisPerToken() <= 0) {
			return this.queuedTokens;
		}
		PendingRequest first = this.pending.values().iterator().next();
		double millis = (nowNanos - Math.max(first.acceptedNanos(), this.lastFirstTokenNanos)) / NANOS_PER_MILLI;
		long prefilledTokens = Math.min(first.uncachedTokens(), (long) (millis / millisPerToken()));
		return this.queuedTokens - prefilledTokens;
	}

	/**
	 * A request without a first token yet.
	 *
	 * @param cachedTokens prompt tokens estimated to be cached
	 * @param engineReported whether only the engine's report says that they are
	 * @param promptTokens its prompt's length, in tokens
	 * @param acceptedNanos when it was accepted, in nanoseconds
	 */
	private record PendingRequest(int cachedTokens, boolean engineReported, int promptTokens, long acceptedNanos) {

		int uncachedTokens() {
			return Math.max(1, this.promptTokens - this.cachedTokens);
		}

	}

}
