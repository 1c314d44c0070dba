package io.bulrushrouter.kernel.store;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

/**
 * The platform's object API. Every call counts against the platform's budget, and so does
 * each waiting watch. The stages never fail: every outcome is a result.
 */
public interface ObjectStore {

	/**
	 * Reads an object.
	 * @param key the object
	 * @return the object, absent or unavailable
	 */
	CompletionStage<ReadResult> read(ObjectKey key);

	/**
	 * Writes an object if it is of the expected version.
	 * @param write the conditional write
	 * @return what came of it
	 */
	CompletionStage<WriteResult> write(Write write);

	/**
	 * Waits for a version of an object that is higher than the given one.
	 * @param key the object
	 * @param afterVersion the version that is known; {@link Write#ABSENT} if none is
	 * @param wait how long to wait at most
	 * @return the object, absent if no higher version came in time, or unavailable
	 */
	CompletionStage<ReadResult> watch(ObjectKey key, long afterVersion, Duration wait);

	/**
	 * Lists the objects whose keys start with a prefix.
	 * @param prefix the prefix, such as {@code plan/}
	 * @return the objects or unavailable
	 */
	CompletionStage<ListResult> list(String prefix);

}
