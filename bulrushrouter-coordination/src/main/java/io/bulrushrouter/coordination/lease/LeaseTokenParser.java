package io.bulrushrouter.coordination.lease;

import java.util.Optional;

import io.bulrushrouter.kernel.store.ReadResult;

/**
 * Reads a lease's fencing number without contending for the lease.
 */
public final class LeaseTokenParser {

	private LeaseTokenParser() {
	}

	/**
	 * Returns the number of the latest acquisition.
	 * @param result the lease's object as it was read
	 * @return the number, {@link FencingToken#NONE} if the lease was never acquired, or
	 * empty if the store did not answer or the object is malformed
	 */
	public static Optional<FencingToken> parse(ReadResult result) {
		if (result instanceof ReadResult.Found found) {
			return LeaseRecord.ofBytes(found.object().value()).map(LeaseRecord::fence);
		}
		return (result instanceof ReadResult.Absent) ? Optional.of(FencingToken.NONE) : Optional.empty();
	}

}
