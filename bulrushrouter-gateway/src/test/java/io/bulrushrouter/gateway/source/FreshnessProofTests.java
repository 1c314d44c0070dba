package io.bulrushrouter.gateway.source;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Age of the freshness proof, also across suspensions and adjustments of the time of day.
 */
class FreshnessProofTests {

	private long monotonicMillis = 1_000;

	private long timeOfDayMillis = 500_000;

	private final FreshnessProof proof = new FreshnessProof(() -> this.monotonicMillis * 1_000_000,
			() -> this.timeOfDayMillis);

	private void advance(long millis) {
		this.monotonicMillis += millis;
		this.timeOfDayMillis += millis;
	}

	@Test
	void hasNoAgeWithoutAProof() {
		assertThat(this.proof.ageMillis()).isEqualTo(Long.MAX_VALUE);
	}

	@Test
	void countsFromTheTimeOfTheRequest() {
		long requestedNanos = this.monotonicMillis * 1_000_000;
		advance(1_500);
		this.proof.prove(requestedNanos);
		advance(100);
		assertThat(this.proof.ageMillis()).isEqualTo(1_600);
	}

	@Test
	void isVoidAfterASuspensionThatTheMonotonicClockDoesNotCount() {
		this.proof.prove(this.monotonicMillis * 1_000_000);
		this.timeOfDayMillis += 6_000;
		advance(10);
		assertThat(this.proof.ageMillis()).isEqualTo(Long.MAX_VALUE);
	}

	@Test
	void isNotRenewedByAnAnswerRequestedBeforeASuspension() {
		long requestedNanos = this.monotonicMillis * 1_000_000;
		this.timeOfDayMillis += 6_000;
		this.proof.prove(requestedNanos);
		assertThat(this.proof.ageMillis()).isEqualTo(Long.MAX_VALUE);
		this.proof.prove(this.monotonicMillis * 1_000_000);
		assertThat(this.proof.ageMillis()).isEqualTo(0);
	}

	@Test
	void remainsValidAfterABackwardStepOfTheTimeOfDay() {
		this.proof.prove(this.monotonicMillis * 1_000_000);
		this.timeOfDayMillis -= 2_400;
		advance(300);
		assertThat(this.proof.ageMillis()).isEqualTo(300);
	}

}
