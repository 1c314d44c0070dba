package io.bulrushrouter.gateway.upstream;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;

import io.bulrushrouter.gateway.source.UpstreamRecord;

/**
 * Selects a warm upstream before a cold one. Cold upstreams are selected, by least load,
 * when each warm one is ejected, unresponsive or fully loaded. Not thread-safe.
 */
public final class WarmFirst {

	private final UpstreamSelector selector;

	private final WarmupLimits warmup;

	private final IntSupplier entries;

	/**
	 * Creates an instance.
	 * @param selector selects among upstreams that are alike
	 * @param warmup the limits of cold upstreams
	 * @param entries returns the number of live entries
	 */
	public WarmFirst(UpstreamSelector selector, WarmupLimits warmup, IntSupplier entries) {
		this.selector = selector;
		this.warmup = warmup;
		this.entries = entries;
	}

	/**
	 * Selects an upstream.
	 * @param candidates the upstreams that accept requests now
	 * @param tried the identifiers of the upstreams that are not selected again
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the upstream, or empty if the request may be sent to none
	 */
	public Optional<UpstreamRecord> pick(List<UpstreamRecord> candidates, Set<String> tried, long nowNanos) {
		List<UpstreamRecord> warm = this.warmup.warm(candidates, nowNanos);
		Optional<UpstreamRecord> best = this.selector.pick(warm, tried, nowNanos);
		if (warm.size() == candidates.size() || best.filter((found) -> hasSlot(found, nowNanos)).isPresent()) {
			return best;
		}
		List<UpstreamRecord> cold = candidates.stream()
			.filter((candidate) -> this.warmup.cold(candidate, nowNanos))
			.toList();
		return this.selector.pick(cold, tried, nowNanos).or(() -> best);
	}

	// The other entries are taken to have as many requests in flight there as this one.
	private boolean hasSlot(UpstreamRecord upstream, long nowNanos) {
		return this.selector.usable(upstream.id(), nowNanos)
				&& this.selector.inFlight(upstream.id()) * this.entries.getAsInt() < upstream.slots();
	}

}
