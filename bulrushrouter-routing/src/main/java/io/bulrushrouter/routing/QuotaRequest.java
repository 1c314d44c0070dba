package io.bulrushrouter.routing;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * An entry's request for tokens of an organisation's limit, sent to one of the limit's
 * allocators.
 *
 * @param organisation the organisation
 * @param model the model
 * @param allocator the index of the allocator among those of the limit, from 0
 * @param sequence increases with each request of the entry; the grant repeats it
 * @param neededTokens tokens that the pending requests need together
 * @param minTokens tokens that the smallest of the pending requests needs; a smaller
 * grant admits none of them
 * @param prefetchTokens further tokens that the entry expects to use soon and would like
 * in advance
 * @param returnedTokens unused tokens of earlier grants that the entry returns
 */
public record QuotaRequest(OrganisationId organisation, ModelId model, int allocator, long sequence, long neededTokens,
		long minTokens, long prefetchTokens, long returnedTokens) {
}
