package io.bulrushrouter.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.RequestId;
import io.bulrushrouter.kernel.UpstreamId;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ClaimRouter}.
 */
class ClaimRouterTests {

	private static final UpstreamId SELF = UpstreamId.of("u0");

	private static final UpstreamId PEER = UpstreamId.of("u1");

	private final List<ClaimAction> actions = new ArrayList<>();

	private final ClaimRouter router = ClaimRouter.of(SELF, ClaimsPolicy.ofDefaults(), Duration.ofMillis(100));

	private static ClaimRequest request(String key) {
		return new ClaimRequest(new RequestId(1, 1).attempt(1), 5, OrganisationId.of("o"), key, 7);
	}

	private void on(ClaimEvent event, long millis) {
		this.router.on(event, millis * SimulatedClock.MILLIS, this.actions::add);
	}

	@Test
	void decidesLocallyUntilItKnowsOtherSidecars() {
		on(new ClaimEvent.ClaimRequested(request("k")), 0);
		on(new ClaimEvent.DecidedLocally(request("k"), new ClaimOutcome.Granted()), 1);
		assertThat(this.actions)
			.containsExactly(new ClaimAction.ClaimLocally(request("k")),
					new ClaimAction.Settle(request("k").attempt(), new ClaimOutcome.Granted()))
			.inOrder();
	}

	@Test
	void spreadsShardsAndChoosesTheSameHomeEverywhere() {
		ClaimRouter other = ClaimRouter.of(PEER, ClaimsPolicy.ofDefaults(), Duration.ofMillis(100));
		List<UpstreamId> live = List.of(SELF, PEER, UpstreamId.of("u2"));
		this.router.liveSidecars(live);
		other.liveSidecars(List.of(live.get(2), PEER, SELF));
		Set<UpstreamId> homes = new HashSet<>();
		for (int i = 0; i < 100; i++) {
			assertThat(this.router.homeOf(request("k" + i))).isEqualTo(other.homeOf(request("k" + i)));
			homes.add(this.router.homeOf(request("k" + i)));
		}
		assertThat(homes).containsExactlyElementsIn(live);
	}

	@Test
	void forwardsAClaimToItsHomeAndReturnsTheDecision() {
		this.router.liveSidecars(List.of(PEER));
		on(new ClaimEvent.ClaimRequested(request("k")), 0);
		ClaimMessage answer = new ClaimMessage.Settled(request("k"), new ClaimOutcome.Held(true));
		on(new ClaimEvent.Received(PEER, answer), 1);
		on(new ClaimEvent.Received(PEER, answer), 2);
		assertThat(this.actions)
			.containsExactly(new ClaimAction.Send(PEER, new ClaimMessage.Claim(request("k"))),
					new ClaimAction.Settle(request("k").attempt(), new ClaimOutcome.Held(true)))
			.inOrder();
	}

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void settlesAsLostAndReleasesTheKeyWhenTheAnswerIsLost(boolean connectionLost) {
		this.router.liveSidecars(List.of(PEER));
		on(new ClaimEvent.ClaimRequested(request("k")), 0);
		assertThat(this.router.nextWakeNanos()).isEqualTo(100 * SimulatedClock.MILLIS);
		on(connectionLost ? new ClaimEvent.PeerLost(PEER) : new ClaimEvent.Tick(), 100);
		on(new ClaimEvent.Received(PEER, new ClaimMessage.Settled(request("k"), new ClaimOutcome.Granted())), 101);
		assertThat(this.actions.subList(1, this.actions.size()))
			.containsExactly(new ClaimAction.Settle(request("k").attempt(), new ClaimOutcome.Lost()),
					new ClaimAction.ReleaseLocally(request("k")))
			.inOrder();
		assertThat(this.router.homeOf(request("k"))).isEqualTo(connectionLost ? SELF : PEER);
	}

	@Test
	void decidesClaimsOfOtherSidecars() {
		on(new ClaimEvent.Received(PEER, new ClaimMessage.Claim(request("k"))), 0);
		on(new ClaimEvent.DecidedLocally(request("k"), new ClaimOutcome.KeyReused()), 1);
		on(new ClaimEvent.Received(PEER, new ClaimMessage.Release(request("k"))), 2);
		assertThat(this.actions)
			.containsExactly(new ClaimAction.ClaimLocally(request("k")),
					new ClaimAction.Send(PEER, new ClaimMessage.Settled(request("k"), new ClaimOutcome.KeyReused())),
					new ClaimAction.ReleaseLocally(request("k")))
			.inOrder();
	}

}
