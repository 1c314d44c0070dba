package io.bulrushrouter.gateway.source;

import io.netty.channel.EventLoopGroup;

import io.bulrushrouter.gateway.config.GatewayConfiguration;

/**
 * Source of the configuration and the list of upstreams. Adapters of a platform's store
 * implement it.
 */
public interface FleetSource extends AutoCloseable {

	/**
	 * Returns the feed of the configuration.
	 * @return the feed, which has at most one object
	 */
	Feed<GatewayConfiguration> configuration();

	/**
	 * Returns the feed of upstreams.
	 * @return the feed
	 */
	Feed<UpstreamRecord> upstreams();

	/**
	 * Returns the feed of evacuations, whose objects have the names of data centres.
	 * @return the feed
	 */
	Feed<Evacuation> evacuations();

	/**
	 * Returns the registry of entries.
	 * @return the registry
	 */
	EntryRegistry entries();

	/**
	 * Returns the store of the entries' crash reports.
	 * @return the store
	 */
	CrashReportStore crashReports();

	/**
	 * Returns the number of calls made to the store so far.
	 * @return the number of calls
	 */
	long calls();

	/**
	 * Returns the number of configurations, upstreams and evacuations in the store that
	 * cannot be decoded.
	 * @return the number of objects
	 */
	int ignoredObjects();

	@Override
	void close();

	/**
	 * Creates a source. Adapters register it as a plug-in.
	 */
	interface Factory {

		/**
		 * Returns the names of the HTTP headers that the platform uses.
		 * @return the names
		 */
		HeaderNames headers();

		/**
		 * Returns the path at which an upstream answers a GET request at once, whatever
		 * its load.
		 * @return the path
		 */
		String probePath();

		/**
		 * Connects to the store.
		 * @param host the store's address
		 * @param port the store's port
		 * @param group the event loops that do the input and output
		 * @return the connected source
		 */
		FleetSource connect(String host, int port, EventLoopGroup group);

	}

}
