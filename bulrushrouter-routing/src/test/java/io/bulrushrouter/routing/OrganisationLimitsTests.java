package io.bulrushrouter.routing;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.kernel.OrganisationId;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link OrganisationLimits} and {@link ShareLender}.
 */
class OrganisationLimitsTests {

	private static final OrganisationId LIMITED = Fixtures.organisation("limited");

	private static final LimitTable LIMITS = (organisation, model) -> organisation.equals(LIMITED)
			? Optional.of(new Limit(1000)) : Optional.empty();

	private static final long FULL = 10 * Fixtures.SECOND;

	private final OrganisationLimits entry = OrganisationLimits.of(LIMITS, 10, 0);

	private final ShareLender lender = ShareLender.of(LIMITS, 7, 0);

	private Admission admit(long tokens, long now) {
		return this.entry.admit(LIMITED, Fixtures.MODEL, tokens, now);
	}

	private ShareGrant lend(long now) {
		List<ShareAsk> asks = this.entry.asks(now);
		assertThat(asks).hasSize(1);
		return this.lender.lend(asks.get(0), now);
	}

	@Test
	void admitsWithoutALimitAtOnce() {
		Admission admission = this.entry.admit(Fixtures.organisation("free"), Fixtures.MODEL, 1_000_000, 0);
		assertThat(admission).isEqualTo(new Admission.Admitted());
		assertThat(this.entry.asks(0)).isEmpty();
	}

	@Test
	void admitsOnlyWhatWasLentAndOnlyForItsLife() {
		assertThat(admit(500, FULL)).isInstanceOf(Admission.Pending.class);
		assertThat(this.entry.granted(lend(FULL), FULL)).isTrue();
		assertThat(admit(500, FULL)).isInstanceOf(Admission.Admitted.class);
		assertThat(admit(500, FULL + 1)).isInstanceOf(Admission.Pending.class);
		this.entry.granted(lend(FULL + 2), FULL + 2);
		long after = FULL + 2 + ShareLender.LIFE_NANOS;
		assertThat(admit(500, after)).isInstanceOf(Admission.Pending.class);
		assertThat(this.entry.asks(after).get(0).returnedTokens()).isAtLeast(500);
	}

	@Test
	void ignoresGrantsThatAreRepeatedOrOfAnOlderHolder() {
		admit(100, FULL);
		ShareGrant grant = lend(FULL);
		assertThat(this.entry.granted(grant, FULL)).isTrue();
		assertThat(this.entry.granted(grant, FULL)).isFalse();
		admit(1000, FULL + Fixtures.SECOND);
		ShareAsk ask = this.entry.asks(FULL + Fixtures.SECOND).get(0);
		ShareGrant stale = new ShareGrant(LIMITED, Fixtures.MODEL, ask.holder(), ask.sequence(), 6, 1000, 1000, 0);
		assertThat(this.entry.granted(stale, FULL + Fixtures.SECOND)).isFalse();
	}

	@Test
	void refusesWithARetryAfterOnceBothHoldersHaveNothing() {
		admit(900, 0);
		this.entry.granted(lend(0), 0);
		assertThat(admit(900, 1)).isInstanceOf(Admission.Pending.class);
		this.entry.granted(lend(1), 1);
		Admission refused = admit(900, 2);
		assertThat(refused).isInstanceOf(Admission.Refused.class);
		assertThat(((Admission.Refused) refused).retryAfterNanos()).isGreaterThan(Fixtures.SECOND);
	}

	@Test
	void usesOneEntrysPartWhileNoHolderAnswers() {
		long now = FULL;
		long admitted = 0;
		for (int i = 0; i < 2000; i++) {
			now += Fixtures.SECOND / 20;
			admitted += (admit(50, now) instanceof Admission.Admitted) ? 50 : 0;
			this.entry.asks(now);
		}
		double limit = 100 * 100;
		assertThat(admitted / limit).isAtMost(1.0);
		assertThat(admitted / limit).isAtLeast(0.9);
	}

	@Test
	void lendsPartOfWhatIsNeededAndWaitsForALargeRequest() {
		ShareAsk several = new ShareAsk(LIMITED, Fixtures.MODEL, 0, 1, 5000, 400, 0, 0);
		assertThat(this.lender.lend(several, FULL).tokens()).isEqualTo(1000);
		ShareAsk large = new ShareAsk(LIMITED, Fixtures.MODEL, 0, 2, 4000, 4000, 0, 0);
		assertThat(this.lender.lend(large, FULL).tokens()).isEqualTo(0);
		assertThat(this.lender.lend(large, FULL + 2 * Fixtures.SECOND).tokens()).isEqualTo(0);
		assertThat(this.lender.lend(large, FULL + 8 * Fixtures.SECOND).tokens()).isEqualTo(4000);
	}

	@Test
	void lendsNoMoreThanTheLimitWhateverIsAsked() {
		long granted = 0;
		for (int second = 0; second < 60; second++) {
			for (int asker = 0; asker < 400; asker++) {
				ShareAsk ask = new ShareAsk(LIMITED, Fixtures.MODEL, 0, 1, 50, 50, 500, 0);
				granted += this.lender.lend(ask, second * Fixtures.SECOND).tokens();
			}
		}
		assertThat(granted).isAtMost(60 * 500L);
		assertThat(granted).isAtLeast(55 * 500L);
	}

}
