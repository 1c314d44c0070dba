package io.bulrushrouter.ranks;

import java.net.InetSocketAddress;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;

import io.netty.channel.EventLoopGroup;

import io.bulrushrouter.gateway.source.FleetSource;

/**
 * What an adapter gives the process beside a rank.
 */
public interface RankSource extends AutoCloseable {

	/**
	 * Returns the engine beside this process.
	 * @return the engine
	 */
	RankEngine engine();

	/**
	 * Connects to the engine of another rank.
	 * @param address where it listens
	 * @return the engine, to be closed
	 */
	RankEngine engineAt(InetSocketAddress address);

	/**
	 * Returns the configuration and the upstreams.
	 * @return the source
	 */
	FleetSource fleet();

	/**
	 * Takes a fencing token for the balancing of a group. Each token is higher than all
	 * that were taken before, by anyone.
	 * @param group the group
	 * @param holder who takes it
	 * @return the token, or empty if the store did not give one
	 */
	CompletionStage<OptionalLong> acquireFencingToken(String group, String holder);

	@Override
	void close();

	/**
	 * Makes a source; the kind of plug-in that adapters register.
	 */
	interface Factory {

		/**
		 * Connects.
		 * @param engine where the engine listens
		 * @param store where the store listens
		 * @param group the event loops that do the input and output
		 * @return the source
		 */
		RankSource connect(InetSocketAddress engine, InetSocketAddress store, EventLoopGroup group);

	}

}
