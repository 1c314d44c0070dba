package io.bulrushrouter.experts.live;

/**
 * The result of an order.
 */
public enum OrderResult {

	/** The rank carried out the order or started to. */
	ACCEPTED,

	/** The order conflicts with the rank's state and has no effect. */
	REFUSED,

	/**
	 * No answer arrived: the order may have taken effect, or may still do so seconds
	 * later.
	 */
	UNKNOWN,

	/** The rank refused the order because it has seen a higher fencing token. */
	SUPERSEDED

}
