package io.bulrushrouter.routing;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * The holder's answer to a {@link ShareAsk}.
 *
 * @param organisation the organisation
 * @param model the model
 * @param holder which of the limit's holders grants, from 0
 * @param sequence the ask's number
 * @param fence the fencing number of the holder's lease; an entry ignores lower ones
 * @param tokens tokens that the entry may use, 0 if none are free
 * @param lifeNanos how long they may be used, in nanoseconds from the ask's sending
 * @param retryAfterNanos when tokens should be free again, in nanoseconds; 0 if some were
 * granted
 */
public record ShareGrant(OrganisationId organisation, ModelId model, int holder, long sequence, long fence, long tokens,
		long lifeNanos, long retryAfterNanos) {
}
