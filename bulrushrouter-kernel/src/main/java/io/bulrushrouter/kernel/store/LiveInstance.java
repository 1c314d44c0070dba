package io.bulrushrouter.kernel.store;

import java.util.Objects;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.InstanceId;

/**
 * An instance on the platform's eventually consistent list.
 *
 * @param instance the instance
 * @param dataCentre the data centre of the instance
 * @param role the kind of its process: {@code entry} or {@code sidecar}
 * @param address the address of its process, {@code host:port}
 * @param leaving whether it is draining before it leaves
 */
public record LiveInstance(InstanceId instance, DataCentreId dataCentre, String role, String address, boolean leaving) {

	/**
	 * Creates an instance.
	 */
	public LiveInstance {
		Objects.requireNonNull(instance);
		Objects.requireNonNull(dataCentre);
		Objects.requireNonNull(role);
		Objects.requireNonNull(address);
	}

}
