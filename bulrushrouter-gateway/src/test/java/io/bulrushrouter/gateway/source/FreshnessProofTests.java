package io.bulrushrouter.gateway.source;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * How old the proof of the configuration is.
 */
class FreshnessProofTests {

	private long steadyMillis = 1_000;

	private long timeOfDayMillis = 500_000;

	private final FreshnessProof proof = new FreshnessProof(() -> this.steadyMillis * 1_000_000,
			() -> this.timeOfDayMillis);

	private void pass(long millis) {
		this.steadyMillis += millis;
		this.timeOfDayMillis += millis;
	}

	@Test
	void hasNoAgeWithoutAProof() {
		assertThat(this.proof.ageMillis()).isEqualTo(Long.MAX_VALUE);
	}

	@Test
	void countsFromTheTimeOfAsking() {
		long asked = this.steadyMillis * 1_000_000;
		pass(1_500);
		this.proof.prove(asked);
		pass(100);
		assertThat(this.proof.ageMillis()).isEqualTo(1_600);
	}

	@Test
	void isVoidAfterASuspensionThatTheMonotonicClockDoesNotCount() {
		this.proof.prove(this.steadyMillis * 1_000_000);
		this.timeOfDayMillis += 6_000;
		pass(10);
		assertThat(this.proof.ageMillis()).isEqualTo(Long.MAX_VALUE);
	}

	@Test
	void isNotRenewedByAnAnswerThatWasAskedForBeforeASuspension() {
		long asked = this.steadyMillis * 1_000_000;
		this.timeOfDayMillis += 6_000;
		this.proof.prove(asked);
		assertThat(this.proof.ageMillis()).isEqualTo(Long.MAX_VALUE);
		this.proof.prove(this.steadyMillis * 1_000_000);
		assertThat(this.proof.ageMillis()).isEqualTo(0);
	}

	@Test
	void outlastsAStepBackOfTheTimeOfDay() {
		this.proof.prove(this.steadyMillis * 1_000_000);
		this.timeOfDayMillis -= 2_400;
		pass(300);
		assertThat(this.proof.ageMillis()).isEqualTo(300);
	}

}
