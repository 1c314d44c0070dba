package io.bulrushrouter.gateway.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.gateway.membership.EntryMembership;
import io.bulrushrouter.gateway.source.EntryHeartbeat;

import static com.google.common.truth.Truth.assertThat;

/**
 * The bound of the retry budget over sliding windows.
 */
class RetryBudgetTests {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final long WINDOW_NANOS = 10_000 * NANOS_PER_MILLI;

	@Test
	void staysWithinItsShareInAnySlidingWindow() {
		RetryBudget budget = RetryBudget.of(0.16, () -> 4, 10_000);
		Random random = new Random(5);
		List<Long> requests = new ArrayList<>();
		List<Long> retries = new ArrayList<>();
		long now = 0;
		for (int iteration = 0; iteration < 6_000; iteration++) {
			now += (long) (random.nextDouble() * 40 * NANOS_PER_MILLI * ((iteration / 1_000 % 2 == 0) ? 1 : 10));
			budget.recordRequest(now);
			requests.add(now);
			if (budget.tryRetry(now)) {
				retries.add(now);
			}
		}
		assertThat(retries).isNotEmpty();
		for (int first = 0; first < retries.size(); first++) {
			long start = retries.get(first);
			long sent = retries.stream().filter((at) -> at >= start && at < start + WINDOW_NANOS).count();
			// The users' bound counts the requests of this window or of the previous one.
			long requested = Math.max(
					requests.stream().filter((at) -> at >= start && at < start + WINDOW_NANOS).count(),
					requests.stream().filter((at) -> at >= start - WINDOW_NANOS && at < start).count());
			assertThat((double) sent).isAtMost(0.2 * requested + 4 + 1);
		}
	}

	@Test
	void givesAllSpareRetriesToFewEntriesAndNeverMoreWhileOneIsNotSeenYet() {
		double spare = 90;
		for (int entries = 1; entries <= 400; entries *= 2) {
			List<EntryHeartbeat> seen = IntStream.range(0, entries)
				.mapToObj((index) -> new EntryHeartbeat("entry-" + index, 1))
				.toList();
			int sent = 0;
			for (int index = 0; index <= entries; index++) {
				EntryMembership membership = new EntryMembership("entry-" + index);
				membership.listed(seen);
				sent += retriesAtOnce(RetryBudget.of(0, () -> membership.equalShare(spare), 10_000));
			}
			assertThat(sent).isAtMost((int) spare);
			if (entries <= 8) {
				assertThat(sent).isAtLeast((int) (0.7 * spare));
			}
		}
	}

	private static int retriesAtOnce(RetryBudget budget) {
		int sent = 0;
		while (budget.tryRetry(0)) {
			sent++;
		}
		return sent;
	}

	@Test
	void allowsTheMinimumWithoutRequests() {
		RetryBudget budget = RetryBudget.of(0.16, () -> 2, 10_000);
		assertThat(budget.tryRetry(0)).isTrue();
		assertThat(budget.tryRetry(1)).isTrue();
		assertThat(budget.tryRetry(2)).isFalse();
		assertThat(budget.tryRetry(2 * WINDOW_NANOS)).isTrue();
	}

}
