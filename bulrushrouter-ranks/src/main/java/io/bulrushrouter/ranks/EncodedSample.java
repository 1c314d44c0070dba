package io.bulrushrouter.ranks;

import java.util.Arrays;
import java.util.random.RandomGenerator;

import io.bulrushrouter.experts.live.ChoiceSample;
import io.bulrushrouter.experts.live.CompactChoices;

/**
 * A {@link ChoiceSample} as it is sent between sidecars.
 *
 * @param epoch the group's epoch
 * @param ranks the number of ranks whose choices are included
 * @param spanMillis the time in which the choices were made, in milliseconds
 * @param choices the choices as encoded by {@link CompactChoices}
 */
record EncodedSample(long epoch, int ranks, long spanMillis, byte[] choices) {

	static EncodedSample of(ChoiceSample sample, int sets, RandomGenerator random) {
		return new EncodedSample(sample.epoch(), sample.ranks(), sample.spanMillis(),
				CompactChoices.encode(sample.choices(), sets, random));
	}

	ChoiceSample decode() {
		return new ChoiceSample(this.epoch, this.ranks, this.spanMillis, CompactChoices.decode(this.choices));
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof EncodedSample sample && sample.epoch == this.epoch && sample.ranks == this.ranks
				&& sample.spanMillis == this.spanMillis && Arrays.equals(sample.choices, this.choices);
	}

	@Override
	public int hashCode() {
		return Arrays.hashCode(this.choices);
	}

}
