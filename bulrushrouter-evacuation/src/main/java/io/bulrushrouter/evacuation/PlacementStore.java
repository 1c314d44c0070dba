package io.bulrushrouter.evacuation;

import java.util.List;
import java.util.concurrent.CompletionStage;

import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.kernel.store.Write;

/**
 * Keeps the organisations' placements as one object, {@code placement/NAME}. The object
 * holds the highest fencing number that changed it, so that an old holder's move is
 * refused by the conditional update.
 */
public final class PlacementStore {

	/** The kind of the objects. */
	public static final String KIND = "placement";

	private final ConditionalObject<Placements> object;

	private PlacementStore(ObjectStore objects, String name) {
		this.object = new ConditionalObject<>(objects, ObjectKey.of(KIND, name), Placements.class,
				(placements, mark) -> false, (before, after) -> List.of("fence " + after.fence()));
	}

	/**
	 * Returns the store of one fleet's placements.
	 * @param objects the platform's object API
	 * @param name the fleet's name
	 * @return the store
	 */
	public static PlacementStore of(ObjectStore objects, String name) {
		return new PlacementStore(objects, name);
	}

	/**
	 * Reads the placements.
	 * @return the placements, absent or unavailable
	 */
	public CompletionStage<Loaded<Placements>> read() {
		return this.object.read();
	}

	/**
	 * Creates the placements.
	 * @param placements the placements
	 * @param mark the write's mark, unique
	 * @return what came of it
	 */
	public CompletionStage<StoreOutcome<Placements>> create(Placements placements, String mark) {
		return this.object.write(new Stored<>(Write.ABSENT, placements), placements, mark);
	}

	/**
	 * Writes the placements if they are still as they were read.
	 * @param read the placements as they were read
	 * @param placements the new placements
	 * @param mark the write's mark, unique
	 * @return what came of it
	 */
	public CompletionStage<StoreOutcome<Placements>> write(Stored<Placements> read, Placements placements,
			String mark) {
		return this.object.write(read, placements, mark);
	}

}
