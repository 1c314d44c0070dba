package io.bulrushrouter.routing;

import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.Priority;

/**
 * A request that a {@link FairQueue} holds or handed out.
 *
 * @param item the request
 * @param organisation its organisation
 * @param priority its priority
 * @param costTokens its expected cost, in tokens; 1 for a plain service
 * @param deadlineNanos when its caller gives up, in nanoseconds
 * @param offeredNanos when it was offered, in nanoseconds
 * @param overShare whether its organisation had more than its share when the request was
 * handed out; the engine should then give way to other requests
 * @param <T> the kind of request
 */
public record Dispatch<T>(T item, OrganisationId organisation, Priority priority, long costTokens, long deadlineNanos,
		long offeredNanos, boolean overShare) {

	Dispatch<T> withOverShare(boolean more) {
		return new Dispatch<>(this.item, this.organisation, this.priority, this.costTokens, this.deadlineNanos,
				this.offeredNanos, more);
	}

}
