package io.bulrushrouter.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.RequestId;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.standin.MemoryObjectStore;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link Claims}.
 */
class ClaimsTests {

	private static final OrganisationId BAKERY = OrganisationId.of("bakery");

	private static final ClaimOutcome GRANTED = new ClaimOutcome.Granted();

	private final MemoryObjectStore store = new MemoryObjectStore();

	private final SimulatedClock clock = new SimulatedClock();

	private long epochSeconds = 1_000_000;

	private Claims claims(ObjectStore store, long incarnation, int segmentClaims, Duration retention) {
		ClaimsPolicy policy = new ClaimsPolicy(1, 3, segmentClaims, Duration.ofMillis(100), retention,
				Duration.ofSeconds(60), Duration.ofSeconds(2));
		return Claims.builder(store, incarnation)
			.policy(policy)
			.clock(this.clock::nowNanos)
			.epochSeconds(() -> this.epochSeconds)
			.build();
	}

	private static ClaimRequest request(long number, int attempt, long holder, String key, long digest) {
		return new ClaimRequest(new RequestId(7, number).attempt(attempt), holder, BAKERY, key, digest);
	}

	private ClaimOutcome claim(Claims claims, ClaimRequest request) {
		List<ClaimOutcome> outcomes = new ArrayList<>();
		claims.claim(request, outcomes::add);
		for (int i = 0; i < 50 && outcomes.isEmpty(); i++) {
			this.clock.runUntil(this.clock.nowNanos() + 100 * SimulatedClock.MILLIS);
			claims.tick();
		}
		assertThat(outcomes).hasSize(1);
		return outcomes.get(0);
	}

	@Test
	void grantsAKeyOnce() {
		Claims here = claims(this.store, 1, 700, Duration.ZERO);
		Claims there = claims(this.store, 2, 700, Duration.ZERO);
		assertThat(claim(here, request(1, 1, 1, "k", 5))).isEqualTo(GRANTED);
		assertThat(claim(there, request(2, 1, 2, "k", 5))).isEqualTo(new ClaimOutcome.Held(true));
		assertThat(claim(there, request(2, 1, 2, "k", 6))).isEqualTo(new ClaimOutcome.KeyReused());
		this.epochSeconds += 61;
		assertThat(claim(here, request(3, 1, 1, "k", 5))).isEqualTo(new ClaimOutcome.Held(false));
	}

	@Test
	void transfersAKeyOnlyToALaterAttemptOfTheSameRequest() {
		Claims here = claims(this.store, 1, 700, Duration.ZERO);
		Claims there = claims(this.store, 2, 700, Duration.ZERO);
		claim(here, request(1, 1, 1, "k", 5));
		assertThat(claim(there, request(1, 2, 2, "k", 5))).isEqualTo(GRANTED);
		assertThat(claim(here, request(1, 1, 1, "k", 5))).isInstanceOf(ClaimOutcome.Held.class);
	}

	@Test
	void releasesAKeyThatDidNotRunUnlessItWasTransferred() {
		Claims here = claims(this.store, 1, 700, Duration.ZERO);
		Claims there = claims(this.store, 2, 700, Duration.ZERO);
		claim(here, request(1, 1, 1, "k", 5));
		claim(there, request(1, 2, 2, "k", 5));
		here.release(request(1, 1, 1, "k", 5));
		assertThat(claim(here, request(2, 1, 1, "k", 5))).isInstanceOf(ClaimOutcome.Held.class);
		there.release(request(1, 2, 2, "k", 5));
		assertThat(claim(there, request(3, 1, 2, "k", 5))).isEqualTo(GRANTED);
	}

	@Test
	void resolvesAnUnknownWriteByReading() {
		Claims claims = claims(this.store, 1, 700, Duration.ZERO);
		this.store.loseAnswers((write) -> true);
		assertThat(claim(claims, request(1, 1, 1, "k", 5))).isEqualTo(GRANTED);
		this.store.loseAnswers((write) -> false);
		assertThat(claim(claims(this.store, 2, 700, Duration.ZERO), request(2, 1, 2, "k", 5)))
			.isInstanceOf(ClaimOutcome.Held.class);
	}

	@Test
	void refusesAtOnceAndBacksOffWhileTheStoreIsDown() {
		Claims claims = claims(this.store, 1, 700, Duration.ZERO);
		this.store.down(true);
		for (int i = 0; i < 100; i++) {
			List<ClaimOutcome> outcomes = new ArrayList<>();
			claims.claim(request(i, 1, 1, "k" + i, 5), outcomes::add);
			assertThat(outcomes).containsExactly(new ClaimOutcome.Unavailable(2000));
		}
		assertThat(this.store.reads() + this.store.writes()).isAtMost(2);
		this.store.down(false);
		this.clock.runUntil(this.clock.nowNanos() + 10_000 * SimulatedClock.MILLIS);
		assertThat(claim(claims, request(200, 1, 1, "k0", 5))).isEqualTo(GRANTED);
	}

	@Test
	void writesManyClaimsInOneBatch() {
		Claims claims = claims(this.store, 1, 700, Duration.ZERO);
		claim(claims, request(1, 1, 1, "first", 5));
		long before = this.store.writes();
		List<ClaimOutcome> outcomes = new ArrayList<>();
		for (int i = 0; i < 100; i++) {
			claims.claim(request(10 + i, 1, 1, "k" + i, 5), outcomes::add);
		}
		this.clock.runUntil(this.clock.nowNanos() + 100 * SimulatedClock.MILLIS);
		claims.tick();
		assertThat(outcomes).hasSize(100);
		assertThat(this.store.writes() - before).isEqualTo(1);
	}

	@Test
	void keepsClaimsAcrossFullSegmentsForTheRetentionTime() {
		Claims here = claims(this.store, 1, 2, Duration.ofSeconds(600));
		for (int i = 0; i < 8; i++) {
			assertThat(claim(here, request(i, 1, 1, "k" + i, 5))).isEqualTo(GRANTED);
		}
		Claims restarted = claims(this.store, 2, 2, Duration.ofSeconds(600));
		for (int i = 0; i < 8; i++) {
			assertThat(claim(restarted, request(100 + i, 1, 2, "k" + i, 5))).isInstanceOf(ClaimOutcome.Held.class);
		}
		assertThat(claim(here, request(8, 1, 1, "k8", 5))).isInstanceOf(ClaimOutcome.Unavailable.class);
		this.epochSeconds += 601;
		this.clock.runUntil(this.clock.nowNanos() + 10_000 * SimulatedClock.MILLIS);
		assertThat(claim(here, request(9, 1, 1, "k8", 5))).isEqualTo(GRANTED);
		assertThat(claim(here, request(10, 1, 1, "k0", 5))).isEqualTo(GRANTED);
	}

	@Test
	void evictsClaimsPastTheRetentionTime() {
		Claims here = claims(this.store, 1, 2, Duration.ofSeconds(600));
		for (int i = 0; i < 8; i++) {
			claim(here, request(i, 1, 1, "k" + i, 5));
			this.epochSeconds += 200;
		}
		assertThat(claim(here, request(8, 1, 1, "k0", 5))).isEqualTo(GRANTED);
		assertThat(claim(here, request(9, 1, 1, "k5", 5))).isInstanceOf(ClaimOutcome.Held.class);
		long before = this.store.reads();
		Claims restarted = claims(this.store, 2, 2, Duration.ofSeconds(600));
		assertThat(claim(restarted, request(10, 1, 2, "k7", 5))).isInstanceOf(ClaimOutcome.Held.class);
		assertThat(this.store.reads() - before).isAtMost(4);
	}

	@Property(seed = "1", tries = 300)
	void neverGrantsAHeldKey(@ForAll long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		SimulatedClock clock = new SimulatedClock();
		UnreliableStore store = new UnreliableStore(clock, random.split(), 0.1);
		ClaimsPolicy policy = new ClaimsPolicy(1, 64, 3, Duration.ofMillis(5), Duration.ZERO, Duration.ofSeconds(60),
				Duration.ofMillis(50));
		List<Claims> writers = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			writers.add(Claims.builder(store, i)
				.policy(policy)
				.clock(clock::nowNanos)
				.epochSeconds(() -> 1_000_000L)
				.build());
		}
		Map<String, Integer> holders = new HashMap<>();
		Set<String> grantedTwice = new HashSet<>();
		for (int i = 0; i < 60; i++) {
			int number = i;
			int writer = random.nextInt(writers.size());
			ClaimRequest request = request(number, 1, writer, "k" + random.nextInt(25), 5);
			boolean released = random.nextInt(3) == 0;
			clock.after(random.nextInt(400), () -> writers.get(writer).claim(request, (outcome) -> {
				if (!outcome.equals(GRANTED)) {
					return;
				}
				if (released) {
					writers.get(writer).release(request);
				}
				else if (holders.putIfAbsent(request.key(), number) != null) {
					grantedTwice.add(request.key());
				}
			}));
		}
		for (int millis = 0; millis < 3000; millis++) {
			clock.runUntil(millis * SimulatedClock.MILLIS);
			writers.forEach(Claims::tick);
		}
		assertThat(grantedTwice).isEmpty();
		assertThat(holders).isNotEmpty();
	}

}
