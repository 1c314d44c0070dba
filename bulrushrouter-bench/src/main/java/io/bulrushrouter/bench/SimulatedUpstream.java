package io.bulrushrouter.bench;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import io.bulrushrouter.routing.LoadTracker;
import io.bulrushrouter.routing.UpstreamSpec;

/**
 * A simulated upstream of the {@code choice} experiment with a FIFO queue of prompts, a
 * bounded LRU prefix cache and the sidecar's load tracker.
 */
final class SimulatedUpstream {

	/** Prefill time per prompt token at full speed, in milliseconds. */
	static final double MILLIS_PER_TOKEN = 1.0 / 16;

	/** Capacity of the prefix cache, in tokens. */
	static final long CACHE_TOKENS = 60_000;

	final UpstreamSpec spec;

	final LoadTracker tracker;

	final boolean misreporting;

	private final EventScheduler scheduler;

	private final double millisPerToken;

	private final ArrayDeque<Prompt> queue = new ArrayDeque<>();

	private final LinkedHashMap<Long, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);

	private long cachedTokens;

	private long headDoneNanos;

	private double busyMillis;

	private long cacheHits;

	private long servedPrompts;

	SimulatedUpstream(UpstreamSpec spec, EventScheduler scheduler, double slowness, boolean lying) {
		this.spec = spec;
		this.scheduler = scheduler;
		this.millisPerToken = MILLIS_PER_TOKEN * slowness;
		this.misreporting = lying;
		this.tracker = LoadTracker.of(1, CACHE_TOKENS, 0);
	}

	void accept(Prompt prompt) {
		this.tracker.accepted(prompt.key(), prompt.digest(), prompt.prefixTokens(), prompt.tokens(),
				this.scheduler.nowNanos());
		this.queue.add(prompt);
		if (this.queue.size() == 1) {
			beginPrefill();
		}
	}

	private void beginPrefill() {
		Prompt prompt = this.queue.peek();
		double millis = prefillMillis(prompt);
		this.cacheHits += this.cache.containsKey(prompt.digest()) ? 1 : 0;
		this.servedPrompts++;
		cachePrefix(prompt);
		this.busyMillis += millis;
		this.headDoneNanos = this.scheduler.nowNanos() + (long) (millis * 1e6);
		this.scheduler.at(this.headDoneNanos, this::endPrefill);
	}

	private void endPrefill() {
		Prompt prompt = this.queue.poll();
		this.tracker.firstToken(prompt.key(), this.scheduler.nowNanos());
		this.tracker.ended(prompt.key());
		prompt.firstToken().run();
		if (!this.queue.isEmpty()) {
			beginPrefill();
		}
	}

	private double prefillMillis(Prompt prompt) {
		int cached = this.cache.containsKey(prompt.digest()) ? prompt.prefixTokens() : 0;
		return (prompt.tokens() - cached) * this.millisPerToken;
	}

	private void cachePrefix(Prompt prompt) {
		if (this.cache.put(prompt.digest(), prompt.prefixTokens()) == null) {
			this.cachedTokens += prompt.prefixTokens();
		}
		Iterator<Map.Entry<Long, Integer>> eldest = this.cache.entrySet().iterator();
		while (this.cachedTokens > CACHE_TOKENS) {
			this.cachedTokens -= eldest.next().getValue();
			eldest.remove();
		}
	}

	/**
	 * Returns the exact time until the prefill of a prompt that arrives now would begin.
	 * Only the oracle strategy may use it, as a real chooser cannot know it.
	 * @return the time, in milliseconds
	 */
	double exactWaitMillis() {
		double millis = this.queue.isEmpty() ? 0 : (this.headDoneNanos - this.scheduler.nowNanos()) / 1e6;
		Iterator<Prompt> iterator = this.queue.iterator();
		if (iterator.hasNext()) {
			iterator.next();
		}
		while (iterator.hasNext()) {
			millis += prefillMillis(iterator.next());
		}
		return millis;
	}

	double exactPrefillMillis(Prompt prompt) {
		boolean cached = this.cache.containsKey(prompt.digest())
				|| this.queue.stream().anyMatch((one) -> one.digest() == prompt.digest());
		return (prompt.tokens() - (cached ? prompt.prefixTokens() : 0)) * this.millisPerToken;
	}

	double busyMillis() {
		return this.busyMillis;
	}

	long cacheHits() {
		return this.cacheHits;
	}

	long servedPrompts() {
		return this.servedPrompts;
	}

	/**
	 * A prompt to prefill.
	 *
	 * @param key the number of the request
	 * @param digest the digest of the prefix
	 * @param prefixTokens the length of the prefix, in tokens
	 * @param tokens the length of the prompt including the prefix, in tokens
	 * @param firstToken the action to run at the first token
	 */
	record Prompt(long key, long digest, int prefixTokens, int tokens, Runnable firstToken) {
	}

}
