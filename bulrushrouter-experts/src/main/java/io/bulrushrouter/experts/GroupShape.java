package io.bulrushrouter.experts;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * The fixed sizes of a rank group.
 *
 * @param layers the layers with experts
 * @param experts the experts of a layer, at most {@value #MAX_EXPERTS}
 * @param ranks the ranks of the group
 * @param slots the expert slots that a rank's memory has for each layer
 */
public record GroupShape(int layers, int experts, int ranks, int slots) {

	/** Most experts of a layer. */
	public static final int MAX_EXPERTS = Short.MAX_VALUE;

	/**
	 * Checks the sizes.
	 * @throws BulrushException with {@link ErrorCode#BAD_CONFIGURATION} if a size is not
	 * positive or the experts of a layer do not fit
	 */
	public GroupShape {
		boolean positive = layers > 0 && experts > 0 && ranks > 0 && slots > 0;
		if (!positive || experts > MAX_EXPERTS || experts > (long) ranks * slots) {
			throw new BulrushException(ErrorCode.BAD_CONFIGURATION, "group of " + layers + " layers x " + experts
					+ " experts does not fit " + ranks + " ranks x " + slots + " slots");
		}
	}

	/**
	 * Returns a shape.
	 * @param layers the layers with experts
	 * @param experts the experts of a layer
	 * @param ranks the ranks of the group
	 * @param slots the expert slots of a rank for each layer
	 * @return the shape
	 */
	public static GroupShape of(int layers, int experts, int ranks, int slots) {
		return new GroupShape(layers, experts, ranks, slots);
	}

	/**
	 * Returns the slots of one layer over all ranks.
	 * @return the count
	 */
	public int slotsPerLayer() {
		return this.ranks * this.slots;
	}

}
