package io.bulrushrouter.launcher;

import java.util.Random;

import io.bulrushrouter.platform.standin.FleetObjects;
import io.bulrushrouter.platform.standin.ForeignObjects;

/**
 * Another writer that keeps objects beside the upstreams, each tenth of them no JSON, and
 * changes them.
 */
final class ForeignWriter {

	private final ChangingStore store;

	private final ForeignObjects objects;

	private final Random random;

	private final int count;

	private final int length;

	/**
	 * Writes the objects.
	 * @param store the store
	 * @param seed the seed
	 * @param count the number of objects
	 * @param length the length of a spec in bytes, about
	 */
	ForeignWriter(ChangingStore store, long seed, int count, int length) {
		this.store = store;
		this.objects = ForeignObjects.ofSeed(seed);
		this.random = new Random(seed);
		this.count = count;
		this.length = length;
		for (int index = 0; index < count; index++) {
			write(index);
		}
	}

	/**
	 * Writes an object anew.
	 */
	void change() {
		write(this.random.nextInt(this.count));
	}

	/**
	 * Removes an object, which a change may bring back.
	 */
	void remove() {
		this.store.remove(FleetObjects.UPSTREAMS, name(this.random.nextInt(this.count)));
	}

	private void write(int index) {
		this.store.put(FleetObjects.UPSTREAMS, name(index),
				(index % 10 == 9) ? this.objects.damaged(this.length) : this.objects.valid(this.length));
	}

	// Sorts behind the upstreams.
	private static String name(int index) {
		return "zz-foreign-%08d".formatted(index);
	}

}
