package io.bulrushrouter.gateway.upstream;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.gateway.upstream.UpstreamSelector.Outcome;

import static com.google.common.truth.Truth.assertThat;

/**
 * Selection of the upstream for an attempt by load, data centre and failures.
 */
class UpstreamSelectorTests {

	private static final long SECOND = 1_000_000_000L;

	private final UpstreamSelector selector = new UpstreamSelector("a", new Random(3));

	private final List<UpstreamRecord> upstreams = List.of(record("near", "a"), record("far", "b"));

	private static UpstreamRecord record(String id, String dataCentre) {
		return new UpstreamRecord(id, "service", InetSocketAddress.createUnresolved("10.0.0.1", 80), dataCentre, 2,
				false, 0);
	}

	private Optional<String> pick(long nowNanos, String... tried) {
		return this.selector.pick(this.upstreams, Set.of(tried), nowNanos).map(UpstreamRecord::id);
	}

	private void fail(String id, int times, long nowNanos) {
		for (int failure = 0; failure < times; failure++) {
			this.selector.started(id);
			this.selector.ended(id, Outcome.FAILURE, nowNanos);
		}
	}

	@Test
	void prefersTheOwnDataCentreAmongEquals() {
		assertThat(pick(0)).hasValue("near");
	}

	@Test
	void prefersARemoteUpstreamWithLessLoad() {
		this.selector.started("near");
		assertThat(pick(0)).hasValue("far");
	}

	@Test
	void neverPicksAnUpstreamThatWasTried() {
		assertThat(pick(0, "near")).hasValue("far");
		assertThat(pick(0, "near", "far")).isEmpty();
	}

	@Test
	void picksNoneWhenAllSlotsAreTaken() {
		for (String id : List.of("near", "near", "far", "far")) {
			this.selector.started(id);
		}
		assertThat(pick(0)).isEmpty();
	}

	@Test
	void ejectsAnUpstreamAfterFailuresAndProbesItWithOneRequestLater() {
		fail("near", 2, 0);
		assertThat(pick(0)).hasValue("far");
		this.selector.started("far");
		this.selector.started("far");
		assertThat(pick(SECOND)).hasValue("near");
		this.selector.started("near");
		assertThat(pick(SECOND)).isEmpty();
	}

	@Test
	void picksAnUnresponsiveUpstreamOnlyIfNoOtherIsUsable() {
		this.selector.responsive("near", false);
		assertThat(pick(0)).hasValue("far");
		this.selector.started("far");
		this.selector.started("far");
		assertThat(pick(0)).isEmpty();
		this.selector.ended("far", Outcome.NEUTRAL, 0);
		this.selector.responsive("far", false);
		assertThat(pick(0)).hasValue("near");
		this.selector.responsive("far", true);
		assertThat(pick(0)).hasValue("far");
	}

	@Test
	void neverEjectsAllUpstreams() {
		fail("near", 2, 0);
		fail("far", 2, SECOND / 10);
		assertThat(pick(SECOND / 5)).hasValue("near");
	}

}
