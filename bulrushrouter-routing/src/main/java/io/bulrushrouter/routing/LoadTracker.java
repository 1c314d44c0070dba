package io.bulrushrouter.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The sidecar's own measure of its upstream: what it accepted and has not seen a first
 * token of, how fast prompts are prefilled, and which prefixes should be cached. It does
 * not depend on what the engine says of itself. One thread owns it.
 *
 * <pre>{@code
 * tracker.accepted(key, prefixDigest, prefixTokens, promptTokens, now);
 * tracker.firstToken(key, now);
 * tracker.ended(key);
 * LoadReport answer = tracker.report(List.of(prefixDigest), now);
 * }</pre>
 */
public final class LoadTracker {

	/** Part of older measurements that each new one keeps. */
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

	private LoadTracker(long incarnation, PrefixCacheEstimate belief, long nowNanos) {
		this.incarnation = incarnation;
		this.prefixCache = belief;
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
	 * Notes that a request was accepted.
	 * @param key names the attempt within this sidecar
	 * @param prefixDigest the hash of the prompt's leading part
	 * @param prefixTokens the length of that part
	 * @param promptTokens the prompt's length
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
	 * Notes that a request's first token came, or a plain service's answer.
	 * @param key names the attempt
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
		double ifCached = request.uncachedTokens() * millisPerToken();
		double ifNot = request.promptTokens() * millisPerToken();
		boolean missed = request.engineReported() && ifCached > 0 && millis * millis > ifCached * ifNot;
		if (request.engineReported()) {
			this.prefixCache.recordCheck(!missed);
		}
		int tokens = missed ? request.promptTokens() : request.uncachedTokens();
		this.measuredMillis = this.measuredMillis * DECAY + millis;
		this.measuredTokens = this.measuredTokens * DECAY + tokens;
	}

	/**
	 * Notes that a request ended, whether or not its first token came.
	 * @param key names the attempt
	 */
	public void ended(long key) {
		this.running.remove(key);
		PendingRequest request = this.pending.remove(key);
		if (request != null) {
			this.queuedTokens -= request.uncachedTokens();
		}
	}

	/**
	 * Takes the engine's word on a cached prefix. It is believed until prefill times show
	 * that the engine's events are wrong.
	 * @param prefixDigest the hash of the prefix
	 * @param cachedTokens how many of its tokens are cached; 0 if it was evicted
	 */
	public void cacheEvent(long prefixDigest, int cachedTokens) {
		this.prefixCache.recordCacheEvent(prefixDigest, cachedTokens);
	}

	/**
	 * Takes the engine's word on its KV cache.
	 * @param kvUse the used part, 0 to 1
	 */
	public void kvUse(double kvUse) {
		this.kvUse = kvUse;
	}

	/**
	 * Returns the measured prefill time a prompt token.
	 * @return milliseconds, or 0 before the first measurement
	 */
	public double millisPerToken() {
		return (this.measuredTokens > 0) ? this.measuredMillis / this.measuredTokens : 0;
	}

	/**
	 * Returns a report of this moment.
	 * @param prefixDigests the prefixes that were asked about
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
		long done = Math.min(first.uncachedTokens(), (long) (millis / millisPerToken()));
		return this.queuedTokens - done;
	}

	/**
	 * A request whose first token has not come.
	 *
	 * @param cachedTokens tokens thought to be cached
	 * @param engineReported whether only the engine says that they are
	 * @param promptTokens its prompt's length
	 * @param acceptedNanos when it was accepted
	 */
	private record PendingRequest(int cachedTokens, boolean engineReported, int promptTokens, long acceptedNanos) {

		int uncachedTokens() {
			return Math.max(1, this.promptTokens - this.cachedTokens);
		}

	}

}
