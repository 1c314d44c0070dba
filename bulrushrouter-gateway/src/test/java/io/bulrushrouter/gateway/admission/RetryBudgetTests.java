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

	// Guards against spare retries that each process of an entry has again.
	@Test
	void staysWithinTheBudgetOfAllEntriesWhileTheyStartAgainAndAgain() {
		double spare = 92;
		int entries = 3;
		for (int seed = 0; seed < 50; seed++) {
			Random random = new Random(seed);
			List<Long> requests = new ArrayList<>();
			List<Long> retries = new ArrayList<>();
			long[] now = new long[1];
			RetryBudget[] budgets = new RetryBudget[entries];
			for (int index = 0; index < entries; index++) {
				budgets[index] = budgetOfProcess(spare / entries, now, true);
			}
			for (int iteration = 0; iteration < 4_000; iteration++) {
				now[0] += (long) (random.nextDouble() * 10 * NANOS_PER_MILLI);
				int index = random.nextInt(entries);
				if (random.nextInt(200) == 0) {
					budgets[index] = budgetOfProcess(spare / entries, now, false);
				}
				budgets[index].recordRequest(now[0]);
				requests.add(now[0]);
				if (budgets[index].tryRetry(now[0])) {
					retries.add(now[0]);
				}
			}
			assertThat(retries.size()).isGreaterThan((int) spare);
			for (long start : retries) {
				long sent = retries.stream().filter((at) -> at >= start && at < start + WINDOW_NANOS).count();
				long requested = requests.stream().filter((at) -> at >= start && at < start + WINDOW_NANOS).count();
				assertThat((double) sent).isAtMost(0.2 * requested + spare);
			}
		}
	}

	private static RetryBudget budgetOfProcess(double share, long[] now, boolean first) {
		SpareRetries spare = SpareRetries.of(() -> share, () -> now[0], 10_000);
		if (first) {
			spare.firstProcess();
		}
		return RetryBudget.of(0.16, spare, 10_000);
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
