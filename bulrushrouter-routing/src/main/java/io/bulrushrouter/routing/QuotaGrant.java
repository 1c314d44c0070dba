package io.bulrushrouter.routing;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * An allocator's answer to a {@link QuotaRequest}.
 *
 * @param organisation the organisation
 * @param model the model
 * @param allocator the index of the allocator among those of the limit, from 0
 * @param sequence the sequence number of the request
 * @param fence the fencing token of the allocator's lease; an entry ignores grants with a
 * lower one than it has seen
 * @param tokens tokens that the entry may use; 0 if none are free
 * @param ttlNanos how long the tokens may be used, in nanoseconds from when the request
 * was sent
 * @param retryAfterNanos the time after which tokens should be free again, in
 * nanoseconds; 0 if tokens were granted or none were needed
 */
public record QuotaGrant(OrganisationId organisation, ModelId model, int allocator, long sequence, long fence,
		long tokens, long ttlNanos, long retryAfterNanos) {
}
