package io.bulrushrouter.gateway.upstream;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.gateway.upstream.UpstreamChoice.Outcome;

import static com.google.common.truth.Truth.assertThat;

/**
 * Which upstream takes an attempt.
 */
class UpstreamChoiceTests {

	private static final long SECOND = 1_000_000_000L;

	private final UpstreamChoice choice = new UpstreamChoice("a", new Random(3));

	private final List<UpstreamRecord> upstreams = List.of(record("near", "a"), record("far", "b"));

	private static UpstreamRecord record(String id, String dataCentre) {
		return new UpstreamRecord(id, "service", InetSocketAddress.createUnresolved("10.0.0.1", 80), dataCentre, 2,
				false);
	}

	private Optional<String> pick(long nowNanos, String... tried) {
		return this.choice.pick(this.upstreams, Set.of(tried), nowNanos).map(UpstreamRecord::id);
	}

	private void fail(String id, int times, long nowNanos) {
		for (int time = 0; time < times; time++) {
			this.choice.started(id);
			this.choice.ended(id, Outcome.FAILURE, nowNanos);
		}
	}

	@Test
	void prefersTheOwnDataCentreAmongEquals() {
		assertThat(pick(0)).hasValue("near");
	}

	@Test
	void prefersAFarUpstreamWithLessWork() {
		this.choice.started("near");
		assertThat(pick(0)).hasValue("far");
	}

	@Test
	void neverPicksAnUpstreamThatWasTried() {
		assertThat(pick(0, "near")).hasValue("far");
		assertThat(pick(0, "near", "far")).isEmpty();
	}

	@Test
	void refusesWhenAllSlotsAreTaken() {
		for (String id : List.of("near", "near", "far", "far")) {
			this.choice.started(id);
		}
		assertThat(pick(0)).isEmpty();
	}

	@Test
	void leavesAnUpstreamAloneAfterFailuresAndTriesItWithOneRequestLater() {
		fail("near", 2, 0);
		assertThat(pick(0)).hasValue("far");
		this.choice.started("far");
		this.choice.started("far");
		assertThat(pick(SECOND)).hasValue("near");
		this.choice.started("near");
		assertThat(pick(SECOND)).isEmpty();
	}

	@Test
	void neverLeavesAllAlone() {
		fail("near", 2, 0);
		fail("far", 2, SECOND / 10);
		assertThat(pick(SECOND / 5)).hasValue("near");
	}

}
