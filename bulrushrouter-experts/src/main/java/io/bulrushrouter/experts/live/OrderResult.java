package io.bulrushrouter.experts.live;

/**
 * The result of an order.
 */
public enum OrderResult {

	/** The rank carried out the order, or its state was as ordered before. */
	ACCEPTED,

	/** The order conflicts with the rank's state and has no effect. */
	REFUSED,

	/**
	 * No answer arrived: the order may have taken effect, or may still do so seconds
	 * later.
	 */
	UNKNOWN,

	/** The rank refused the order because it has seen a higher fencing token. */
	SUPERSEDED,

	/** The rank started to carry out the order. Its status shows when it has done so. */
	STARTED;

	/**
	 * Returns whether the rank carries out the order.
	 * @return whether it has done so or started to
	 */
	public boolean accepted() {
		return this == ACCEPTED || this == STARTED;
	}

}
