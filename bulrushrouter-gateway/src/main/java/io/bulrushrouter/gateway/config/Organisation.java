package io.bulrushrouter.gateway.config;

import java.util.List;
import java.util.OptionalInt;

/**
 * An organisation and the keys that authenticate its callers.
 *
 * @param name the organisation's name
 * @param keys the keys
 * @param priority the priority of its requests, which overrides that of the route; 0 is
 * the most urgent
 */
public record Organisation(String name, List<String> keys, OptionalInt priority) {

	/**
	 * Makes a defensive copy of the keys.
	 */
	public Organisation {
		keys = List.copyOf(keys);
	}

}
