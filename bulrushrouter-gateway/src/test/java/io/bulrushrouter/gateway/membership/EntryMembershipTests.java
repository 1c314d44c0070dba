package io.bulrushrouter.gateway.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.gateway.source.EntryHeartbeat;

import static com.google.common.truth.Truth.assertThat;

/**
 * Which entries count as alive, from the heartbeats in the store.
 */
class EntryMembershipTests {

	private final EntryMembership membership = new EntryMembership("a");

	private static List<EntryHeartbeat> heartbeats(long revision, String... instances) {
		List<EntryHeartbeat> heartbeats = new ArrayList<>();
		for (String instance : instances) {
			heartbeats.add(new EntryHeartbeat(instance, revision));
		}
		return heartbeats;
	}

	@Test
	void countsItselfAndAllEntriesWithAHeartbeat() {
		this.membership.listed(heartbeats(1, "b", "c"));
		assertThat(this.membership.size()).isEqualTo(3);
		this.membership.listed(heartbeats(2, "a", "b", "c", "d"));
		assertThat(this.membership.size()).isEqualTo(4);
	}

	@Test
	void forgetsAnEntryOnlyAfterSeveralListingsWithoutANewHeartbeat() {
		for (int listing = 0; listing < 6; listing++) {
			this.membership.listed(heartbeats(1, "b"));
			assertThat(this.membership.size()).isEqualTo(2);
		}
		this.membership.listed(heartbeats(1, "b"));
		assertThat(this.membership.size()).isEqualTo(1);
	}

	@Test
	void keepsEntriesWhoseHeartbeatsAStoreRestoredFromACopyHasLost() {
		this.membership.listed(heartbeats(900, "b", "c"));
		this.membership.listed(heartbeats(700, "b"));
		this.membership.listed(List.of());
		assertThat(this.membership.size()).isEqualTo(3);
	}

	@Test
	void assumesManyEntriesBeforeTheFirstListing() {
		assertThat(this.membership.size()).isAtLeast(15);
	}

	@Test
	void sharesAddUpToTheLimitAndLittleMore() {
		for (int entries : new int[] { 1, 4, 17, 400 }) {
			for (double limit : new double[] { 0, 0.5, 1, 3.5, 20 }) {
				double sum = IntStream.range(0, entries).mapToDouble((index) -> {
					EntryMembership each = new EntryMembership("entry-" + index);
					each.listed(IntStream.range(0, entries)
						.mapToObj((other) -> new EntryHeartbeat("entry-" + other, 1))
						.toList());
					return each.share("upstream", limit);
				}).sum();
				assertThat(sum).isAtLeast(limit * 0.999);
				assertThat(sum).isAtMost(limit + 0.251);
			}
		}
	}

}
