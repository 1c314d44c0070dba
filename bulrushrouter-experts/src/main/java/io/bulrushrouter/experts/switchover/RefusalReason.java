package io.bulrushrouter.experts.switchover;

/**
 * Why a rank refuses a prepare or a commit.
 */
public enum RefusalReason {

	/** A higher fencing number was seen. */
	STALE_FENCE,

	/** The rank has vowed on the attempt. */
	COMMIT_BLOCKED,

	/** An older change is undecided or waits for its step. */
	BUSY,

	/** The rank uses another map than the change starts from. */
	MAP_VERSION_MISMATCH,

	/** The rank has reached the step of the change. */
	TOO_LATE,

	/** The rank's engine holds no stop for the attempt. */
	NOT_ARMED

}
