package io.bulrushrouter.daemon.admin;

import java.time.Clock;
import java.util.Optional;
import java.util.function.Supplier;

import io.bulrushrouter.daemon.evacuation.SidecarClient;
import io.bulrushrouter.daemon.spread.ActiveConfiguration;
import io.bulrushrouter.evacuation.reconcile.ReconcilePolicy;
import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.store.ObjectStore;

/**
 * Dependencies shared by the handlers of administration requests.
 *
 * @param store the platform's object API
 * @param currentConfiguration returns the configuration in force, or empty if there is
 * none yet
 * @param statusJson returns the entry's status as JSON
 * @param sidecarClient sends queries and orders to sidecars
 * @param policy the limits on how fast plans are carried out
 * @param writeIds generates unique identifiers for writes
 * @param clock the clock for local dates and times
 */
public record AdminContext(ObjectStore store, Supplier<Optional<ActiveConfiguration>> currentConfiguration,
		Supplier<byte[]> statusJson, SidecarClient sidecarClient, ReconcilePolicy policy, Supplier<String> writeIds,
		Clock clock) {

	Optional<ActiveConfiguration> activeConfiguration() {
		return this.currentConfiguration.get();
	}

	ActiveConfiguration requireActiveConfiguration() {
		return activeConfiguration()
			.orElseThrow(() -> new BulrushException(ErrorCode.NOT_READY, "no configuration has been received yet"));
	}

	byte[] status() {
		return this.statusJson.get();
	}

}
