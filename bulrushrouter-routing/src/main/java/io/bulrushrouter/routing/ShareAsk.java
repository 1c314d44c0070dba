package io.bulrushrouter.routing;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * An entry's wish for tokens of an organisation's limit, sent to the holder of the limit.
 *
 * @param organisation the organisation
 * @param model the model
 * @param holder which of the limit's holders is asked, from 0
 * @param sequence rises with each ask of the entry; the grant repeats it
 * @param neededTokens tokens that requests wait for
 * @param leastTokens tokens below which none of these requests can go on
 * @param aheadTokens further tokens that the entry expects to use soon
 * @param returnedTokens tokens of earlier grants that the entry gives back
 */
public record ShareAsk(OrganisationId organisation, ModelId model, int holder, long sequence, long neededTokens,
		long leastTokens, long aheadTokens, long returnedTokens) {
}
