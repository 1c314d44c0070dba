package io.bulrushrouter.experts.switchover;

/**
 * The reason why a rank refuses a prepare or a commit.
 */
public enum RefusalReason {

	/** The rank has seen a higher fencing token. */
	STALE_FENCE,

	/** The rank's engine blocks the commit of the attempt. */
	COMMIT_BLOCKED,

	/** Another change is undecided, or committed and its step has not begun. */
	BUSY,

	/** The map in use at the rank is not the one that the change starts from. */
	MAP_VERSION_MISMATCH,

	/** The rank has already reached the step of the change. */
	TOO_LATE,

	/** The rank's engine has no armed stop for the attempt. */
	NOT_ARMED

}
