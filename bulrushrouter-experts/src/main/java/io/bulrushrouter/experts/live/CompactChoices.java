package io.bulrushrouter.experts.live;

import java.nio.ByteBuffer;
import java.util.random.RandomGenerator;

/**
 * Encodes choices in a few bits each. A value is stored as one of a few levels relative
 * to the largest value of its set; levels are closer together for small values. Each
 * value is rounded up or down at random such that its expected value is exact, so that
 * the errors of many ranks cancel out in their sum.
 */
public final class CompactChoices {

	/** With more experts than this, a value takes 4 bits instead of 8. */
	private static final int MAX_FINE_VALUES = 1_024;

	private static final int FINE_BITS = 8;

	private static final int COARSE_BITS = 4;

	private CompactChoices() {
	}

	/**
	 * Encodes choices.
	 * @param choices the number of choices, by set and expert, flattened
	 * @param sets the number of sets
	 * @param random the random source of the rounding
	 * @return the encoded choices
	 */
	public static byte[] encode(double[] choices, int sets, RandomGenerator random) {
		int bits = (choices.length > MAX_FINE_VALUES) ? COARSE_BITS : FINE_BITS;
		int experts = choices.length / sets;
		int bytesPerSet = Float.BYTES + (experts * bits + Byte.SIZE - 1) / Byte.SIZE;
		ByteBuffer buffer = ByteBuffer.allocate(2 * Integer.BYTES + sets * bytesPerSet);
		buffer.putInt(sets).putInt(experts);
		byte[] bytes = buffer.array();
		int maxLevel = (1 << bits) - 1;
		for (int set = 0; set < sets; set++) {
			int start = buffer.position();
			float max = max(choices, set * experts, experts);
			buffer.putFloat(max);
			int position = start + Float.BYTES;
			for (int expert = 0; expert < experts; expert++) {
				int level = (max > 0) ? level(choices[set * experts + expert] / max, maxLevel, random) : 0;
				if (bits == FINE_BITS) {
					bytes[position + expert] = (byte) level;
				}
				else {
					bytes[position + expert / 2] |= (byte) (level << COARSE_BITS * (expert % 2));
				}
			}
			buffer.position(start + bytesPerSet);
		}
		return bytes;
	}

	private static float max(double[] choices, int start, int length) {
		double max = 0;
		for (int index = start; index < start + length; index++) {
			max = Math.max(max, choices[index]);
		}
		return (float) max;
	}

	// The level whose square stands for the value, which lies between two levels.
	private static int level(double fraction, int maxLevel, RandomGenerator random) {
		int lower = Math.min(maxLevel, (int) (Math.sqrt(fraction) * maxLevel));
		double below = fraction(lower, maxLevel);
		double above = fraction(lower + 1, maxLevel);
		boolean up = lower < maxLevel && random.nextDouble() < (fraction - below) / (above - below);
		return up ? lower + 1 : lower;
	}

	private static double fraction(int level, int maxLevel) {
		double root = level / (double) maxLevel;
		return root * root;
	}

	/**
	 * Decodes choices.
	 * @param bytes the encoded choices
	 * @return the number of choices, by set and expert, flattened
	 * @throws IllegalArgumentException if the bytes are not encoded choices
	 */
	public static double[] decode(byte[] bytes) {
		if (bytes.length < 2 * Integer.BYTES) {
			throw new IllegalArgumentException("encoded choices are too short: " + bytes.length + " bytes");
		}
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		int sets = buffer.getInt();
		int experts = buffer.getInt();
		int bits = ((long) sets * experts > MAX_FINE_VALUES) ? COARSE_BITS : FINE_BITS;
		long bytesPerSet = Float.BYTES + ((long) experts * bits + Byte.SIZE - 1) / Byte.SIZE;
		if (sets < 0 || experts < 0 || buffer.remaining() != sets * bytesPerSet) {
			throw new IllegalArgumentException(
					"encoded choices of " + sets + " sets of " + experts + " experts have " + bytes.length + " bytes");
		}
		int maxLevel = (1 << bits) - 1;
		double[] choices = new double[sets * experts];
		for (int set = 0; set < sets; set++) {
			int start = buffer.position();
			double max = buffer.getFloat();
			int position = start + Float.BYTES;
			for (int expert = 0; expert < experts; expert++) {
				int level = (bits == FINE_BITS) ? bytes[position + expert]
						: bytes[position + expert / 2] >> COARSE_BITS * (expert % 2);
				choices[set * experts + expert] = max * fraction(level & maxLevel, maxLevel);
			}
			buffer.position(start + (int) bytesPerSet);
		}
		return choices;
	}

}
