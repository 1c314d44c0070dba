package io.bulrushrouter.gateway.source;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

/**
 * Objects of one kind in a store that can be listed and watched. The stages never fail:
 * every outcome is an answer.
 *
 * @param <T> what an object is decoded into
 */
public interface Feed<T> {

	/**
	 * Reads all objects, as new as any write that the store has acknowledged.
	 * @return the objects, or why they could not be read
	 */
	CompletionStage<FeedResult<T>> list();

	/**
	 * Waits for changes.
	 * @param revision the store's revision up to which all is known
	 * @param timeout the longest time to wait
	 * @return the changes, none if there were none in time
	 */
	CompletionStage<FeedResult<T>> watch(long revision, Duration timeout);

}
