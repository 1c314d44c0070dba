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
 * What administration acts need.
 *
 * @param store the platform
 * @param current reads the configuration in force
 * @param statusJson makes the status as JSON
 * @param asker asks sidecars
 * @param policy how fast plans are carried out
 * @param marks gives unique marks for writes
 * @param clock the building's clock
 */
public record AdminContext(ObjectStore store, Supplier<Optional<ActiveConfiguration>> current,
		Supplier<byte[]> statusJson, SidecarClient asker, ReconcilePolicy policy, Supplier<String> marks, Clock clock) {

	Optional<ActiveConfiguration> inForce() {
		return this.current.get();
	}

	ActiveConfiguration requireInForce() {
		return inForce().orElseThrow(() -> new BulrushException(ErrorCode.NOT_READY, "no configuration yet"));
	}

	byte[] status() {
		return this.statusJson.get();
	}

}
