package io.bulrushrouter.routing;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.Priority;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * The properties of a request that decide the choice of its upstream.
 *
 * @param model the model or plain service
 * @param organisation the caller's organisation
 * @param priority the request's priority
 * @param prefixDigest the hash of the prompt's prefix
 * @param prefixTokens the length of the prefix, in tokens; 0 for none
 * @param promptTokens an estimate of the prompt's length, in tokens; 1 for a plain
 * service
 * @param dataCentre the data centre of the entry that received the request
 * @param excluded upstreams that must not be chosen, such as those of failed attempts
 */
public record RouteQuery(ModelId model, OrganisationId organisation, Priority priority, long prefixDigest,
		int prefixTokens, int promptTokens, DataCentreId dataCentre, Set<UpstreamId> excluded) {

	/**
	 * Creates a query with a copy of the excluded upstreams.
	 */
	public RouteQuery {
		Objects.requireNonNull(model);
		Objects.requireNonNull(organisation);
		Objects.requireNonNull(priority);
		Objects.requireNonNull(dataCentre);
		excluded = Set.copyOf(excluded);
	}

	/**
	 * Returns this query with one more excluded upstream, for the next attempt.
	 * @param upstream the upstream to exclude
	 * @return the query
	 */
	public RouteQuery excluding(UpstreamId upstream) {
		Set<UpstreamId> allExcluded = new HashSet<>(this.excluded);
		allExcluded.add(upstream);
		return new RouteQuery(this.model, this.organisation, this.priority, this.prefixDigest, this.prefixTokens,
				this.promptTokens, this.dataCentre, allExcluded);
	}

}
