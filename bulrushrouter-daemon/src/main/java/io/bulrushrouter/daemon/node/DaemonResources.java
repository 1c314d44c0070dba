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
 * Owns a daemon's event loops, clients and metrics, and closes them together.
 */
public final class DaemonResources implements AutoCloseable {

	/** The name of the platform plug-in. */
	private static final String PLATFORM = "platform";

	private final EventLoopGroup eventLoopGroup;

	private final StreamingHttpClient httpClient;

	private final PlatformClient store;

	private final PlatformLiveList liveList;

	private final Metrics metrics = new Metrics();

	private DaemonResources(ProcessSettings settings, int threads) {
		this.eventLoopGroup = new NioEventLoopGroup(threads, new DefaultThreadFactory("network", true));
		this.httpClient = StreamingHttpClient.of(this.eventLoopGroup);
		this.store = PluginRegistry.ofClassPath()
			.require(PlatformClient.Factory.class, PLATFORM)
			.connect(settings.platform(), settings.platformTimeout(), this.eventLoopGroup);
		this.liveList = PlatformLiveList.of(this.store);
	}

	/**
	 * Starts the event loops and opens the clients.
	 * @param settings the settings that all daemons share
	 * @param threads the number of event loop threads
	 * @return the resources
	 */
	public static DaemonResources open(ProcessSettings settings, int threads) {
		return new DaemonResources(settings, threads);
	}

	/**
	 * Returns the event loops for all network I/O.
	 * @return the event loop group
	 */
	public EventLoopGroup eventLoopGroup() {
		return this.eventLoopGroup;
	}

	/**
	 * Returns the HTTP client.
	 * @return the client
	 */
	public StreamingHttpClient httpClient() {
		return this.httpClient;
	}

	/**
	 * Returns the platform's object API without a call budget, for claims of idempotency
	 * keys.
	 * @return the client
	 */
	public PlatformClient store() {
		return this.store;
	}

	/**
	 * Returns the platform's object API limited to a role's call budget. The calls sent
	 * are published as a gauge.
	 * @param role the role's name in the metrics
	 * @param budget the limit on the role's calls
	 * @return the client
	 */
	public ObjectStore store(String role, CallBudget budget) {
		BudgetedStore budgeted = BudgetedStore.builder(this.store).budget(budget).build();
		this.metrics.gauge("platform.calls." + role, () -> budgeted.counts().sent());
		return budgeted;
	}

	/**
	 * Returns the platform's list of live instances.
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
		this.httpClient.close();
		this.eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

}
