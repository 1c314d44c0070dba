package io.bulrushrouter.ranks;

import java.util.Optional;
import java.util.OptionalLong;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

import io.bulrushrouter.experts.live.OrderResult;
import io.bulrushrouter.experts.live.RankOrder;
import io.bulrushrouter.experts.live.RankStatus;

import static com.google.common.truth.Truth.assertThat;

/**
 * Messages between the processes beside the ranks.
 */
class PeerCodecTests {

	private static PeerMessage roundTrip(PeerMessage message) {
		return PeerCodec.decode(PeerCodec.encode(message));
	}

	private static void checkOrder(RankOrder order) {
		PeerMessage.GiveOrder give = new PeerMessage.GiveOrder(7, 3, 1L << 40, order);
		assertThat(roundTrip(give)).isEqualTo(give);
	}

	@Test
	void carryOrders() {
		checkOrder(new RankOrder.Prepare(5, new int[][][] { { { 1, 2 }, { 3 } }, { {}, { 300 } } }));
		checkOrder(new RankOrder.Arm(5, 900));
		checkOrder(new RankOrder.Disarm(5));
		checkOrder(new RankOrder.Hold(900));
		checkOrder(new RankOrder.Go(900));
	}

	@Test
	void carryQuestionsAndResults() {
		assertThat(roundTrip(new PeerMessage.AskReport(9, true))).isEqualTo(new PeerMessage.AskReport(9, true));
		for (OrderResult result : OrderResult.values()) {
			assertThat(roundTrip(new PeerMessage.Ordered(9, result))).isEqualTo(new PeerMessage.Ordered(9, result));
		}
		assertThat(roundTrip(new PeerMessage.Report(9, Optional.empty())))
			.isEqualTo(new PeerMessage.Report(9, Optional.empty()));
	}

	@Test
	void carryReports() {
		RankStatus status = new RankStatus("g", 2, 1, 12, true, 7, 812, 4, OptionalLong.of(5),
				Optional.of(new RankStatus.Armed(5, 820)), OptionalLong.empty());
		RankReport report = new RankReport(status, new long[] { 0, 5120, 1L << 35 }, new int[][] { { 3, 1 }, {} });
		PeerMessage.Report read = (PeerMessage.Report) roundTrip(new PeerMessage.Report(9, Optional.of(report)));
		assertThat(read.report().orElseThrow().status()).isEqualTo(status);
		assertThat(read.report().orElseThrow().counts()).isEqualTo(report.counts());
		assertThat(read.report().orElseThrow().experts()).isEqualTo(report.experts());
	}

	@Test
	void refuseWhatTheyDoNotKnow() {
		byte[] unknown = { 99, 1 };
		Assertions.assertThrows(IllegalArgumentException.class, () -> PeerCodec.decode(unknown));
	}

}
