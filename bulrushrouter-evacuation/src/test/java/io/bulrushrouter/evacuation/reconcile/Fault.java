package io.bulrushrouter.evacuation.reconcile;

/**
 * A fault that is injected at one call of a holder.
 */
enum Fault {

	/** No fault. */
	NONE,

	/** The store is unavailable from this call on, for some rounds. */
	STORE_DOWN,

	/** The call is lost before it takes effect. */
	REQUEST_LOST,

	/** The call takes effect and its answer is lost. */
	ANSWER_LOST,

	/** The holder dies after the call. */
	KILLED,

	/**
	 * Before the call, the holder is paused past its lease and another one takes over.
	 */
	PAUSED,

	/** Like {@link #PAUSED}, and the other holder dies after some calls of its own. */
	PAUSED_AND_OTHER_KILLED,

	/** Like {@link #PAUSED}, and an operator cancels the plan during the pause. */
	PAUSED_AND_CANCELLED;

	boolean pauses() {
		return this == PAUSED || this == PAUSED_AND_OTHER_KILLED || this == PAUSED_AND_CANCELLED;
	}

}
