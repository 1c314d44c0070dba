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
 * What the balancer needs to know of the fleet: the figures of its engines and where the
 * other ranks are. It is followed only while this process balances a group.
 */
final class FleetView {

	/** Nothing here is urgent: a long wait saves calls to the store. */
	private static final Duration WATCH_WAIT = Duration.ofSeconds(20);

	private final EventLoop loop;

	private final FleetSource source;

	private final String service;

	private final String ownAddress;

	private final RandomGenerator random;

	private final Map<String, UpstreamRecord> upstreams = new HashMap<>();

	private Optional<EngineSpec> engine = Optional.empty();

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
		FeedFollower.builder("configuration", this.source.configuration(), new Configurations())
			.watchTimeout(WATCH_WAIT)
			.loop(this.loop)
			.random(this.random)
			.build()
			.start();
		FeedFollower.builder("upstreams", this.source.upstreams(), new Upstreams())
			.watchTimeout(WATCH_WAIT)
			.loop(this.loop)
			.random(this.random)
			.build()
			.start();
	}

	/**
	 * Returns the figures of the group's engines.
	 * @return the figures, or empty if they are not known or name no experts
	 */
	Optional<EngineSpec> engine() {
		return this.engine.filter((spec) -> spec.experts().isPresent());
	}

	String ownAddress() {
		return this.ownAddress;
	}

	List<UpstreamRecord> groupUpstreams() {
		return this.upstreams.values().stream().filter((record) -> record.service().equals(this.service)).toList();
	}

	private final class Configurations implements FeedFollower.Listener<GatewayConfiguration> {

		@Override
		public void changed(List<Item<GatewayConfiguration>> changes, long askedNanos) {
			for (Item<GatewayConfiguration> item : changes) {
				item.value()
					.map((configuration) -> configuration.services().get(FleetView.this.service))
					.flatMap(ServiceSpec::engine)
					.ifPresent((spec) -> FleetView.this.engine = Optional.of(spec));
			}
		}

		@Override
		public void unavailable() {
			// What is known stays in use; a map never depends on how new it is.
		}

	}

	private final class Upstreams implements FeedFollower.Listener<UpstreamRecord> {

		@Override
		public void listed(List<Item<UpstreamRecord>> items, long askedNanos) {
			FleetView.this.upstreams.clear();
			changed(items, askedNanos);
		}

		@Override
		public void changed(List<Item<UpstreamRecord>> changes, long askedNanos) {
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
			// A rank that cannot be asked keeps the group from being switched.
		}

	}

}
