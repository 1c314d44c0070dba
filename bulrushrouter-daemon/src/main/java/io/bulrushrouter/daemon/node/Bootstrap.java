package io.bulrushrouter.daemon.node;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;

import io.bulrushrouter.coordination.BudgetedStore;
import io.bulrushrouter.coordination.CallBudget;
import io.bulrushrouter.coordination.PlatformClient;
import io.bulrushrouter.coordination.PlatformLiveList;
import io.bulrushrouter.http.StreamingHttpClient;
import io.bulrushrouter.kernel.plugin.PluginRegistry;
import io.bulrushrouter.kernel.store.ObjectStore;

/**
 * The threads and clients that a daemon owns, closed together.
 */
public final class Bootstrap implements AutoCloseable {

	/** The platform that there is a plug-in for. */
	private static final String PLATFORM = "platform";

	private final EventLoopGroup network;

	private final StreamingHttpClient caller;

	private final PlatformClient store;

	private final PlatformLiveList liveList;

	private final Metrics metrics = new Metrics();

	private Bootstrap(ProcessSettings settings, int threads) {
		this.network = new NioEventLoopGroup(threads, new DefaultThreadFactory("network", true));
		this.caller = StreamingHttpClient.of(this.network);
		this.store = PluginRegistry.ofClassPath()
			.require(PlatformClient.Factory.class, PLATFORM)
			.connect(settings.platform(), settings.platformTimeout(), this.network);
		this.liveList = PlatformLiveList.of(this.store);
	}

	/**
	 * Opens threads and clients.
	 * @param settings what all daemons share
	 * @param threads how many network threads
	 * @return the resources
	 */
	public static Bootstrap open(ProcessSettings settings, int threads) {
		return new Bootstrap(settings, threads);
	}

	/**
	 * Returns the network threads.
	 * @return the threads
	 */
	public EventLoopGroup network() {
		return this.network;
	}

	/**
	 * Returns the HTTP client.
	 * @return the client
	 */
	public StreamingHttpClient caller() {
		return this.caller;
	}

	/**
	 * Returns the platform's object API without a budget, for claims.
	 * @return the client
	 */
	public PlatformClient store() {
		return this.store;
	}

	/**
	 * Returns the platform's object API within a role's budget of calls, counted in the
	 * metrics.
	 * @param role the role's name in the metrics
	 * @param budget the role's budget
	 * @return the client
	 */
	public ObjectStore store(String role, CallBudget budget) {
		BudgetedStore budgeted = BudgetedStore.builder(this.store).budget(budget).build();
		this.metrics.gauge("platform.calls." + role, () -> budgeted.counts().sent());
		return budgeted;
	}

	/**
	 * Returns the platform's list of instances.
	 * @return the list
	 */
	public PlatformLiveList liveList() {
		return this.liveList;
	}

	/**
	 * Returns the metrics.
	 * @return the metrics
	 */
	public Metrics metrics() {
		return this.metrics;
	}

	@Override
	public void close() {
		this.store.close();
		this.caller.close();
		this.network.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

}
