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
 * What the choice of an upstream needs to know of a request.
 *
 * @param model the model or plain service
 * @param organisation the caller's organisation
 * @param priority how urgent the request is
 * @param prefixDigest a hash of the prompt's leading part
 * @param prefixTokens the length of that leading part, in tokens
 * @param promptTokens an estimate of the prompt's length, in tokens; 1 for a plain
 * service
 * @param dataCentre where the request entered
 * @param excluded upstreams that were tried already
 */
public record RouteQuery(ModelId model, OrganisationId organisation, Priority priority, long prefixDigest,
		int prefixTokens, int promptTokens, DataCentreId dataCentre, Set<UpstreamId> excluded) {

	/**
	 * Checks the parts.
	 */
	public RouteQuery {
		Objects.requireNonNull(model);
		Objects.requireNonNull(organisation);
		Objects.requireNonNull(priority);
		Objects.requireNonNull(dataCentre);
		excluded = Set.copyOf(excluded);
	}

	/**
	 * Returns the query of the next attempt, which must avoid one more upstream.
	 * @param upstream the upstream that failed
	 * @return the query
	 */
	public RouteQuery excluding(UpstreamId upstream) {
		Set<UpstreamId> more = new HashSet<>(this.excluded);
		more.add(upstream);
		return new RouteQuery(this.model, this.organisation, this.priority, this.prefixDigest, this.prefixTokens,
				this.promptTokens, this.dataCentre, more);
	}

}
