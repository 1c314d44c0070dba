package io.bulrushrouter.gateway.config;

import java.util.List;
import java.util.OptionalInt;

/**
 * An organisation and the keys that its callers show.
 *
 * @param name the organisation's name
 * @param keys the keys
 * @param priority its rank, which goes before that of a route; 0 is the most urgent
 */
public record Organisation(String name, List<String> keys, OptionalInt priority) {

	/**
	 * Copies the keys.
	 */
	public Organisation {
		keys = List.copyOf(keys);
	}

}
