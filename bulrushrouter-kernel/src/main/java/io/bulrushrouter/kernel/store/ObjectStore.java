package io.bulrushrouter.kernel.store;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

/**
 * The platform's object API. Each call, including each open watch, counts against the
 * call budget set by the platform. The returned stages never complete exceptionally:
 * failures are results.
 */
public interface ObjectStore {

	/**
	 * Reads an object.
	 * @param key the key of the object
	 * @return the object, absent or unavailable
	 */
	CompletionStage<ReadResult> read(ObjectKey key);

	/**
	 * Writes an object if it has the expected version.
	 * @param write the conditional write
	 * @return the outcome
	 */
	CompletionStage<WriteResult> write(Write write);

	/**
	 * Waits for a version of an object that is higher than the given one.
	 * @param key the key of the object
	 * @param afterVersion the last known version; {@link Write#ABSENT} if there is none
	 * @param wait the maximum time to wait
	 * @return the object, absent if no higher version appeared in time, or unavailable
	 */
	CompletionStage<ReadResult> watch(ObjectKey key, long afterVersion, Duration wait);

	/**
	 * Lists the objects whose keys start with a prefix.
	 * @param prefix the prefix, such as {@code plan/}
	 * @return the objects or unavailable
	 */
	CompletionStage<ListResult> list(String prefix);

}
