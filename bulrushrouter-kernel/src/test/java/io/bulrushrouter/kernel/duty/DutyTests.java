package io.bulrushrouter.kernel.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link Duty}.
 */
class DutyTests {

	@Test
	void handlesMessagesInOrderAndSurvivesAFailure() {
		List<Integer> seen = new ArrayList<>();
		try (Duty<Integer> duty = Duty.<Integer>builder("test", (number) -> {
			if (number == 3) {
				throw new IllegalStateException("failure raised by the test");
			}
			seen.add(number);
		}).start()) {
			IntStream.range(0, 6).forEach(duty::put);
		}
		assertThat(seen).containsExactly(0, 1, 2, 4, 5).inOrder();
	}

	@Test
	void refusesMessagesWhenItsQueueIsFull() throws InterruptedException {
		CountDownLatch started = new CountDownLatch(1);
		CountDownLatch release = new CountDownLatch(1);
		try (Duty<Integer> duty = Duty.<Integer>builder("test", (number) -> {
			started.countDown();
			awaitQuietly(release);
		}).capacity(2).start()) {
			duty.put(0);
			assertThat(started.await(5, TimeUnit.SECONDS)).isTrue();
			assertThat(duty.offer(1)).isTrue();
			assertThat(duty.offer(2)).isTrue();
			assertThat(duty.offer(3)).isFalse();
			release.countDown();
		}
	}

	private static void awaitQuietly(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
