package io.bulrushrouter.gateway.source;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * The registry in which entries make themselves known to each other. The returned stages
 * never complete exceptionally.
 */
public interface EntryRegistry {

	/**
	 * Writes a heartbeat.
	 * @param instance the entry's name
	 * @param sequence a number that differs from that of the previous heartbeat
	 * @return what became of it
	 */
	CompletionStage<WriteOutcome> heartbeat(String instance, long sequence);

	/**
	 * Reads the heartbeats of all entries. They may be a few seconds old.
	 * @return the heartbeats, or empty if the store did not answer
	 */
	CompletionStage<Optional<List<EntryHeartbeat>>> list();

}
