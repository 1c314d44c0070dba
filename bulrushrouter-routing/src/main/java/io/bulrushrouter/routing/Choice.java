package io.bulrushrouter.routing;

import java.util.List;
import java.util.Optional;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * The outcome of a choice, with what the decision log needs.
 *
 * @param upstream the chosen upstream, or empty if none can take the request
 * @param candidates the upstreams that were compared, cheapest first
 * @param reason why
 */
public record Choice(Optional<UpstreamId> upstream, List<Candidate> candidates, ChoiceReason reason) {

	/**
	 * Returns a choice of an upstream.
	 * @param candidates the upstreams that were compared, the chosen one first
	 * @param reason why
	 * @return the choice
	 */
	public static Choice of(List<Candidate> candidates, ChoiceReason reason) {
		return new Choice(Optional.of(candidates.get(0).upstream()), candidates, reason);
	}

	/**
	 * Returns a choice of no upstream.
	 * @param reason why
	 * @return the choice
	 */
	public static Choice ofNone(ChoiceReason reason) {
		return new Choice(Optional.empty(), List.of(), reason);
	}

}
