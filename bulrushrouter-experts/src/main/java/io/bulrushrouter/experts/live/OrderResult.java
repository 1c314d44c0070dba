package io.bulrushrouter.experts.live;

/**
 * What came of an order.
 */
public enum OrderResult {

	/** It is done or has begun. */
	ACCEPTED,

	/** It did not fit the rank's state and has no effect. */
	REFUSED,

	/** There was no answer: it may take effect, now or seconds later. */
	UNKNOWN,

	/** Refused since the rank has seen a higher fencing token. */
	SUPERSEDED

}
