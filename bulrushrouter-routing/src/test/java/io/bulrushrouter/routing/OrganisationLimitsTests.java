package io.bulrushrouter.routing;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.kernel.OrganisationId;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link OrganisationLimits} and {@link QuotaAllocator}.
 */
class OrganisationLimitsTests {

	private static final OrganisationId LIMITED = Fixtures.organisation("limited");

	private static final LimitTable LIMITS = (organisation, model) -> organisation.equals(LIMITED)
			? Optional.of(new Limit(1000)) : Optional.empty();

	private static final long BUCKET_FULL = 10 * Fixtures.SECOND;

	private final OrganisationLimits entry = OrganisationLimits.of(LIMITS, 10, 0);

	private final QuotaAllocator allocator = QuotaAllocator.of(LIMITS, 7, 0);

	private Admission admit(long tokens, long now) {
		return this.entry.admit(LIMITED, Fixtures.MODEL, tokens, now);
	}

	private QuotaGrant allocate(long now) {
		List<QuotaRequest> requests = this.entry.quotaRequests(now);
		assertThat(requests).hasSize(1);
		return this.allocator.allocate(requests.get(0), now);
	}

	@Test
	void admitsImmediatelyWithoutALimit() {
		Admission admission = this.entry.admit(Fixtures.organisation("free"), Fixtures.MODEL, 1_000_000, 0);
		assertThat(admission).isEqualTo(new Admission.Admitted());
		assertThat(this.entry.quotaRequests(0)).isEmpty();
	}

	@Test
	void admitsOnlyGrantedTokensUntilTheyExpire() {
		assertThat(admit(500, BUCKET_FULL)).isInstanceOf(Admission.Pending.class);
		assertThat(this.entry.granted(allocate(BUCKET_FULL), BUCKET_FULL)).isTrue();
		assertThat(admit(500, BUCKET_FULL)).isInstanceOf(Admission.Admitted.class);
		assertThat(admit(500, BUCKET_FULL + 1)).isInstanceOf(Admission.Pending.class);
		this.entry.granted(allocate(BUCKET_FULL + 2), BUCKET_FULL + 2);
		long after = BUCKET_FULL + 2 + QuotaAllocator.GRANT_TTL_NANOS;
		assertThat(admit(500, after)).isInstanceOf(Admission.Pending.class);
		assertThat(this.entry.quotaRequests(after).get(0).returnedTokens()).isAtLeast(500);
	}

	@Test
	void ignoresRepeatedGrantsAndThoseOfAnOlderAllocator() {
		admit(100, BUCKET_FULL);
		QuotaGrant grant = allocate(BUCKET_FULL);
		assertThat(this.entry.granted(grant, BUCKET_FULL)).isTrue();
		assertThat(this.entry.granted(grant, BUCKET_FULL)).isFalse();
		admit(1000, BUCKET_FULL + Fixtures.SECOND);
		QuotaRequest request = this.entry.quotaRequests(BUCKET_FULL + Fixtures.SECOND).get(0);
		QuotaGrant stale = new QuotaGrant(LIMITED, Fixtures.MODEL, request.allocator(), request.sequence(), 6, 1000,
				1000, 0);
		assertThat(this.entry.granted(stale, BUCKET_FULL + Fixtures.SECOND)).isFalse();
	}

	@Test
	void refusesWithARetryAfterOnceBothAllocatorsAreEmpty() {
		admit(900, 0);
		this.entry.granted(allocate(0), 0);
		assertThat(admit(900, 1)).isInstanceOf(Admission.Pending.class);
		this.entry.granted(allocate(1), 1);
		Admission refused = admit(900, 2);
		assertThat(refused).isInstanceOf(Admission.Refused.class);
		assertThat(((Admission.Refused) refused).retryAfterNanos()).isGreaterThan(Fixtures.SECOND);
	}

	@Test
	void usesOneEntrysPartWhileNoAllocatorAnswers() {
		long now = BUCKET_FULL;
		long admitted = 0;
		for (int i = 0; i < 2000; i++) {
			now += Fixtures.SECOND / 20;
			admitted += (admit(50, now) instanceof Admission.Admitted) ? 50 : 0;
			this.entry.quotaRequests(now);
		}
		double limit = 100 * 100;
		assertThat(admitted / limit).isAtMost(1.0);
		assertThat(admitted / limit).isAtLeast(0.9);
	}

	@Test
	void grantsPartOfTheNeedAndAccumulatesTokensForALargeRequest() {
		QuotaRequest divisible = new QuotaRequest(LIMITED, Fixtures.MODEL, 0, 1, 5000, 400, 0, 0);
		assertThat(this.allocator.allocate(divisible, BUCKET_FULL).tokens()).isEqualTo(1000);
		QuotaRequest large = new QuotaRequest(LIMITED, Fixtures.MODEL, 0, 2, 4000, 4000, 0, 0);
		assertThat(this.allocator.allocate(large, BUCKET_FULL).tokens()).isEqualTo(0);
		assertThat(this.allocator.allocate(large, BUCKET_FULL + 2 * Fixtures.SECOND).tokens()).isEqualTo(0);
		assertThat(this.allocator.allocate(large, BUCKET_FULL + 8 * Fixtures.SECOND).tokens()).isEqualTo(4000);
	}

	@Test
	void grantsNoMoreThanTheLimitWhateverIsRequested() {
		long granted = 0;
		for (int second = 0; second < 60; second++) {
			for (int entry = 0; entry < 400; entry++) {
				QuotaRequest request = new QuotaRequest(LIMITED, Fixtures.MODEL, 0, 1, 50, 50, 500, 0);
				granted += this.allocator.allocate(request, second * Fixtures.SECOND).tokens();
			}
		}
		assertThat(granted).isAtMost(60 * 500L);
		assertThat(granted).isAtLeast(55 * 500L);
	}

}
