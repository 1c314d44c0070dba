package io.bulrushrouter.daemon.admin;

import java.time.Clock;
import java.util.Optional;
import java.util.function.Supplier;

import io.bulrushrouter.daemon.evacuation.SidecarAsker;
import io.bulrushrouter.daemon.spread.InForce;
import io.bulrushrouter.evacuation.reconcile.ReconcilePolicy;
import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.store.ObjectStore;

/**
 * What administration acts need.
 *
 * @param store the platform
 * @param current reads the configuration in force
 * @param statusJson makes the status as JSON
 * @param sidecarClient asks sidecars
 * @param policy how fast plans are carried out
 * @param writeIds gives unique marks for writes
 * @param clock the building's clock
 */
public record AdminContext(ObjectStore store, Supplier<Optional<InForce>> current, Supplier<byte[]> statusJson,
		SidecarAsker sidecarClient, ReconcilePolicy policy, Supplier<String> writeIds, Clock clock) {

	Optional<InForce> activeConfiguration() {
		return this.current.get();
	}

	InForce requireActiveConfiguration() {
		return activeConfiguration()
			.orElseThrow(() -> new BulrushException(ErrorCode.NOT_READY, "no configuration yet"));
	}

	byte[] status() {
		return this.statusJson.get();
	}

}
