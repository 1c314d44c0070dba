package io.bulrushrouter.ranks;

import java.net.InetSocketAddress;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;

import io.netty.channel.EventLoopGroup;

import io.bulrushrouter.gateway.source.FleetSource;

/**
 * Connects a rank sidecar to its platform: the engines, the fleet and the store. Adapters
 * implement it.
 */
public interface RankSource extends AutoCloseable {

	/**
	 * Returns the engine of this sidecar's rank.
	 * @return the engine
	 */
	RankEngine engine();

	/**
	 * Connects to the engine of another rank.
	 * @param address the address on which the engine listens
	 * @return the engine, which the caller closes
	 */
	RankEngine engineAt(InetSocketAddress address);

	/**
	 * Returns the source of the configuration and the upstreams.
	 * @return the source
	 */
	FleetSource fleet();

	/**
	 * Acquires a fencing token for the leadership of a group. Each token is higher than
	 * all tokens issued before, to any holder.
	 * @param group the group's name
	 * @param holder the identity of the sidecar that acquires the token
	 * @return the token, or empty if the store issued none
	 */
	CompletionStage<OptionalLong> acquireFencingToken(String group, String holder);

	@Override
	void close();

	/**
	 * Creates rank sources. Adapters register it as a plug-in.
	 */
	interface Factory {

		/**
		 * Creates a source that is connected to an engine and the store.
		 * @param engine the address on which the engine listens
		 * @param store the address on which the store listens
		 * @param eventLoops the event loops that perform the input and output
		 * @return the source
		 */
		RankSource connect(InetSocketAddress engine, InetSocketAddress store, EventLoopGroup eventLoops);

	}

}
