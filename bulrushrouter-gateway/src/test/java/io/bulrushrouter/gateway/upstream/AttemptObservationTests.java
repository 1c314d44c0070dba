package io.bulrushrouter.gateway.upstream;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.gateway.config.RouteKind;
import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.gateway.upstream.UpstreamSelector.Outcome;

import static com.google.common.truth.Truth.assertThat;

/**
 * What is learned from single attempts, and what must not be.
 */
class AttemptObservationTests {

	private static final int RANKS = 48;

	private static final long MILLI = 1_000_000L;

	private static final AttemptSize PLAIN = new AttemptSize(RouteKind.IDEMPOTENT, 0, 100);

	private final Random random = new Random(7);

	private final List<UpstreamRecord> ranks = IntStream.range(0, RANKS)
		.mapToObj((rank) -> new UpstreamRecord(Integer.toString(rank), "service",
				InetSocketAddress.createUnresolved("10.0.0.1", 80), "a", 8, false, 0))
		.toList();

	private UpstreamSelector selector = new UpstreamSelector("a", new Random(3));

	private long nowNanos;

	private double capacity(int rank) {
		return this.selector.capacities(this.nowNanos).get(Integer.toString(rank));
	}

	private AttemptObservation send(int rank, AttemptSize size) {
		this.selector.started(Integer.toString(rank));
		return this.selector.observe(this.ranks.get(rank), size, this.nowNanos);
	}

	private void end(int rank) {
		this.selector.ended(Integer.toString(rank), Outcome.NEUTRAL, this.nowNanos);
	}

	private void answer(int rank, AttemptSize size, double millis) {
		AttemptObservation observation = send(rank, size);
		this.nowNanos += (long) (MILLI * millis * Math.exp(0.1 * this.random.nextGaussian()));
		observation.completed(true, this.nowNanos);
		end(rank);
	}

	// Each round is a stream at each rank, one after the other.
	private void stream(int rounds, int promptTokens, IntToDoubleFunction firstEventMillis,
			IntToDoubleFunction intervalMillis) {
		AttemptSize size = AttemptSize.of(RouteKind.STREAM, promptTokens + "/100", 10);
		for (int round = 0; round < rounds; round++) {
			for (int rank = 0; rank < RANKS; rank++) {
				AttemptObservation observation = send(rank, size);
				this.nowNanos += (long) (MILLI * firstEventMillis.applyAsDouble(rank));
				observation.progress(1, true, this.nowNanos);
				this.nowNanos += (long) (MILLI * 4 * intervalMillis.applyAsDouble(rank));
				observation.progress(5, true, this.nowNanos);
				observation.completed(true, this.nowNanos);
				end(rank);
			}
			this.selector.review(this.nowNanos);
		}
	}

	// Guards against starving one rank for intervals that it shares with its group.
	@Test
	void judgesIntervalsOnlyWhereManyRanksDiffer() {
		stream(30, 500, (rank) -> 2, (rank) -> (rank == 0) ? 4 : 1);
		assertThat(capacity(0)).isEqualTo(1);
		stream(30, 500, (rank) -> 2, (rank) -> (rank < 24) ? 4 : 1);
		assertThat(capacity(0)).isLessThan(0.8);
		assertThat(capacity(0)).isWithin(0.1).of(capacity(20));
	}

	// Guards against missing a rank that starts streams late.
	@Test
	void judgesEachRankByItsOwnFirstEvents() {
		stream(30, 500, (rank) -> (rank == 0) ? 10 : 2, (rank) -> 1);
		assertThat(capacity(0)).isLessThan(0.5);
		assertThat(capacity(1)).isEqualTo(1);
	}

	// Guards against an upstream that is taken for fast or slow by the size of its
	// requests.
	@Test
	void doesNotMistakeTheSizeOfRequestsForSpeed() {
		for (int round = 0; round < 40; round++) {
			for (int rank = 0; rank < 4; rank++) {
				boolean large = (round + rank) % 4 == 0 || (rank == 0 && round > 10);
				answer(rank, new AttemptSize(RouteKind.IDEMPOTENT, 0, large ? 60_000 : 100), large ? 300 : 30);
			}
		}
		assertThat(capacity(0)).isEqualTo(1);
		assertThat(capacity(3)).isEqualTo(1);
	}

	// Guards against waiting for the answer of an upstream that has slowed down.
	@Test
	void countsAnAnswerThatIsMissing() {
		for (int round = 0; round < 20; round++) {
			answer(round % 2, PLAIN, 30);
		}
		AttemptObservation open = send(0, PLAIN);
		this.nowNanos += 300 * MILLI;
		assertThat(capacity(0)).isLessThan(0.5);
		open.abandoned(this.nowNanos);
		assertThat(capacity(0)).isLessThan(0.5);
	}

	// Guards against ignoring refusals, ejecting an upstream that is full, and an
	// estimate that stays although nothing confirms it.
	@Test
	void learnsFromRefusalsAndForgetsWithTime() {
		for (int round = 0; round < 20; round++) {
			answer(round % 2, PLAIN, 30);
		}
		for (int refusal = 0; refusal < 3; refusal++) {
			send(0, PLAIN).refused(this.nowNanos);
			end(0);
		}
		assertThat(capacity(0)).isLessThan(0.5);
		assertThat(this.selector.pick(this.ranks.subList(0, 1), Set.of(), this.nowNanos)).isPresent();
		this.nowNanos += 61_000 * MILLI;
		assertThat(capacity(0)).isEqualTo(1);
	}

	// Guards against keeping traffic from an upstream that was only suspended.
	@Test
	void doesNotJudgeAnUpstreamByTheTimeInWhichItWasUnresponsive() {
		for (int round = 0; round < 20; round++) {
			answer(round % 2, PLAIN, 30);
		}
		AttemptObservation open = send(0, PLAIN);
		this.nowNanos += 900 * MILLI;
		this.selector.responsive("0", false);
		open.completed(true, this.nowNanos);
		assertThat(capacity(0)).isEqualTo(1);
	}

	// Guards against judging an upstream that warms up.
	@Test
	void doesNotJudgeAColdUpstream() {
		this.selector = new UpstreamSelector("a", new Random(3), (upstream) -> upstream.id().equals("0"));
		for (int round = 0; round < 40; round++) {
			answer(round % 4, PLAIN, (round % 4 == 0) ? 300 : 30);
		}
		assertThat(this.selector.capacities(this.nowNanos).getOrDefault("0", 1.0)).isEqualTo(1);
	}

	// Guards against estimates that outlive their upstreams.
	@Test
	void keepsNothingOfUpstreamsThatAreNotListed() {
		answer(0, PLAIN, 30);
		this.selector.retain(Set.of());
		this.selector.review(this.nowNanos);
		assertThat(this.selector.capacities(this.nowNanos)).isEqualTo(Map.of());
	}

	// Guards against a flood of lines when all upstreams change at once.
	@Test
	void logsALargeChangeOnceAndFewInASecond() {
		CapacityLog log = new CapacityLog();
		ServiceCapacity service = new ServiceCapacity();
		int lines = 0;
		UpstreamCapacity first = new UpstreamCapacity();
		for (UpstreamRecord rank : this.ranks) {
			UpstreamCapacity capacity = (lines == 0) ? first : new UpstreamCapacity();
			capacity.compareWith(rank, service);
			assertThat(log.review(rank.id(), capacity, 0)).isFalse();
			capacity.refused(0);
			capacity.refused(0);
			lines += log.review(rank.id(), capacity, 0) ? 1 : 0;
			assertThat(log.review(rank.id(), capacity, 0)).isFalse();
		}
		assertThat(lines).isEqualTo(10);
		assertThat(log.review("0", first, 60_000 * MILLI)).isTrue();
	}

}
