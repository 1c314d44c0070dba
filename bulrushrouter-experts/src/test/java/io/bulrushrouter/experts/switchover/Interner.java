package io.bulrushrouter.experts.switchover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Assigns consecutive ids to values; equal values have the same id.
 *
 * @param <T> the type of the values
 */
final class Interner<T> {

	private final Map<T, Integer> ids = new HashMap<>();

	private final List<T> values = new ArrayList<>();

	int id(T value) {
		Integer known = this.ids.get(value);
		if (known != null) {
			return known;
		}
		this.ids.put(value, this.values.size());
		this.values.add(value);
		return this.values.size() - 1;
	}

	T value(int id) {
		return this.values.get(id);
	}

}
