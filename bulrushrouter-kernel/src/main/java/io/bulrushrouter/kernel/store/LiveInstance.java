package io.bulrushrouter.kernel.store;

import java.util.Objects;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.InstanceId;

/**
 * An instance on the platform's lagging list.
 *
 * @param instance the instance
 * @param dataCentre where it is
 * @param role what runs on it: {@code entry} or {@code sidecar}
 * @param address the address of its process, {@code host:port}
 * @param leaving whether it is about to go
 */
public record LiveInstance(InstanceId instance, DataCentreId dataCentre, String role, String address, boolean leaving) {

	/**
	 * Checks the parts.
	 */
	public LiveInstance {
		Objects.requireNonNull(instance);
		Objects.requireNonNull(dataCentre);
		Objects.requireNonNull(role);
		Objects.requireNonNull(address);
	}

}
