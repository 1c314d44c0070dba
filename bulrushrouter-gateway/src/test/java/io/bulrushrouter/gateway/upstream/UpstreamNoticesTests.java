package io.bulrushrouter.gateway.upstream;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.gateway.source.UpstreamRecord;

import static com.google.common.truth.Truth.assertThat;

/**
 * How long the notices of upstreams apply.
 */
class UpstreamNoticesTests {

	private static final UpstreamNotice LEAVING = new UpstreamNotice(true, OptionalDouble.empty(), Optional.empty());

	private final UpstreamNotices notices = new UpstreamNotices((upstream, limit) -> limit, new Random(1));

	private static UpstreamRecord upstream(long incarnation) {
		return new UpstreamRecord("up", "s", InetSocketAddress.createUnresolved("up", 1), "a", 8, false, incarnation);
	}

	private static UpstreamNotice pause(long millis) {
		return new UpstreamNotice(false, OptionalDouble.empty(), Optional.of(Duration.ofMillis(millis)));
	}

	private static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	@Test
	void keepsTheLongestOfSeveralPauses() {
		this.notices.received(upstream(1), pause(5_000), 0);
		this.notices.received(upstream(1), pause(100), nanos(10));
		assertThat(this.notices.paused("up", nanos(4_999))).isTrue();
		assertThat(this.notices.paused("up", nanos(5_500))).isFalse();
	}

	@Test
	void spreadsTheReturnOfEntriesThatWereRefusedTogether() {
		List<Long> pauses = new ArrayList<>();
		for (int entry = 0; entry < 20; entry++) {
			UpstreamNotices each = new UpstreamNotices((upstream, limit) -> limit, new SplittableRandom(entry));
			each.received(upstream(1), pause(10_000), 0);
			pauses.add(each.pausedMillis(List.of(upstream(1)), 0));
		}
		pauses.sort(null);
		assertThat(pauses.get(0)).isAtLeast(10_000L);
		assertThat(pauses.get(pauses.size() - 1)).isAtMost(10_500L);
		assertThat(pauses.get(pauses.size() - 1) - pauses.get(0)).isAtLeast(200L);
	}

	@Test
	void keepsADepartureWhileTheUpstreamIsNotListed() {
		this.notices.received(upstream(1), LEAVING, 0);
		this.notices.retain(Set.of(), nanos(300_000));
		assertThat(this.notices.accepts(upstream(1), nanos(300_000))).isFalse();
		assertThat(this.notices.accepts(upstream(2), nanos(300_000))).isTrue();
		this.notices.retain(Set.of(), nanos(700_000));
		assertThat(this.notices.accepts(upstream(1), nanos(700_000))).isTrue();
	}

	@Test
	void takesAnUpstreamThatStatesNoIncarnationForRestartedOnceItWasNotListedForAWhile() {
		this.notices.received(upstream(0), LEAVING, 0);
		this.notices.retain(Set.of(), nanos(9_000));
		assertThat(this.notices.accepts(upstream(0), nanos(9_000))).isFalse();
		this.notices.retain(Set.of(), nanos(11_000));
		assertThat(this.notices.accepts(upstream(0), nanos(11_000))).isTrue();
	}

	@Test
	void keepsADepartureForAsLongAsTheUpstreamIsListed() {
		this.notices.received(upstream(1), LEAVING, 0);
		for (long millis = 0; millis < 2_000_000; millis += 500_000) {
			this.notices.retain(Set.of("up"), nanos(millis));
		}
		assertThat(this.notices.accepts(upstream(1), nanos(2_000_000))).isFalse();
	}

}
