package io.bulrushrouter.gateway.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.bulrushrouter.gateway.membership.EntryMembership;
import io.bulrushrouter.gateway.source.EntryHeartbeat;
import io.bulrushrouter.gateway.source.UpstreamRecord;

import static com.google.common.truth.Truth.assertThat;

/**
 * Load of a limited upstream from entries that send as much as they may, at any moment.
 */
class UpstreamLimitsTests {

	private static final long STEP_MILLIS = 50;

	private static final long DURATION_MILLIS = 250_000;

	private static final long WINDOW_MILLIS = 4_000;

	private static final UpstreamRecord UPSTREAM = new UpstreamRecord("up", "s",
			InetSocketAddress.createUnresolved("up", 1), "a", 8, false, 0);

	private static List<UpstreamLimits> entries(int count) {
		List<EntryHeartbeat> heartbeats = IntStream.range(0, count)
			.mapToObj((index) -> new EntryHeartbeat("entry-" + index, 1))
			.toList();
		List<UpstreamLimits> entries = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			EntryMembership membership = new EntryMembership("entry-" + index);
			membership.listed(heartbeats);
			entries.add(new UpstreamLimits(membership));
		}
		return entries;
	}

	private static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	// Returns the most requests in a window, and the total.
	private static int[] play(List<UpstreamLimits> entries, double limit, LongPredicate demandAt) {
		entries.forEach((entry) -> entry.named("up", OptionalDouble.of(limit), 0));
		Deque<Long> window = new ArrayDeque<>();
		int most = 0;
		int total = 0;
		for (long millis = 0; millis < DURATION_MILLIS; millis += STEP_MILLIS) {
			while (!window.isEmpty() && window.peekFirst() <= millis - WINDOW_MILLIS) {
				window.removeFirst();
			}
			if (!demandAt.test(millis)) {
				continue;
			}
			for (UpstreamLimits entry : entries) {
				if (!entry.allowed(List.of(UPSTREAM), nanos(millis)).isEmpty()) {
					entry.sent("up", nanos(millis));
					window.addLast(millis);
					total++;
				}
			}
			most = Math.max(most, window.size());
		}
		return new int[] { most, total };
	}

	@ParameterizedTest
	@CsvSource({ "1, 1", "4, 0.5", "4, 1", "5, 3", "17, 0", "17, 1", "17, 8", "30, 2.5" })
	void keepsToTheLimitInAnyWindowUnderSteadyDemandAndAfterIdleTimes(int entries, double limit) {
		double allowed = 1.5 * limit * WINDOW_MILLIS / 1_000 + 5;
		int[] steady = play(entries(entries), limit, (millis) -> true);
		assertThat((double) steady[0]).isAtMost(allowed);
		assertThat((double) steady[1]).isAtLeast(0.8 * limit * DURATION_MILLIS / 1_000 - entries);
		int[] bursts = play(entries(entries), limit, (millis) -> millis % 10_000 >= 8_000);
		assertThat((double) bursts[0]).isAtMost(allowed);
	}

	@Test
	void liftsALimitThatAResponseNoLongerNames() {
		UpstreamLimits limits = new UpstreamLimits((upstream, limit) -> limit);
		limits.named("up", OptionalDouble.of(1), nanos(0));
		assertThat(limits.allowed(List.of(UPSTREAM), nanos(10))).isEmpty();
		assertThat(limits.allowed(List.of(UPSTREAM), nanos(1_000))).hasSize(1);
		limits.named("up", OptionalDouble.empty(), nanos(20));
		assertThat(limits.allowed(List.of(UPSTREAM), nanos(30))).hasSize(1);
	}

	@Test
	void countsARequestAgainstTheLimitAlsoWhenTheLimitChanges() {
		UpstreamLimits limits = new UpstreamLimits((upstream, limit) -> limit);
		limits.named("up", OptionalDouble.of(1), nanos(0));
		limits.sent("up", nanos(2_000));
		limits.named("up", OptionalDouble.of(0.5), nanos(2_100));
		assertThat(limits.allowed(List.of(UPSTREAM), nanos(3_900))).isEmpty();
		assertThat(limits.allowed(List.of(UPSTREAM), nanos(4_000))).hasSize(1);
	}

}
