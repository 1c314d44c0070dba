package io.bulrushrouter.routing;

import java.util.List;
import java.util.Optional;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * The result of choosing an upstream for a request, with the details that the decision
 * log records.
 *
 * @param upstream the chosen upstream, or empty if none can take the request
 * @param candidates the upstreams that were compared, lowest cost first
 * @param reason why the upstream, or none, was chosen
 */
public record Choice(Optional<UpstreamId> upstream, List<Candidate> candidates, ChoiceReason reason) {

	/**
	 * Returns the choice of the first candidate.
	 * @param candidates the upstreams that were compared, the chosen one first
	 * @param reason why the upstream was chosen
	 * @return the choice
	 */
	public static Choice of(List<Candidate> candidates, ChoiceReason reason) {
		return new Choice(Optional.of(candidates.get(0).upstream()), candidates, reason);
	}

	/**
	 * Returns a choice without an upstream.
	 * @param reason why no upstream was chosen
	 * @return the choice
	 */
	public static Choice ofNone(ChoiceReason reason) {
		return new Choice(Optional.empty(), List.of(), reason);
	}

}
