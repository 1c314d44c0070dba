package io.bulrushrouter.ranks;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.plugin.PluginRegistry;

/**
 * A running sidecar of a rank. One event loop does all of its work.
 */
public final class RankSidecar implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(RankSidecar.class);

	private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1, new DefaultThreadFactory("rank"));

	private final EventLoop loop;

	private final CompletableFuture<Void> stopped = new CompletableFuture<>();

	private final RankSource source;

	private final Balancer balancer;

	private RankSidecar(RankSettings settings, PluginRegistry plugins, RandomGenerator random) {
		this.loop = this.eventLoops.next();
		// Without its event loop the process cannot serve, nor stop in an orderly way.
		this.loop.terminationFuture().addListener((ended) -> this.stopped.complete(null));
		this.source = plugins.require(RankSource.Factory.class, settings.source())
			.connect(settings.engine(), settings.store(), this.eventLoops);
		FleetView fleet = new FleetView(this.loop, this.source.fleet(), settings.service(), settings.address(), random);
		this.balancer = new Balancer(this.loop, this.source, fleet, settings, random);
		PeerChannels.server(this.loop, this::handle)
			.bind(new InetSocketAddress(settings.address(), settings.peerPort()))
			.syncUninterruptibly();
		this.loop.execute(this.balancer::start);
	}

	/**
	 * Starts a sidecar.
	 * @param settings the settings
	 * @param plugins the plug-ins
	 * @param random the source of random numbers
	 * @return the running sidecar
	 */
	public static RankSidecar start(RankSettings settings, PluginRegistry plugins, RandomGenerator random) {
		RankSidecar sidecar = new RankSidecar(settings, plugins, random);
		logger.info("event=started instance={} engine={} service={}", settings.instance(), settings.engine(),
				settings.service());
		return sidecar;
	}

	private void handle(Channel channel, PeerMessage message) {
		if (message instanceof PeerMessage.StatusRequest request) {
			respond(channel, this.balancer.status(request));
		}
		else if (message instanceof PeerMessage.ChoicesRequest request) {
			respond(channel, this.balancer.choices(request));
		}
		else if (message instanceof PeerMessage.OrderRequest request) {
			respond(channel, this.balancer.executeOrder(request));
		}
	}

	// Without a response the sender takes the request as unanswered.
	private static void respond(Channel channel, CompletionStage<? extends PeerMessage> response) {
		response.whenComplete((message, failure) -> {
			if (failure != null) {
				logger.error("event=peer-request-failed peer={} detail=\"{}\"", channel.remoteAddress(),
						failure.toString(), failure);
			}
			else {
				PeerChannels.send(channel, message);
			}
		});
	}

	/**
	 * Stops the sidecar once the switch in progress, if any, has finished or a timeout
	 * has passed.
	 */
	public void stop() {
		logger.info("event=stopping");
		this.loop.execute(() -> this.balancer.stop().thenRun(() -> {
			logger.info("event=stopped");
			this.stopped.complete(null);
		}));
	}

	/**
	 * Waits until the sidecar has stopped.
	 * @throws BulrushException if its event loop has ended before a stop
	 */
	public void awaitStopped() {
		this.stopped.join();
		if (this.loop.isTerminated()) {
			throw new BulrushException(ErrorCode.INTERNAL, "the event loop has ended");
		}
	}

	@Override
	public void close() {
		this.source.close();
		this.eventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
	}

}
