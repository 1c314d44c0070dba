package io.bulrushrouter.daemon.evacuation;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoopGroup;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.evacuation.EvacuationJson;
import io.bulrushrouter.evacuation.LeaseHolderStore;
import io.bulrushrouter.evacuation.Placements;
import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.store.ListResult;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.kernel.store.VersionedObject;

/**
 * Polls the placements of organisations that evacuation plans have stored. While the
 * store is unavailable the last placements stay in effect.
 */
public final class PlacementPoller {

	private static final Logger logger = LoggerFactory.getLogger(PlacementPoller.class);

	private static final long POLL_INTERVAL_MILLIS = 3_000;

	private final ObjectStore store;

	private final EventLoopGroup timers;

	private final Consumer<Map<OrganisationId, DataCentreId>> consumer;

	private PlacementPoller(ObjectStore store, EventLoopGroup timers,
			Consumer<Map<OrganisationId, DataCentreId>> consumer) {
		this.store = store;
		this.timers = timers;
		this.consumer = consumer;
	}

	/**
	 * Starts to poll the placements, until the event loop group shuts down.
	 * @param store the platform's store
	 * @param timers schedules the polls; owned by the caller
	 * @param consumer receives all placements, on a network thread
	 */
	public static void start(ObjectStore store, EventLoopGroup timers,
			Consumer<Map<OrganisationId, DataCentreId>> consumer) {
		new PlacementPoller(store, timers, consumer).poll();
	}

	private void poll() {
		this.store.list(LeaseHolderStore.PLACEMENT_KIND + "/").thenAccept(this::handleResult);
	}

	private void handleResult(ListResult result) {
		if (result instanceof ListResult.Listed listed) {
			Map<OrganisationId, DataCentreId> placements = new TreeMap<>();
			listed.objects().forEach((object) -> placements.putAll(parsePlacements(object)));
			this.consumer.accept(placements);
		}
		if (!this.timers.isShuttingDown()) {
			this.timers.schedule(this::poll, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private static Map<OrganisationId, DataCentreId> parsePlacements(VersionedObject object) {
		try {
			return EvacuationJson.read(object.value(), Placements.class).byOrganisation();
		}
		catch (BulrushException ex) {
			logger.error("event=placements-invalid key={} reason={}", object.key(), ex.getMessage());
			return Map.of();
		}
	}

}
