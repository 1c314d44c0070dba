package io.bulrushrouter.evacuation;

import java.util.concurrent.CompletionStage;

import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.kernel.store.Write;

/**
 * Stores the intended state of a plan in the object {@code evacuation/NAME}.
 *
 * <pre>{@code
 * EvacuationStore store = EvacuationStore.of(objects, "hall-3");
 * store.write(read, read.value().withPlan(plan, change), change.mark());
 * }</pre>
 */
public final class EvacuationStore {

	/** The kind of the stored objects. */
	public static final String KIND = "evacuation";

	private final ConditionalObject<EvacuationState> object;

	private EvacuationStore(ObjectStore objects, String plan) {
		this.object = new ConditionalObject<>(objects, ObjectKey.of(KIND, plan), EvacuationState.class,
				EvacuationState::containsChange, StateDifference::lines);
	}

	/**
	 * Returns the store of a plan.
	 * @param objects the platform's object API
	 * @param plan the plan's name
	 * @return the store
	 */
	public static EvacuationStore of(ObjectStore objects, String plan) {
		return new EvacuationStore(objects, plan);
	}

	/**
	 * Reads the state.
	 * @return the state, or that it is absent or unavailable
	 */
	public CompletionStage<ReadOutcome<EvacuationState>> read() {
		return this.object.read();
	}

	/**
	 * Reads the state again; the store sends the content only if it has changed.
	 * @param known the state as last read
	 * @return the current state, or that it is unavailable
	 */
	public CompletionStage<ReadOutcome<EvacuationState>> refresh(VersionedValue<EvacuationState> known) {
		return this.object.refresh(known);
	}

	/**
	 * Creates the state of a new plan.
	 * @param state the state; its first change carries the identifier of the write
	 * @return the outcome of the write; a conflict if the plan already exists
	 */
	public CompletionStage<WriteOutcome<EvacuationState>> create(EvacuationState state) {
		return this.object.write(new VersionedValue<>(Write.ABSENT, state), state, state.history().get(0).mark());
	}

	/**
	 * Writes the state if the stored one has not changed since it was read.
	 * @param read the state as it was read
	 * @param state the new state
	 * @param writeId the unique identifier of the write, which the new state's history
	 * contains
	 * @return the outcome of the write
	 */
	public CompletionStage<WriteOutcome<EvacuationState>> write(VersionedValue<EvacuationState> read,
			EvacuationState state, String writeId) {
		return this.object.write(read, state, writeId);
	}

}
