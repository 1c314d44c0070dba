package io.bulrushrouter.gateway.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.gateway.upstream.TokensInFlight;

/**
 * The memory that one request takes at an engine, in tokens: its prompt and the longest
 * answer that it asks for. An engine whose memory is exceeded crashes. Nothing is limited
 * if the request states no tokens or the service publishes no capacity.
 */
final class EngineTokens {

	private final TokensInFlight inFlight;

	private final OptionalLong capacity;

	private final Optional<Counts> counts;

	/** What the request takes; an answer is cut to what fits beside its prompt. */
	private final long total;

	private Optional<String> reservedAt = Optional.empty();

	/**
	 * Creates the account of a request.
	 * @param inFlight the tokens in flight at all upstreams
	 * @param header the stated counts: prompt tokens, a comma, the maximum of answer
	 * tokens; or {@code null}
	 * @param capacity the tokens that one engine of the service holds, if published
	 */
	EngineTokens(TokensInFlight inFlight, String header, OptionalLong capacity) {
		this.inFlight = inFlight;
		this.capacity = capacity;
		this.counts = Counts.parse(header);
		long stated = this.counts.map((known) -> known.prompt() + known.answer()).orElse(0L);
		this.total = Math.min(stated, capacity.orElse(0));
	}

	/**
	 * Returns why no engine of the service can hold the prompt.
	 * @return the reason, or empty
	 */
	Optional<String> oversize() {
		return this.counts.filter((stated) -> this.capacity.isPresent() && stated.prompt() > this.capacity.getAsLong())
			.map((stated) -> "a prompt of " + stated.prompt() + " tokens exceeds the memory of an engine, "
					+ this.capacity.getAsLong());
	}

	/**
	 * Returns whether an upstream has room beside the requests of this entry.
	 * @param upstream the upstream
	 * @return whether the request fits
	 */
	boolean fits(UpstreamRecord upstream) {
		return this.capacity.isEmpty() || this.inFlight.fits(upstream.id(), this.total, this.capacity.getAsLong());
	}

	/**
	 * Returns the upstreams that have room beside the requests of this entry.
	 * @param candidates the upstreams to choose from
	 * @return those that the request fits
	 */
	List<UpstreamRecord> fitting(List<UpstreamRecord> candidates) {
		return this.capacity.isEmpty() ? candidates : candidates.stream().filter(this::fits).toList();
	}

	/**
	 * Reserves room at an upstream, instead of the one that was reserved before.
	 * @param upstream the upstream
	 */
	void reserve(UpstreamRecord upstream) {
		release();
		if (this.total > 0) {
			this.reservedAt = Optional.of(upstream.id());
			this.inFlight.started(upstream.id(), this.total);
		}
	}

	/**
	 * Releases the room that is reserved, if any.
	 */
	void release() {
		this.reservedAt.ifPresent((id) -> this.inFlight.ended(id, this.total));
		this.reservedAt = Optional.empty();
	}

	private record Counts(long prompt, long answer) {

		private static Optional<Counts> parse(String header) {
			if (header == null) {
				return Optional.empty();
			}
			int comma = header.indexOf(',');
			try {
				long prompt = Long.parseLong(header.substring(0, (comma < 0) ? header.length() : comma).strip());
				long answer = (comma < 0) ? 0 : Long.parseLong(header.substring(comma + 1).strip());
				return (prompt < 0 || answer < 0 || prompt > Integer.MAX_VALUE || answer > Integer.MAX_VALUE)
						? Optional.empty() : Optional.of(new Counts(prompt, answer));
			}
			catch (NumberFormatException ex) {
				return Optional.empty();
			}
		}

	}

}
