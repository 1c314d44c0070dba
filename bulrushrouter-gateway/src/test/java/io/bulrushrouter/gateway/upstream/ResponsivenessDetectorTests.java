package io.bulrushrouter.gateway.upstream;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.gateway.upstream.ResponsivenessDetector.Action;

import static com.google.common.truth.Truth.assertThat;

/**
 * Detection of upstreams that neither respond nor answer a probe.
 */
class ResponsivenessDetectorTests {

	private final ResponsivenessDetector detector = new ResponsivenessDetector();

	private Action poll(long millis) {
		return this.detector.poll(TimeUnit.MILLISECONDS.toNanos(millis));
	}

	private void requestSent(long millis) {
		this.detector.requestSent(TimeUnit.MILLISECONDS.toNanos(millis));
	}

	private void heard(long millis) {
		this.detector.heard(TimeUnit.MILLISECONDS.toNanos(millis));
	}

	@Test
	void probesAnUpstreamOnlyAfterSilenceWhileAResponseIsOwed() {
		assertThat(poll(5_000)).isEqualTo(Action.NONE);
		requestSent(5_000);
		assertThat(poll(5_299)).isEqualTo(Action.NONE);
		heard(5_299);
		assertThat(poll(5_598)).isEqualTo(Action.NONE);
		assertThat(poll(5_600)).isEqualTo(Action.PROBE);
		this.detector.requestEnded();
		assertThat(this.detector.idle()).isTrue();
	}

	@Test
	void declaresAnUpstreamUnresponsiveOnceWhenItDoesNotAnswerTheProbe() {
		requestSent(0);
		assertThat(poll(300)).isEqualTo(Action.PROBE);
		assertThat(poll(540)).isEqualTo(Action.NONE);
		assertThat(poll(550)).isEqualTo(Action.DECLARE_UNRESPONSIVE);
		assertThat(poll(600)).isEqualTo(Action.NONE);
		assertThat(this.detector.unresponsive()).isTrue();
		this.detector.requestEnded();
		assertThat(this.detector.idle()).isFalse();
	}

	@Test
	void neverDeclaresABusyUpstreamThatAnswersProbesUnresponsive() {
		requestSent(0);
		int probes = 0;
		for (long millis = 0; millis < 20_000; millis += 50) {
			Action action = poll(millis);
			assertThat(action).isNotEqualTo(Action.DECLARE_UNRESPONSIVE);
			if (action == Action.PROBE) {
				probes++;
				heard(millis + 20);
			}
		}
		assertThat(probes).isAtMost(20);
	}

	@Test
	void readmitsAnUpstreamAsSoonAsItSendsSomething() {
		requestSent(0);
		poll(300);
		poll(550);
		heard(3_000);
		assertThat(this.detector.unresponsive()).isFalse();
		assertThat(poll(3_100)).isEqualTo(Action.NONE);
	}

	@Test
	void probesAnUnresponsiveUpstreamLessAndLessOften() {
		requestSent(0);
		poll(300);
		poll(550);
		this.detector.requestEnded();
		int probes = 0;
		for (long millis = 600; millis <= 20_600; millis += 100) {
			probes += (poll(millis) == Action.PROBE) ? 1 : 0;
		}
		assertThat(probes).isAtLeast(4);
		assertThat(probes).isAtMost(8);
	}

	@Test
	void blamesNoUpstreamForASuspensionOfThisProcess() {
		requestSent(0);
		assertThat(poll(300)).isEqualTo(Action.PROBE);
		this.detector.restart(TimeUnit.MILLISECONDS.toNanos(4_000));
		assertThat(poll(4_100)).isEqualTo(Action.NONE);
		heard(4_150);
		assertThat(poll(4_300)).isEqualTo(Action.NONE);
		assertThat(this.detector.unresponsive()).isFalse();
	}

}
