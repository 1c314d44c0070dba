package io.bulrushrouter.coordination;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import io.netty.channel.EventLoopGroup;

import io.bulrushrouter.kernel.store.LiveInstance;
import io.bulrushrouter.kernel.store.ObjectStore;

/**
 * A client of the platform: its object API and its list of instances.
 */
public interface PlatformClient extends ObjectStore, AutoCloseable {

	/**
	 * Asks for the list of instances.
	 * @return the instances, or empty if the platform did not answer
	 */
	CompletionStage<Optional<List<LiveInstance>>> instances();

	@Override
	void close();

	/**
	 * Makes a client; the kind of plug-in that adapters register.
	 */
	interface Factory {

		/**
		 * Connects to a platform.
		 * @param platform the platform's address, such as {@code http://10.0.0.1:8500}
		 * @param timeout how long a call may take; a watch may take its wait longer
		 * @param eventLoopGroup the event loops that do the input and output
		 * @return the client, to be closed
		 */
		PlatformClient connect(URI platform, Duration timeout, EventLoopGroup eventLoopGroup);

	}

}
