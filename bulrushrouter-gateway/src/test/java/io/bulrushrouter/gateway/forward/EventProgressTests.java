package io.bulrushrouter.gateway.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against streams that send bytes without ever completing an event, and against
 * cuts of streams that are only slow.
 */
class EventProgressTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private final EventProgress progress = new EventProgress(Duration.ofMillis(500),
			Optional.of(Duration.ofMillis(150)));

	private boolean arrive(int completed, double seconds) {
		return this.progress.bytesArrived(completed, (long) (seconds * SECOND));
	}

	private double secondsToStall(int completed, double interval) {
		double seconds = 0;
		while (!arrive(completed, seconds) && seconds < 60) {
			seconds += interval;
		}
		return seconds;
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 7 })
	void aStreamThatTricklesBytesIsStalledOnceCallersHaveLeft(int completed) {
		assertThat(secondsToStall(completed, 0.25)).isEqualTo(2.0);
	}

	@Test
	void aStreamThatSendsAByteNowAndThenIsStalledAfterSomeOfThem() {
		assertThat(secondsToStall(1, 3)).isEqualTo(12.0);
	}

	@Test
	void anEventInPartsAfterALongSilenceIsNoStall() {
		assertThat(arrive(2, 0)).isFalse();
		assertThat(arrive(2, 0)).isFalse();
		assertThat(arrive(2, 9)).isFalse();
		assertThat(arrive(2, 9.1)).isFalse();
		assertThat(arrive(3, 9.2)).isFalse();
	}

	@Test
	void aSuspensionInTheMiddleOfAnEventIsNoStall() {
		assertThat(arrive(1, 0)).isFalse();
		assertThat(arrive(1, 5)).isFalse();
		assertThat(arrive(1, 5.1)).isFalse();
	}

	@Test
	void aSlowStreamOfWholeEventsIsNoStall() {
		for (int event = 1; event < 10; event++) {
			assertThat(arrive(event, event * 5)).isFalse();
		}
	}

	@Test
	void waitsAsLongAsCallersOfTheRouteDo() {
		EventProgress patient = new EventProgress(Duration.ofMillis(500), Optional.of(Duration.ofMillis(400)));
		for (int read = 0; read < 4; read++) {
			assertThat(patient.bytesArrived(1, read * SECOND * 4 / 5)).isFalse();
		}
		assertThat(patient.bytesArrived(1, 4 * SECOND * 4 / 5)).isTrue();
	}

	@Test
	void theClockOfAStreamStandsWhileItIsNotRead() {
		ReadPause pause = new ReadPause();
		pause.reading(false, SECOND);
		assertThat(pause.readingClock(3 * SECOND)).isEqualTo(SECOND);
		assertThat(pause.explainsLoss(SECOND + 1)).isFalse();
		pause.reading(true, 4 * SECOND);
		assertThat(pause.readingClock(5 * SECOND)).isEqualTo(2 * SECOND);
		assertThat(pause.explainsLoss(5 * SECOND)).isTrue();
	}

}
