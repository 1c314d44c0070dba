package io.bulrushrouter.evacuation.reconcile;

/**
 * What happens at one call of a holder.
 */
enum Fault {

	/** Nothing. */
	NONE,

	/** The store is down from this call on, for some rounds. */
	STORE_DOWN,

	/** The call is lost before it takes effect. */
	REQUEST_LOST,

	/** The call takes effect and its answer is lost. */
	ANSWER_LOST,

	/** The holder dies after the call. */
	KILLED,

	/** The holder is paused past its lease before the call, while another takes over. */
	PAUSED,

	/** As paused, and the other holder dies after some calls of its own. */
	PAUSED_AND_OTHER_KILLED,

	/** As paused, and an operator cancels the plan meanwhile. */
	PAUSED_AND_CANCELLED;

	boolean pauses() {
		return this == PAUSED || this == PAUSED_AND_OTHER_KILLED || this == PAUSED_AND_CANCELLED;
	}

}
