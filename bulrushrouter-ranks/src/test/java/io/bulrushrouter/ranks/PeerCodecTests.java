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
 * Tests of the encoding of messages between the sidecars of the ranks.
 */
class PeerCodecTests {

	private static PeerMessage roundTrip(PeerMessage message) {
		return PeerCodec.decode(PeerCodec.encode(message));
	}

	private static void assertOrderRoundTrips(RankOrder order) {
		PeerMessage.OrderRequest request = new PeerMessage.OrderRequest(7, 3, 1L << 40, order);
		assertThat(roundTrip(request)).isEqualTo(request);
	}

	@Test
	void encodesAndDecodesOrders() {
		assertOrderRoundTrips(new RankOrder.Prepare(5, new int[][][] { { { 1, 2 }, { 3 } }, { {}, { 300 } } }));
		assertOrderRoundTrips(new RankOrder.Arm(5, 900));
		assertOrderRoundTrips(new RankOrder.Disarm(5));
		assertOrderRoundTrips(new RankOrder.Hold(900));
		assertOrderRoundTrips(new RankOrder.Go(900));
	}

	@Test
	void encodesAndDecodesRequestsAndResults() {
		assertThat(roundTrip(new PeerMessage.ReportRequest(9, true))).isEqualTo(new PeerMessage.ReportRequest(9, true));
		for (OrderResult result : OrderResult.values()) {
			assertThat(roundTrip(new PeerMessage.OrderResponse(9, result)))
				.isEqualTo(new PeerMessage.OrderResponse(9, result));
		}
		assertThat(roundTrip(new PeerMessage.ReportResponse(9, Optional.empty())))
			.isEqualTo(new PeerMessage.ReportResponse(9, Optional.empty()));
	}

	@Test
	void encodesAndDecodesReports() {
		RankStatus status = new RankStatus("g", 2, 1, 12, true, 7, 812, 4, OptionalLong.of(5),
				Optional.of(new RankStatus.Armed(5, 820)), OptionalLong.empty());
		RankReport report = new RankReport(status, new long[] { 0, 5120, 1L << 35 }, new int[][] { { 3, 1 }, {} });
		PeerMessage.ReportResponse decoded = (PeerMessage.ReportResponse) roundTrip(
				new PeerMessage.ReportResponse(9, Optional.of(report)));
		assertThat(decoded.report().orElseThrow().status()).isEqualTo(status);
		assertThat(decoded.report().orElseThrow().counts()).isEqualTo(report.counts());
		assertThat(decoded.report().orElseThrow().experts()).isEqualTo(report.experts());
	}

	@Test
	void rejectsUnknownMessageTypes() {
		byte[] unknown = { 99, 1 };
		Assertions.assertThrows(IllegalArgumentException.class, () -> PeerCodec.decode(unknown));
	}

}
