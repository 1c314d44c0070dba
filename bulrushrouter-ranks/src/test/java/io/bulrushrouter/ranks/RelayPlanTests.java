package io.bulrushrouter.ranks;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.kernel.TimeSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of the parts in which a leader reaches the ranks of its group.
 */
class RelayPlanTests {

	private static final int DATA_CENTRES = 5;

	private static List<RankConnection> ranks(int count) {
		List<RankConnection> ranks = new ArrayList<>();
		for (int rank = 0; rank < count; rank++) {
			UpstreamRecord upstream = new UpstreamRecord("u" + rank, "service",
					new InetSocketAddress("10.0." + rank / 200 + "." + rank % 200, 80), "dc" + rank % DATA_CENTRES, 8,
					false, 0);
			ranks.add(new RankConnection(upstream, null, null, null, TimeSource.ofSystem()));
		}
		return ranks;
	}

	@ParameterizedTest
	@CsvSource({ "11, 11, 1", "23, 5, 5", "63, 8, 8", "81, 9, 9", "255, 16, 16" })
	void aPartHasAboutAsManyRanksAsThereAreParts(int count, int parts, int ranksPerPart) {
		List<RankConnection> ranks = ranks(count);
		List<List<RankConnection>> plan = RelayPlan.parts(ranks, 0);
		assertThat(plan).hasSize(parts);
		plan.forEach((part) -> assertThat(part.size()).isAtMost(ranksPerPart));
		assertThat(plan.stream().flatMap(List::stream).toList()).containsExactlyElementsIn(ranks);
	}

	@Test
	void mostPartsStayWithinADataCentre() {
		long mixed = RelayPlan.parts(ranks(255), 0)
			.stream()
			.filter((part) -> part.stream().map(RankConnection::dataCentre).distinct().count() > 1)
			.count();
		assertThat(mixed).isLessThan(DATA_CENTRES);
	}

	@Test
	void anotherRankOfEachPartRelaysAfterARotation() {
		List<RankConnection> ranks = ranks(63);
		List<List<RankConnection>> before = RelayPlan.parts(ranks, 0);
		List<List<RankConnection>> after = RelayPlan.parts(ranks, 1);
		for (int part = 0; part < before.size(); part++) {
			assertThat(after.get(part)).containsExactlyElementsIn(before.get(part));
			assertThat(after.get(part).get(0)).isNotSameInstanceAs(before.get(part).get(0));
		}
	}

}
