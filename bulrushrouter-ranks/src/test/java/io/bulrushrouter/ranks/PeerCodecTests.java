package io.bulrushrouter.ranks;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

import io.bulrushrouter.experts.live.ChoiceSample;
import io.bulrushrouter.experts.live.OrderResult;
import io.bulrushrouter.experts.live.RankOrder;
import io.bulrushrouter.experts.live.RankStatus;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of the encoding of messages between the sidecars of the ranks.
 */
class PeerCodecTests {

	private static final List<InetAddress> MEMBERS = List.of(new InetSocketAddress("10.1.0.7", 1).getAddress(),
			new InetSocketAddress("10.2.0.8", 1).getAddress());

	private static PeerMessage roundTrip(PeerMessage message) {
		return PeerCodec.decode(PeerCodec.encode(message));
	}

	private static void assertOrderRoundTrips(RankOrder order) {
		EncodedOrder encoded = EncodedOrder.of(order);
		assertThat(encoded.decode()).isEqualTo(order);
		for (List<InetAddress> members : List.of(List.<InetAddress>of(), MEMBERS)) {
			PeerMessage.OrderRequest request = new PeerMessage.OrderRequest(7, 3, 1L << 40, encoded, members);
			assertThat(roundTrip(request)).isEqualTo(request);
		}
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
		assertThat(roundTrip(new PeerMessage.StatusRequest(9, 2, 7))).isEqualTo(new PeerMessage.StatusRequest(9, 2, 7));
		assertThat(roundTrip(new PeerMessage.ChoicesRequest(9, MEMBERS)))
			.isEqualTo(new PeerMessage.ChoicesRequest(9, MEMBERS));
		PeerMessage.OrderResponse results = new PeerMessage.OrderResponse(9, List.of(OrderResult.values()));
		assertThat(roundTrip(results)).isEqualTo(results);
		PeerMessage.StatusResponse noStatus = new PeerMessage.StatusResponse(9, Optional.empty(), Optional.empty());
		assertThat(roundTrip(noStatus)).isEqualTo(noStatus);
		PeerMessage.ChoicesResponse noChoices = new PeerMessage.ChoicesResponse(9, Optional.empty());
		assertThat(roundTrip(noChoices)).isEqualTo(noChoices);
	}

	@Test
	void encodesAndDecodesStatuses() {
		RankStatus status = new RankStatus("g", 2, 1, 12, true, 7, 812, 4, OptionalLong.of(5),
				Optional.of(new RankStatus.Armed(5, 820)), OptionalLong.empty());
		int[][] experts = { { 3, 1 }, {} };
		PeerMessage.StatusResponse decoded = (PeerMessage.StatusResponse) roundTrip(
				new PeerMessage.StatusResponse(9, Optional.of(status), Optional.of(experts)));
		assertThat(decoded.status()).isEqualTo(Optional.of(status));
		assertThat(decoded.experts().orElseThrow()).isEqualTo(experts);
		PeerMessage.StatusResponse known = new PeerMessage.StatusResponse(9, Optional.of(status), Optional.empty());
		assertThat(roundTrip(known)).isEqualTo(known);
	}

	@Test
	void encodesAndDecodesChoices() {
		ChoiceSample sample = new ChoiceSample(2, 8, 350, new double[] { 0, 5_120, 1L << 35, 7, 0, 9 });
		EncodedSample encoded = EncodedSample.of(sample, 2, new SplittableRandom(1));
		PeerMessage.ChoicesResponse response = new PeerMessage.ChoicesResponse(9, Optional.of(encoded));
		assertThat(roundTrip(response)).isEqualTo(response);
		ChoiceSample decoded = encoded.decode();
		assertThat(decoded.epoch()).isEqualTo(sample.epoch());
		assertThat(decoded.ranks()).isEqualTo(sample.ranks());
		assertThat(decoded.spanMillis()).isEqualTo(sample.spanMillis());
		assertThat(decoded.choices()[2]).isEqualTo((double) (1L << 35));
	}

	@Test
	void describesAStatusInAFewDozenBytes() {
		RankStatus status = new RankStatus("group-12", 2, 200, 256, true, 7, 81_200, 4_000_000, OptionalLong.empty(),
				Optional.empty(), OptionalLong.empty());
		PeerMessage.StatusResponse response = new PeerMessage.StatusResponse(1L << 20, Optional.of(status),
				Optional.empty());
		assertThat(PeerCodec.encode(response).length).isAtMost(48);
	}

	@Test
	void rejectsUnknownOrderTypes() {
		EncodedOrder unknown = new EncodedOrder(new byte[] { 99, 1 });
		Assertions.assertThrows(IllegalArgumentException.class, unknown::decode);
	}

	@Test
	void rejectsUnknownMessageTypes() {
		byte[] unknown = { 99, 1 };
		Assertions.assertThrows(IllegalArgumentException.class, () -> PeerCodec.decode(unknown));
	}

}
