package io.bulrushrouter.evacuation;

import java.util.List;
import java.util.concurrent.CompletionStage;

import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.kernel.store.Write;

/**
 * Stores an object that the lease holders of a plan change: the organisations'
 * placements, or the plan's progress. The object contains the highest fencing token that
 * changed it.
 *
 * @param <T> the object's type
 */
public final class LeaseHolderStore<T> {

	/** The kind of the stored placement objects. */
	public static final String PLACEMENT_KIND = "placement";

	/** The kind of the stored progress objects. */
	public static final String PROGRESS_KIND = "evacuation-progress";

	private final ConditionalObject<T> object;

	private LeaseHolderStore(ObjectStore objects, ObjectKey key, Class<T> type) {
		this.object = new ConditionalObject<>(objects, key, type, (value, writeId) -> false,
				(before, after) -> List.of());
	}

	/**
	 * Returns the store of a plan's placements, {@code placement/NAME}.
	 * @param objects the platform's object API
	 * @param plan the plan's name
	 * @return the store
	 */
	public static LeaseHolderStore<Placements> ofPlacements(ObjectStore objects, String plan) {
		return new LeaseHolderStore<>(objects, ObjectKey.of(PLACEMENT_KIND, plan), Placements.class);
	}

	/**
	 * Returns the store of a plan's progress, {@code evacuation-progress/NAME}.
	 * @param objects the platform's object API
	 * @param plan the plan's name
	 * @return the store
	 */
	public static LeaseHolderStore<EvacuationProgress> ofProgress(ObjectStore objects, String plan) {
		return new LeaseHolderStore<>(objects, ObjectKey.of(PROGRESS_KIND, plan), EvacuationProgress.class);
	}

	/**
	 * Reads the object.
	 * @return the object, or that it is absent or unavailable
	 */
	public CompletionStage<ReadOutcome<T>> read() {
		return this.object.read();
	}

	/**
	 * Reads the object again; the store sends the content only if it has changed.
	 * @param known the object as last read
	 * @return the current object, or that it is unavailable
	 */
	public CompletionStage<ReadOutcome<T>> refresh(VersionedValue<T> known) {
		return this.object.refresh(known);
	}

	/**
	 * Creates the object.
	 * @param value the content
	 * @param writeId the unique identifier of the write
	 * @return the outcome of the write; a conflict if the object already exists
	 */
	public CompletionStage<WriteOutcome<T>> create(T value, String writeId) {
		return this.object.write(new VersionedValue<>(Write.ABSENT, value), value, writeId);
	}

	/**
	 * Writes the object if the stored one has not changed since it was read.
	 * @param read the object as it was read
	 * @param value the new content
	 * @param writeId the unique identifier of the write
	 * @return the outcome of the write
	 */
	public CompletionStage<WriteOutcome<T>> write(VersionedValue<T> read, T value, String writeId) {
		return this.object.write(read, value, writeId);
	}

}
