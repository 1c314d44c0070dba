package io.bulrushrouter.gateway.node;

import java.util.List;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.gateway.config.Access;
import io.bulrushrouter.gateway.config.ActiveConfiguration;
import io.bulrushrouter.gateway.config.GatewayConfiguration;
import io.bulrushrouter.gateway.source.FeedFollower;
import io.bulrushrouter.gateway.source.FeedResult.Item;
import io.bulrushrouter.gateway.source.FreshnessProof;
import io.bulrushrouter.gateway.upstream.UpstreamDirectory;
import io.bulrushrouter.kernel.TimeSource;

/**
 * Adopts each newer configuration as a whole and never reverts to an older version. While
 * the newest one cannot be read, the last one that could stays in use, but nothing proves
 * its keys, of which the newest may have taken some away.
 */
final class ConfigurationAdoption implements FeedFollower.Listener<GatewayConfiguration> {

	private static final Logger logger = LoggerFactory.getLogger(ConfigurationAdoption.class);

	private final Consumer<ActiveConfiguration> receiver;

	private final FreshnessProof freshness;

	private final TimeSource clock;

	private Access access = Access.ofEveryone();

	private long version = -1;

	private boolean newestKnown;

	private long proofsFromNanos = Long.MIN_VALUE;

	/**
	 * Creates a listener that knows no configuration.
	 * @param receiver receives each configuration that is adopted
	 * @param freshness the proof to renew with each answer of the store
	 * @param clock the monotonic clock
	 */
	ConfigurationAdoption(Consumer<ActiveConfiguration> receiver, FreshnessProof freshness, TimeSource clock) {
		this.receiver = receiver;
		this.freshness = freshness;
		this.clock = clock;
	}

	/**
	 * Returns the version in use.
	 * @return the version, -1 without a configuration
	 */
	long version() {
		return this.version;
	}

	@Override
	public void listed(List<Item<GatewayConfiguration>> items, long requestedNanos) {
		newestKnown(items.stream().anyMatch((item) -> item.value().isPresent()));
		changed(items, requestedNanos);
	}

	@Override
	public void changed(List<Item<GatewayConfiguration>> changes, long requestedNanos) {
		for (Item<GatewayConfiguration> item : changes) {
			newestKnown(item.value().isPresent());
			item.value().ifPresent(this::adopt);
		}
		if (this.newestKnown && requestedNanos >= this.proofsFromNanos) {
			this.freshness.prove(requestedNanos);
		}
	}

	private void newestKnown(boolean known) {
		if (this.newestKnown && !known) {
			logger.warn(
					"event=configuration-unknown version={} keys={} detail=\"the newest configuration cannot be "
							+ "read or is gone; requests with keys are refused once the last proof is too old\"",
					this.version, this.access.keys());
		}
		this.newestKnown = known;
	}

	// The newest configuration may be missing in the copy until the operator has written
	// it
	// again, and with it the revocation of a key.
	@Override
	public void restored() {
		this.proofsFromNanos = this.clock.nanos() + UpstreamDirectory.REREGISTRATION_WINDOW.toNanos();
	}

	private void adopt(GatewayConfiguration configuration) {
		if (configuration.version() <= this.version) {
			return;
		}
		this.receiver.accept(ActiveConfiguration.of(configuration));
		logger.info("event=configuration-adopted version={} routes={} services={} organisations={}",
				configuration.version(), configuration.routes().size(), configuration.services().size(),
				configuration.access().organisations().size());
		if (this.access.keys() > 0 && configuration.access().keys() == 0) {
			logger.warn("event=last-key-removed version={} previous-version={} keys-before={} routes={}",
					configuration.version(), this.version, this.access.keys(),
					configuration.access().requiresKey() ? "closed" : "open-without-key");
		}
		this.access = configuration.access();
		this.version = configuration.version();
	}

	@Override
	public void unavailable() {
		// Nothing to do: the freshness proof ages until the store answers again.
	}

}
