package io.bulrushrouter.coordination.lease;

import java.util.Optional;

import io.bulrushrouter.kernel.store.ReadResult;

/**
 * Extracts the fencing token from a lease's object, for processes that do not take part
 * in the lease.
 */
public final class LeaseTokenParser {

	private LeaseTokenParser() {
	}

	/**
	 * Returns the fencing token of the latest acquisition.
	 * @param result the result of reading the lease's object
	 * @return the token, {@link FencingToken#NONE} if the lease was never acquired, or
	 * empty if the store did not answer or the object is malformed
	 */
	public static Optional<FencingToken> parse(ReadResult result) {
		if (result instanceof ReadResult.Found found) {
			return LeaseRecord.ofBytes(found.object().value()).map(LeaseRecord::fence);
		}
		return (result instanceof ReadResult.Absent) ? Optional.of(FencingToken.NONE) : Optional.empty();
	}

}
