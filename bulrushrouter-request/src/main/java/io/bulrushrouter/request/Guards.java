package io.bulrushrouter.request;

/**
 * The checks that the invariants rest on. Only tests switch one off, to show that the
 * fault matrix notices.
 *
 * @param startedMark whether a cancel looks at the mark of a started attempt
 * @param claim whether the key of a non-idempotent request is claimed
 * @param incarnation whether messages of other incarnations are dropped
 * @param gate whether a draining upstream refuses new attempts
 */
record Guards(boolean startedMark, boolean claim, boolean incarnation, boolean gate) {

	static final Guards ALL = new Guards(true, true, true, true);

}
