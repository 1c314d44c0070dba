package io.bulrushrouter.routing;

import java.util.List;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.UpstreamId;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for {@link UpstreamTable}.
 */
class UpstreamTableTests {

	private static final UpstreamId FIRST = Fixtures.upstream(0);

	private final UpstreamTable table = Fixtures.table(2);

	private UpstreamView view() {
		return this.table.find(FIRST).orElseThrow();
	}

	@Test
	void countsTokensSentAfterTheReportWasMeasured() {
		RouteQuery query = Fixtures.query(1);
		this.table.sent(FIRST, query, 100);
		this.table.reported(FIRST, new LoadReport(1, 1, 50, 700, 0, 0, 0.1, List.of()), 120);
		assertThat(view().unreportedTokens()).isEqualTo(1200);
		this.table.reported(FIRST, new LoadReport(1, 2, 50, 1900, 0, 0, 0.1, List.of()), 200);
		assertThat(view().unreportedTokens()).isEqualTo(0);
		this.table.firstToken(FIRST, query, 300);
		assertThat(view().inFlight()).isEqualTo(1);
		this.table.finished(FIRST, query, true);
		assertThat(view().inFlight()).isEqualTo(0);
	}

	@Test
	void dropsLateAndDuplicateReportsButNotThoseOfANewIncarnation() {
		assertThat(this.table.reported(FIRST, Fixtures.report(5, 10, new PrefixHint(3, 900)), 1)).isTrue();
		assertThat(this.table.reported(FIRST, Fixtures.report(5, 20), 2)).isFalse();
		assertThat(this.table.reported(FIRST, Fixtures.report(4, 30), 3)).isFalse();
		assertThat(view().reportedTokens()).isEqualTo(10);
		assertThat(view().cachedTokens(3, 3)).isEqualTo(900);
		LoadReport restarted = new LoadReport(2, 1, 0, 40, 0, 0, 0.1, List.of());
		assertThat(this.table.reported(FIRST, restarted, 4)).isTrue();
		assertThat(view().cachedTokens(3, 4)).isEqualTo(0);
	}

	@Test
	void weighsAStaleReportLessThanAFreshOne() {
		UpstreamTable tenUpstreams = Fixtures.table(10);
		for (int i = 0; i < 10; i++) {
			tenUpstreams.reported(Fixtures.upstream(i), Fixtures.report(1, (i == 0) ? 0 : 10_000), 0);
		}
		ModelUpstreams peers = tenUpstreams.upstreams(Fixtures.MODEL).orElseThrow();
		UpstreamView idle = tenUpstreams.find(FIRST).orElseThrow();
		CostModel costModel = tenUpstreams.costModel();
		double fresh = costModel.firstTokenMillis(idle, peers, Fixtures.query(1), 0);
		double stale = costModel.firstTokenMillis(idle, peers, Fixtures.query(1), 10 * Fixtures.SECOND);
		assertThat(fresh).isLessThan(200.0);
		assertThat(stale).isGreaterThan(800.0);
	}

	@Test
	void learnsThatAnUpstreamIsSlowerThanItReports() {
		for (int i = 0; i < 10; i++) {
			this.table.sent(FIRST, Fixtures.query(i), i * Fixtures.SECOND);
			this.table.firstToken(FIRST, Fixtures.query(i), (i + 1) * Fixtures.SECOND);
		}
		assertThat(view().predictionErrorMillis(10 * Fixtures.SECOND)).isGreaterThan(500.0);
		assertThat(view().predictionErrorMillis(1000 * Fixtures.SECOND)).isLessThan(20.0);
	}

	@Test
	void keepsTheStateOfUpstreamsThatRemainConfigured() {
		this.table.markLeaving(FIRST);
		this.table.reconfigure(Fixtures.specs(3));
		assertThat(view().state()).isEqualTo(UpstreamState.LEAVING);
		this.table.trafficShare(FIRST, 1);
		assertThat(view().state()).isEqualTo(UpstreamState.LEAVING);
		this.table.markLive(FIRST);
		assertThat(view().state()).isEqualTo(UpstreamState.LIVE);
		assertThat(this.table.upstreams(Fixtures.MODEL).orElseThrow().size()).isEqualTo(3);
	}

	@Test
	void sharesTheStateOfAnUpstreamBetweenItsModels() {
		UpstreamSpec spec = Fixtures.specs(1).get(0);
		ModelId other = ModelId.of("other");
		this.table.reconfigure(
				List.of(spec, new UpstreamSpec(spec.id(), other, spec.dataCentre(), spec.group(), spec.weight())));
		this.table.reported(FIRST, Fixtures.report(1, 700), 0);
		this.table.markLeaving(FIRST);
		for (ModelId model : List.of(Fixtures.MODEL, other)) {
			ModelUpstreams upstreams = this.table.upstreams(model).orElseThrow();
			assertThat(upstreams.get(0).state()).isEqualTo(UpstreamState.LEAVING);
			assertThat(upstreams.meanReportedTokens()).isEqualTo(700.0);
		}
	}

	@Test
	void rejectsAWeightOfZero() {
		UpstreamSpec valid = Fixtures.specs(1).get(0);
		assertThrows(BulrushException.class,
				() -> new UpstreamSpec(valid.id(), valid.model(), valid.dataCentre(), valid.group(), 0));
	}

}
