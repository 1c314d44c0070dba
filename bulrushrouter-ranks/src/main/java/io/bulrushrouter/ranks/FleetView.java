package io.bulrushrouter.ranks;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;

import io.bulrushrouter.gateway.config.EngineSpec;
import io.bulrushrouter.gateway.config.GatewayConfiguration;
import io.bulrushrouter.gateway.config.ServiceSpec;
import io.bulrushrouter.gateway.source.FeedFollower;
import io.bulrushrouter.gateway.source.FeedResult.Item;
import io.bulrushrouter.gateway.source.FleetSource;
import io.bulrushrouter.gateway.source.UpstreamRecord;

/**
 * A view of the fleet for the balancer: the engine parameters of the service and the
 * addresses of its upstreams. It follows the feeds of the store from the first time that
 * this sidecar leads or recovers a group.
 */
final class FleetView {

	/** Updates are not urgent, and a long timeout saves calls to the store. */
	private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);

	private static final Duration MIN_WATCH_INTERVAL = Duration.ofMillis(500);

	private final EventLoop loop;

	private final FleetSource source;

	private final String service;

	private final String ownAddress;

	private final RandomGenerator random;

	private final Map<String, UpstreamRecord> upstreams = new HashMap<>();

	private Optional<EngineSpec> engineSpec = Optional.empty();

	private boolean started;

	FleetView(EventLoop loop, FleetSource source, String service, String ownAddress, RandomGenerator random) {
		this.loop = loop;
		this.source = source;
		this.service = service;
		this.ownAddress = ownAddress;
		this.random = random;
	}

	void start() {
		if (this.started) {
			return;
		}
		this.started = true;
		FeedFollower.builder("configuration", this.source.configuration(), new ConfigurationListener())
			.watchTimeout(WATCH_TIMEOUT)
			.minWatchInterval(MIN_WATCH_INTERVAL)
			.loop(this.loop)
			.random(this.random)
			.build()
			.start();
		FeedFollower.builder("upstreams", this.source.upstreams(), new UpstreamListener())
			.watchTimeout(WATCH_TIMEOUT)
			.minWatchInterval(MIN_WATCH_INTERVAL)
			.loop(this.loop)
			.random(this.random)
			.build()
			.start();
	}

	/**
	 * Returns the parameters of the service's engines.
	 * @return the parameters, or empty if they are unknown or contain no experts
	 */
	Optional<EngineSpec> engineSpec() {
		return this.engineSpec.filter((spec) -> spec.experts().isPresent());
	}

	String ownAddress() {
		return this.ownAddress;
	}

	List<UpstreamRecord> serviceUpstreams() {
		return this.upstreams.values().stream().filter((record) -> record.service().equals(this.service)).toList();
	}

	private final class ConfigurationListener implements FeedFollower.Listener<GatewayConfiguration> {

		@Override
		public void changed(List<Item<GatewayConfiguration>> changes, long requestedNanos) {
			for (Item<GatewayConfiguration> item : changes) {
				item.value()
					.map((configuration) -> configuration.services().get(FleetView.this.service))
					.flatMap(ServiceSpec::engine)
					.ifPresent((spec) -> FleetView.this.engineSpec = Optional.of(spec));
			}
		}

		@Override
		public void unavailable() {
			// The last known parameters stay in use, as the correctness of a map does not
			// depend on their age.
		}

	}

	private final class UpstreamListener implements FeedFollower.Listener<UpstreamRecord> {

		@Override
		public void listed(List<Item<UpstreamRecord>> items, long requestedNanos) {
			FleetView.this.upstreams.clear();
			changed(items, requestedNanos);
		}

		@Override
		public void changed(List<Item<UpstreamRecord>> changes, long requestedNanos) {
			for (Item<UpstreamRecord> item : changes) {
				if (item.value().isPresent()) {
					FleetView.this.upstreams.put(item.name(), item.value().get());
				}
				else {
					FleetView.this.upstreams.remove(item.name());
				}
			}
		}

		@Override
		public void unavailable() {
			// The last known addresses stay in use, and no switch starts unless all ranks
			// answer.
		}

	}

}
