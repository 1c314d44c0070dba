package io.bulrushrouter.request;

/**
 * The checks that the invariants depend on. Only tests disable one, to show that the
 * fault matrix detects it.
 *
 * @param startedMark whether a cancelled attempt that was started is reported as possibly
 * run
 * @param claim whether the key of a non-idempotent request is claimed
 * @param incarnation whether messages from or to other incarnations are dropped
 * @param gate whether a draining upstream rejects new attempts
 */
record Guards(boolean startedMark, boolean claim, boolean incarnation, boolean gate) {

	static final Guards ALL = new Guards(true, true, true, true);

}
