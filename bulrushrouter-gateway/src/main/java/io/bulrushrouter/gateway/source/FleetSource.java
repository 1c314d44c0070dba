package io.bulrushrouter.gateway.source;

import io.netty.channel.EventLoopGroup;

import io.bulrushrouter.gateway.config.GatewayConfiguration;

/**
 * What an adapter gives an entry: the configuration, the list of upstreams, and the names
 * of the headers.
 */
public interface FleetSource extends AutoCloseable {

	/**
	 * Returns the configuration's feed.
	 * @return the feed, with one object at most
	 */
	Feed<GatewayConfiguration> configuration();

	/**
	 * Returns the feed of upstreams.
	 * @return the feed
	 */
	Feed<UpstreamRecord> upstreams();

	/**
	 * Returns the calls made to the store so far.
	 * @return the number
	 */
	long calls();

	@Override
	void close();

	/**
	 * Makes a source; the kind of plug-in that adapters register.
	 */
	interface Factory {

		/**
		 * Returns the names of the headers.
		 * @return the names
		 */
		HeaderNames headers();

		/**
		 * Connects to the store.
		 * @param host the store's address
		 * @param port the store's port
		 * @param group the event loops that do the input and output
		 * @return the source
		 */
		FleetSource connect(String host, int port, EventLoopGroup group);

	}

}
