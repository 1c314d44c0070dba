package io.bulrushrouter.gateway.upstream;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.bulrushrouter.gateway.config.WarmupSpec;
import io.bulrushrouter.gateway.membership.EntryMembership;
import io.bulrushrouter.gateway.source.EntryHeartbeat;
import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.gateway.upstream.UpstreamDirectory.Origin;

import static com.google.common.truth.Truth.assertThat;

/**
 * Requests at cold upstreams from entries of which some are cut off from the store or
 * have just started, and what an entry takes for cold.
 */
class WarmupLimitsTests {

	private static final Duration WARMUP = Duration.ofSeconds(20);

	private static final long STEP_MILLIS = 10;

	private static final long DURATION_MILLIS = 18_000;

	private static final int COLD_UPSTREAMS = 6;

	private static final UpstreamRecord WARM = upstream("up", 1, 0);

	private final WarmupLimits limits = limits((upstream, limit) -> limit, 2, 1);

	private static UpstreamRecord upstream(String id, long incarnation, long coldMillis) {
		return new UpstreamRecord(id, "s", InetSocketAddress.createUnresolved("up", 1), "a", 8, false, incarnation,
				coldMillis);
	}

	private static WarmupLimits limits(LimitShare share, double rate, int seed) {
		WarmupSpec spec = new WarmupSpec(WARMUP, rate, "/health");
		return new WarmupLimits(share, (service) -> Optional.of(spec), new SplittableRandom(seed));
	}

	private static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	// The last entries that are named have just started; those before them are cut off,
	// and the connected ones no longer count them.
	private static List<WarmupLimits> entries(int count, int cutOff, int started, double rate) {
		int known = count - started;
		List<WarmupLimits> entries = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			EntryMembership membership = new EntryMembership("entry-" + index);
			boolean disconnected = index >= known - cutOff && index < known;
			if (index < known) {
				membership.listed(IntStream.range(0, disconnected ? known : known - cutOff)
					.mapToObj((other) -> new EntryHeartbeat("entry-" + other, 1))
					.toList());
			}
			for (int failed = 0; disconnected && failed < 3; failed++) {
				membership.listingFailed();
			}
			entries.add(limits(membership, rate, index));
		}
		return entries;
	}

	// Each entry sends whatever it may whenever there is demand. Returns the highest
	// number of
	// requests at one upstream in any second, and the mean per upstream and second.
	private static double[] play(List<WarmupLimits> entries, LongPredicate demandAt) {
		List<UpstreamRecord> upstreams = IntStream.range(0, COLD_UPSTREAMS)
			.mapToObj((index) -> upstream("up-" + index, 1, WARMUP.toMillis()))
			.toList();
		entries.forEach((entry) -> upstreams.forEach((each) -> entry.registered(each, Origin.CURRENT, 0)));
		Map<String, Deque<Long>> lastSecond = new HashMap<>();
		int most = 0;
		int total = 0;
		for (long millis = 0; millis < DURATION_MILLIS; millis += STEP_MILLIS) {
			if (!demandAt.test(millis)) {
				continue;
			}
			for (WarmupLimits entry : entries) {
				for (UpstreamRecord target : entry.allowed(upstreams, nanos(millis))) {
					entry.sent(target.id(), nanos(millis));
					Deque<Long> window = lastSecond.computeIfAbsent(target.id(), (id) -> new ArrayDeque<>());
					window.addLast(millis);
					while (window.peekFirst() <= millis - 1_000) {
						window.removeFirst();
					}
					most = Math.max(most, window.size());
					total++;
				}
			}
		}
		return new double[] { most, 1_000.0 * total / DURATION_MILLIS / COLD_UPSTREAMS };
	}

	@ParameterizedTest
	@CsvSource({ "6, 1, 1, 2", "6, 1, 1, 8", "6, 3, 0, 4", "20, 10, 0, 4", "20, 0, 0, 1", "22, 4, 4, 20", "60, 5, 5, 3",
			"400, 40, 40, 3", "1, 0, 0, 5" })
	void keepsAColdDataCentreUnderPeakWithinTheBoundInAnySecond(int count, int cutOff, int started, double rate) {
		double[] load = play(entries(count, cutOff, started, rate), (millis) -> true);
		double[] bursts = play(entries(count, cutOff, started, rate), (millis) -> millis % 4_000 >= 3_500);
		assertThat(load[0]).isAtMost(1.5 * rate + 5);
		assertThat(bursts[0]).isAtMost(1.5 * rate + 5);
		assertThat(load[1]).isAtLeast(0.75 * rate);
	}

	@Test
	void trustsTheFirstListButProbesWhatIsNewLater() {
		this.limits.registered(WARM, Origin.FIRST_LIST, 0);
		assertThat(this.limits.cold(WARM, 0)).isFalse();
		UpstreamRecord restarted = upstream("up", 2, 0);
		this.limits.registered(restarted, Origin.CURRENT, 0);
		assertThat(this.limits.assumed()).containsExactly(restarted);
		this.limits.stated(restarted, Duration.ZERO, nanos(3));
		assertThat(this.limits.cold(restarted, nanos(3))).isFalse();
	}

	@Test
	void staysColdForTheWholeWarmUpAfterAnInterruptionThatNothingExplains() {
		this.limits.registered(WARM, Origin.FIRST_LIST, 0);
		this.limits.interrupted(WARM, nanos(1_000));
		// Written before the interruption, and read after it.
		this.limits.registered(WARM, Origin.CURRENT, nanos(1_100));
		this.limits.registered(WARM, Origin.COPY, nanos(1_200));
		assertThat(this.limits.cold(WARM, nanos(20_900))).isTrue();
		assertThat(this.limits.cold(WARM, nanos(21_000))).isFalse();
	}

	@Test
	void doesNotBelieveACopyThatAColdUpstreamIsWarm() {
		this.limits.registered(upstream("up", 1, 9_000), Origin.CURRENT, 0);
		this.limits.registered(WARM, Origin.COPY, nanos(100));
		assertThat(this.limits.cold(WARM, nanos(100))).isTrue();
		this.limits.registered(WARM, Origin.CURRENT, nanos(200));
		assertThat(this.limits.cold(WARM, nanos(200))).isFalse();
	}

	@Test
	void doesNotRestartTheTimeOfARegistrationThatIsListedAgain() {
		UpstreamRecord cold = upstream("up", 1, 9_000);
		this.limits.registered(cold, Origin.CURRENT, 0);
		this.limits.registered(cold, Origin.CURRENT, nanos(11_000));
		assertThat(this.limits.cold(cold, nanos(11_000))).isFalse();
		this.limits.registered(upstream("up", 1, 4_000), Origin.CURRENT, nanos(12_000));
		assertThat(this.limits.cold(cold, nanos(12_000))).isTrue();
	}

	@Test
	void refusesRequestsThatWereChosenForAnUpstreamBeforeItBecameCold() {
		this.limits.registered(WARM, Origin.FIRST_LIST, 0);
		this.limits.sent("up", 0);
		assertThat(this.limits.accepts(WARM, 0)).isTrue();
		this.limits.stated(WARM, Duration.ofSeconds(5), nanos(1));
		assertThat(this.limits.accepts(WARM, nanos(2))).isFalse();
		assertThat(this.limits.waitNanos(WARM, nanos(2))).isAtMost(nanos(500));
		this.limits.sent("up", nanos(600));
		assertThat(this.limits.accepts(WARM, nanos(601))).isTrue();
	}

	@Test
	void prefersWarmUpstreamsUntilTheyAreFull() {
		UpstreamSelector selector = new UpstreamSelector("a", new Random(1));
		WarmFirst warmFirst = new WarmFirst(selector, this.limits, () -> 4);
		UpstreamRecord cold = upstream("cold", 1, 9_000);
		this.limits.registered(WARM, Origin.FIRST_LIST, 0);
		this.limits.registered(cold, Origin.CURRENT, 0);
		for (int request = 0; request < 2; request++) {
			assertThat(warmFirst.pick(List.of(cold, WARM), Set.of(), 1)).isEqualTo(Optional.of(WARM));
			selector.started("up");
		}
		// 2 in flight at each of 4 entries fill the 8 slots.
		assertThat(warmFirst.pick(List.of(cold, WARM), Set.of(), 1)).isEqualTo(Optional.of(cold));
		selector.ended("up", UpstreamSelector.Outcome.NEUTRAL, 1);
		selector.responsive("up", false);
		assertThat(warmFirst.pick(List.of(cold, WARM), Set.of(), 1)).isEqualTo(Optional.of(cold));
	}

}
