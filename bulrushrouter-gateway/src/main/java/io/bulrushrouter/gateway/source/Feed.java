package io.bulrushrouter.gateway.source;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

/**
 * Lists and watches the objects of one kind in a store. The returned stages never
 * complete exceptionally: every outcome, including failure, is a {@link FeedResult}.
 *
 * @param <T> the type that objects are decoded into
 */
public interface Feed<T> {

	/** The era of an answer that does not state one. */
	long ERA_NOT_STATED = 0;

	/**
	 * Reads all objects. The result reflects every write that the store has acknowledged.
	 * @return the objects, or the reason why they could not be read
	 */
	CompletionStage<FeedResult<T>> list();

	/**
	 * Reads all objects and reports that they arrive, which may take long. Reports
	 * nothing by default.
	 * @param progress called whenever a part of the answer has arrived, on any thread
	 * @return the objects, or the reason why they could not be read
	 */
	default CompletionStage<FeedResult<T>> list(Runnable progress) {
		return list();
	}

	/**
	 * Waits for changes after a revision.
	 * @param revision the store's revision up to which all changes are known
	 * @param timeout the maximum time to wait
	 * @return the changes, empty if the wait timed out, or the reason why they could not
	 * be read
	 */
	CompletionStage<FeedResult<T>> watch(long revision, Duration timeout);

	/**
	 * Waits for changes after a revision and reports that they arrive. Reports nothing by
	 * default.
	 * @param revision the store's revision up to which all changes are known
	 * @param timeout the maximum time to wait
	 * @param progress called whenever a part of the answer has arrived, on any thread
	 * @return the changes, empty if the wait timed out, or the reason why they could not
	 * be read
	 */
	default CompletionStage<FeedResult<T>> watch(long revision, Duration timeout, Runnable progress) {
		return watch(revision, timeout);
	}

	/**
	 * Makes the next calls use new connections, as those that are idle may have been lost
	 * without being closed. Does nothing by default, which suits a feed without
	 * connections.
	 */
	default void renewConnections() {
	}

}
