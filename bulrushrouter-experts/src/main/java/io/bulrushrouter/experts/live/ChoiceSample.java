package io.bulrushrouter.experts.live;

/**
 * How often each expert was chosen in a recent span of time, by one rank or by several.
 *
 * @param epoch the group's epoch
 * @param ranks the number of ranks whose choices are included
 * @param spanMillis the time in which the choices were made, in milliseconds
 * @param choices the number of choices, by set and expert, flattened
 */
public record ChoiceSample(long epoch, int ranks, long spanMillis, double[] choices) {

	/**
	 * Returns this sample with the choices of another one added.
	 * @param other the sample to add
	 * @return the sum, or this sample if the other one belongs to another epoch or has
	 * another number of experts
	 */
	public ChoiceSample plus(ChoiceSample other) {
		if (other.epoch != this.epoch || other.choices.length != this.choices.length) {
			return this;
		}
		double[] sum = this.choices.clone();
		for (int index = 0; index < sum.length; index++) {
			sum[index] += other.choices[index];
		}
		return new ChoiceSample(this.epoch, this.ranks + other.ranks, Math.max(this.spanMillis, other.spanMillis), sum);
	}

}
