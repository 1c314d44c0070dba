package io.bulrushrouter.gateway.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against streams that send bytes without ever completing an event, and against
 * cuts of streams that are only slow.
 */
class EventProgressTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private final EventProgress progress = new EventProgress(Duration.ofMillis(500),
			Optional.of(Duration.ofMillis(150)));

	private boolean arrive(int completed, boolean partial, double seconds) {
		return this.progress.bytesArrived(completed, partial, (long) (seconds * SECOND));
	}

	@Test
	void aStreamThatTricklesAnEventIsStalledOnceCallersHaveLeft() {
		assertThat(arrive(1, true, 0)).isFalse();
		assertThat(arrive(1, true, 1.9)).isFalse();
		assertThat(arrive(1, true, 2)).isTrue();
	}

	@Test
	void aStreamThatTricklesItsHeadIsStalled() {
		assertThat(arrive(0, true, 0)).isFalse();
		assertThat(arrive(0, true, 2)).isTrue();
	}

	@Test
	void aStreamThatTricklesTheFramingOfChunksIsStalled() {
		assertThat(arrive(1, false, 0)).isFalse();
		assertThat(arrive(1, false, 1)).isFalse();
		assertThat(arrive(1, false, 2)).isFalse();
		assertThat(arrive(1, false, 3)).isTrue();
	}

	@Test
	void anEventInPartsAfterALongSilenceIsNoStall() {
		assertThat(arrive(2, false, 0)).isFalse();
		assertThat(arrive(2, false, 0)).isFalse();
		assertThat(arrive(2, false, 9)).isFalse();
		assertThat(arrive(2, true, 9.1)).isFalse();
		assertThat(arrive(3, false, 9.2)).isFalse();
	}

	@Test
	void aSlowStreamOfWholeEventsIsNoStall() {
		for (int event = 1; event < 10; event++) {
			assertThat(arrive(event, event % 2 == 0, event * 5)).isFalse();
		}
	}

	@Test
	void waitsAsLongAsCallersOfTheRouteDo() {
		EventProgress patient = new EventProgress(Duration.ofMillis(500), Optional.of(Duration.ofMillis(400)));
		assertThat(patient.bytesArrived(1, true, 0)).isFalse();
		assertThat(patient.bytesArrived(1, true, 3 * SECOND)).isFalse();
		assertThat(patient.bytesArrived(1, true, 4 * SECOND)).isTrue();
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
