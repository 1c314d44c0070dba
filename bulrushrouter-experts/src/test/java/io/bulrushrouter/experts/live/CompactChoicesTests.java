package io.bulrushrouter.experts.live;

import java.util.Arrays;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of the compact encoding of choices.
 */
class CompactChoicesTests {

	private final SplittableRandom random = new SplittableRandom(5);

	// Choices with a few popular experts.
	private double[] choices(int length) {
		double[] choices = new double[length];
		Arrays.setAll(choices, (index) -> Math.floor(100 * Math.pow(1 - this.random.nextDouble(), -0.4)));
		return choices;
	}

	@ParameterizedTest
	@CsvSource({ "3, 96, 312", "16, 96, 1536", "12, 256, 1594", "16, 256, 2120" })
	void takesAFewBitsForEachExpert(int sets, int experts, int maxBytes) {
		byte[] encoded = CompactChoices.encode(choices(sets * experts), sets, this.random);
		assertThat(encoded.length).isAtMost(maxBytes);
	}

	@ParameterizedTest
	@CsvSource({ "3, 96", "16, 96", "12, 256", "5, 251" })
	void errorsOfManyRanksCancelOut(int sets, int experts) {
		int ranks = 400;
		double[] choices = choices(sets * experts);
		double[] sum = new double[choices.length];
		for (int rank = 0; rank < ranks; rank++) {
			double[] decoded = CompactChoices.decode(CompactChoices.encode(choices, sets, this.random));
			assertThat(decoded).hasLength(choices.length);
			Arrays.setAll(sum, (index) -> sum[index] + decoded[index]);
		}
		double mean = Arrays.stream(choices).average().orElseThrow();
		for (int index = 0; index < sum.length; index++) {
			assertThat(sum[index] / ranks).isWithin(0.1 * mean + 0.02 * choices[index]).of(choices[index]);
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 96, 4_096 })
	void keepsSetsWithoutChoicesEmpty(int experts) {
		double[] decoded = CompactChoices.decode(CompactChoices.encode(new double[experts], 1, this.random));
		assertThat(Arrays.stream(decoded).sum()).isEqualTo(0.0);
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, 4, 20, 311, 313 })
	void rejectsBytesOfTheWrongLength(int length) {
		byte[] encoded = CompactChoices.encode(choices(3 * 96), 3, this.random);
		byte[] truncated = Arrays.copyOf(encoded, length);
		Assertions.assertThrows(IllegalArgumentException.class, () -> CompactChoices.decode(truncated));
	}

}
