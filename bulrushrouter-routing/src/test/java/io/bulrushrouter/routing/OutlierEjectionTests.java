package io.bulrushrouter.routing;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link OutlierEjection}.
 */
class OutlierEjectionTests {

	private final EjectionSettings settings = EjectionSettings.ofDefaults();

	private final OutlierEjection ejection = OutlierEjection.of(Fixtures.specs(4), this.settings);

	private boolean fail(int upstream, long now) {
		boolean ejected = false;
		for (int i = 0; i < this.settings.consecutiveFailures(); i++) {
			ejected |= this.ejection.ended(Fixtures.upstream(upstream), Outcome.FAILED, now);
		}
		return ejected;
	}

	private double trafficShare(int upstream, long now) {
		return this.ejection.trafficShare(Fixtures.upstream(upstream), now);
	}

	@Test
	void ejectsAtMostTheConfiguredFraction() {
		assertThat(fail(0, 0)).isTrue();
		assertThat(fail(1, 0)).isTrue();
		assertThat(fail(2, 0)).isFalse();
		assertThat(trafficShare(0, 0)).isEqualTo(0.0);
		assertThat(trafficShare(2, 0)).isEqualTo(1.0);
	}

	@ParameterizedTest
	@EnumSource(value = Outcome.class, names = "FAILED", mode = EnumSource.Mode.EXCLUDE)
	void ejectsOnlyForConsecutiveFailures(Outcome outcome) {
		boolean ejected = false;
		for (int i = 0; i < 100; i++) {
			ejected |= this.ejection.ended(Fixtures.upstream(0), (i % 4 == 3) ? Outcome.ANSWERED : Outcome.FAILED, 0);
			this.ejection.ended(Fixtures.upstream(1), outcome, 0);
		}
		assertThat(ejected).isFalse();
		assertThat(trafficShare(1, 0)).isEqualTo(1.0);
	}

	@Test
	void rampsUpGraduallyToFullTrafficWithinTenSecondsOfTheLastFailure() {
		long now = 0;
		fail(0, now);
		for (int i = 0; i < 20; i++) {
			now += this.settings.maxEjectionNanos();
			this.ejection.ended(Fixtures.upstream(0), Outcome.FAILED, now);
		}
		assertThat(trafficShare(0, now)).isEqualTo(0.0);
		long ejectionEnd = now + this.settings.maxEjectionNanos();
		assertThat(trafficShare(0, ejectionEnd)).isWithin(0.001).of(0.05);
		assertThat(trafficShare(0, ejectionEnd + this.settings.rampUpNanos() / 2)).isWithin(0.01).of(0.52);
		assertThat(trafficShare(0, now + 10 * Fixtures.SECOND)).isEqualTo(1.0);
	}

	@Test
	void setsSharesInTheTable() {
		UpstreamTable table = Fixtures.table(4);
		fail(0, 0);
		this.ejection.applyTo(table, 1);
		assertThat(table.find(Fixtures.upstream(0)).orElseThrow().state()).isEqualTo(UpstreamState.EJECTED);
		this.ejection.applyTo(table, 20 * Fixtures.SECOND);
		assertThat(table.find(Fixtures.upstream(0)).orElseThrow().state()).isEqualTo(UpstreamState.LIVE);
	}

}
