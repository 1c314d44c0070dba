package io.bulrushrouter.experts;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * The fixed dimensions of a rank group.
 *
 * @param layers the number of layers with experts
 * @param experts the number of experts per layer, at most {@value #MAX_EXPERTS}
 * @param ranks the number of ranks in the group
 * @param slots the number of expert slots per layer in the memory of a rank
 */
public record GroupShape(int layers, int experts, int ranks, int slots) {

	/** The maximum number of experts per layer. */
	public static final int MAX_EXPERTS = Short.MAX_VALUE;

	/**
	 * Validates the dimensions.
	 * @throws BulrushException with {@link ErrorCode#BAD_CONFIGURATION} if a dimension is
	 * not positive or the experts of a layer exceed the slots or the maximum
	 */
	public GroupShape {
		boolean positive = layers > 0 && experts > 0 && ranks > 0 && slots > 0;
		if (!positive || experts > MAX_EXPERTS || experts > (long) ranks * slots) {
			throw new BulrushException(ErrorCode.BAD_CONFIGURATION, "group of " + layers + " layers x " + experts
					+ " experts does not fit " + ranks + " ranks x " + slots + " slots");
		}
	}

	/**
	 * Creates a shape.
	 * @param layers the number of layers with experts
	 * @param experts the number of experts per layer
	 * @param ranks the number of ranks in the group
	 * @param slots the number of expert slots per layer of a rank
	 * @return the shape
	 */
	public static GroupShape of(int layers, int experts, int ranks, int slots) {
		return new GroupShape(layers, experts, ranks, slots);
	}

	/**
	 * Returns the number of slots of one layer on all ranks together.
	 * @return the number of slots
	 */
	public int slotsPerLayer() {
		return this.ranks * this.slots;
	}

}
