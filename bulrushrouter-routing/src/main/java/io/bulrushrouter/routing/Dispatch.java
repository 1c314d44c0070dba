package io.bulrushrouter.routing;

import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.Priority;

/**
 * A request that waits in a {@link FairQueue} or was dispatched by it.
 *
 * @param item the request
 * @param organisation its organisation
 * @param priority its priority
 * @param costTokens its expected cost, in tokens; 1 for a plain service
 * @param deadlineNanos its deadline, in nanoseconds
 * @param offeredNanos when it was offered to the queue, in nanoseconds
 * @param overShare whether its organisation was over its fair share when the request was
 * dispatched; the engine should then run other requests first
 * @param <T> the type of the request
 */
public record Dispatch<T>(T item, OrganisationId organisation, Priority priority, long costTokens, long deadlineNanos,
		long offeredNanos, boolean overShare) {

	Dispatch<T> withOverShare(boolean isOverShare) {
		return new Dispatch<>(this.item, this.organisation, this.priority, this.costTokens, this.deadlineNanos,
				this.offeredNanos, isOverShare);
	}

}
