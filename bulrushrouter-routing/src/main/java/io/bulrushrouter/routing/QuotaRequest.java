package io.bulrushrouter.routing;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * An entry's wish for tokens of an organisation's limit, sent to the holder of the limit.
 *
 * @param organisation the organisation
 * @param model the model
 * @param allocator which of the limit's holders is asked, from 0
 * @param sequence rises with each ask of the entry; the grant repeats it
 * @param neededTokens tokens that requests wait for
 * @param minTokens tokens below which none of these requests can go on
 * @param prefetchTokens further tokens that the entry expects to use soon
 * @param returnedTokens tokens of earlier grants that the entry gives back
 */
public record QuotaRequest(OrganisationId organisation, ModelId model, int allocator, long sequence, long neededTokens,
		long minTokens, long prefetchTokens, long returnedTokens) {
}
