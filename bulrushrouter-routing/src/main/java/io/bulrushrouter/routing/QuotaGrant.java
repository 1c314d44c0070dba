package io.bulrushrouter.routing;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * The holder's answer to a {@link QuotaRequest}.
 *
 * @param organisation the organisation
 * @param model the model
 * @param allocator which of the limit's holders grants, from 0
 * @param sequence the ask's number
 * @param fence the fencing number of the holder's lease; an entry ignores lower ones
 * @param tokens tokens that the entry may use, 0 if none are free
 * @param ttlNanos how long they may be used, in nanoseconds from the ask's sending
 * @param retryAfterNanos when tokens should be free again, in nanoseconds; 0 if some were
 * granted
 */
public record QuotaGrant(OrganisationId organisation, ModelId model, int allocator, long sequence, long fence,
		long tokens, long ttlNanos, long retryAfterNanos) {
}
