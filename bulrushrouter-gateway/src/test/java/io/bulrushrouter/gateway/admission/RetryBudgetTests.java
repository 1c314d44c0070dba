package io.bulrushrouter.gateway.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * The bound on further attempts.
 */
class RetryBudgetTests {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final long WINDOW_NANOS = 10_000 * NANOS_PER_MILLI;

	@Test
	void staysWithinItsShareInAnySlidingWindow() {
		RetryBudget allowance = RetryBudget.of(0.16, 4, 10_000);
		Random random = new Random(5);
		List<Long> requests = new ArrayList<>();
		List<Long> retries = new ArrayList<>();
		long now = 0;
		for (int turn = 0; turn < 6_000; turn++) {
			now += (long) (random.nextDouble() * 40 * NANOS_PER_MILLI * ((turn / 1_000 % 2 == 0) ? 1 : 10));
			allowance.recordRequest(now);
			requests.add(now);
			if (allowance.tryRetry(now)) {
				retries.add(now);
			}
		}
		assertThat(retries).isNotEmpty();
		for (int first = 0; first < retries.size(); first++) {
			long start = retries.get(first);
			long sent = retries.stream().filter((at) -> at >= start && at < start + WINDOW_NANOS).count();
			// The users' bound counts the requests of the window or of the one before it.
			long asked = Math.max(requests.stream().filter((at) -> at >= start && at < start + WINDOW_NANOS).count(),
					requests.stream().filter((at) -> at >= start - WINDOW_NANOS && at < start).count());
			assertThat((double) sent).isAtMost(0.2 * asked + 4 + 1);
		}
	}

	@Test
	void allowsTheMinimumWithoutRequests() {
		RetryBudget allowance = RetryBudget.of(0.16, 2, 10_000);
		assertThat(allowance.tryRetry(0)).isTrue();
		assertThat(allowance.tryRetry(1)).isTrue();
		assertThat(allowance.tryRetry(2)).isFalse();
		assertThat(allowance.tryRetry(2 * WINDOW_NANOS)).isTrue();
	}

}
