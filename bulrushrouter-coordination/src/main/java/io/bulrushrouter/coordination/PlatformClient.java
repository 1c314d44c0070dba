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
	 * Requests the list of instances.
	 * @return the instances, or empty if the platform did not answer
	 */
	CompletionStage<Optional<List<LiveInstance>>> instances();

	@Override
	void close();

	/**
	 * Creates clients; the plug-in interface that platform adapters register.
	 */
	interface Factory {

		/**
		 * Connects to a platform.
		 * @param platform the platform's address, such as {@code http://10.0.0.1:8500}
		 * @param timeout the timeout of a call; for a watch, its wait time is added
		 * @param eventLoopGroup the event loops that perform the I/O
		 * @return the client; the caller must close it
		 */
		PlatformClient connect(URI platform, Duration timeout, EventLoopGroup eventLoopGroup);

	}

}
