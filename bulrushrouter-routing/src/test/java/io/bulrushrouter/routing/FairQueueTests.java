package io.bulrushrouter.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.kernel.Priority;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link FairQueue}.
 */
class FairQueueTests {

	private static final long FAR_DEADLINE = 1000 * Fixtures.SECOND;

	private static final OrganisationWeights WEIGHTS = (id) -> id.value().equals("heavy") ? 3 : 1;

	private FairQueue<String> queue = queue(4, 1000, 100);

	private static FairQueue<String> queue(int slots, long maxQueuedTokens, long priorityTokens) {
		return FairQueue.of(new FairQueueSettings(slots, 1, slots, 1000, maxQueuedTokens, priorityTokens, WEIGHTS), 0);
	}

	private OfferResult<String> offer(String item, String organisation, Priority priority) {
		return this.queue.offer(item, Fixtures.organisation(organisation), priority, 100, FAR_DEADLINE, 0);
	}

	private String serveOne() {
		Dispatch<String> dispatch = this.queue.next(0).orElseThrow();
		this.queue.firstToken(dispatch);
		this.queue.finished(dispatch, 100, 0);
		return dispatch.item();
	}

	@Test
	void servesByWeight() {
		this.queue = queue(4, 100_000, 0);
		for (int i = 0; i < 100; i++) {
			offer("l" + i, "light", Priority.NORMAL);
			offer("h" + i, "heavy", Priority.NORMAL);
		}
		int heavyCount = 0;
		for (int i = 0; i < 80; i++) {
			heavyCount += serveOne().startsWith("h") ? 1 : 0;
		}
		assertThat(heavyCount).isAtLeast(58);
		assertThat(heavyCount).isAtMost(62);
	}

	@Test
	void servesAnOrganisationsPrioritiesInOrder() {
		offer("low", "a", Priority.LOW);
		offer("normal", "a", Priority.NORMAL);
		offer("high", "a", Priority.HIGH);
		assertThat(List.of(serveOne(), serveOne(), serveOne())).containsExactly("high", "normal", "low").inOrder();
	}

	@Test
	void boundsTheAdvantageOfPriorityOverOtherOrganisations() {
		for (int i = 0; i < 5; i++) {
			offer("high" + i, "a", Priority.HIGH);
		}
		offer("other", "b", Priority.LOW);
		List<String> order = new ArrayList<>();
		for (int i = 0; i < 6; i++) {
			order.add(serveOne());
		}
		assertThat(order.indexOf("other")).isAtMost(3);
	}

	@Test
	void shedsTheLowestPriorityOfTheOrganisationMostOverItsShare() {
		for (int i = 0; i < 4; i++) {
			offer("normal" + i, "flood", Priority.NORMAL);
		}
		offer("low", "flood", Priority.LOW);
		for (int i = 0; i < 4; i++) {
			offer("h" + i, "heavy", Priority.LOW);
		}
		offer("b", "b", Priority.LOW);
		OfferResult<String> offer = offer("one more", "b", Priority.LOW);
		assertThat(offer.accepted()).isTrue();
		assertThat(offer.shed()).containsExactly(new OfferResult.Shed<>("low", 0));
		assertThat(this.queue.size()).isEqualTo(10);
	}

	@Test
	void reservesTheLastSlotForOtherOrganisations() {
		for (int i = 0; i < 9; i++) {
			offer("f" + i, "flood", Priority.NORMAL);
		}
		offer("seen", "b", Priority.NORMAL);
		List<Dispatch<String>> running = new ArrayList<>();
		Optional<Dispatch<String>> next = this.queue.next(0);
		while (next.isPresent()) {
			running.add(next.get());
			this.queue.firstToken(next.get());
			next = this.queue.next(0);
		}
		assertThat(running).hasSize(4);
		this.queue = queue(4, 100_000, 0);
		for (int i = 0; i < 50; i++) {
			offer("f" + i, "flood", Priority.NORMAL);
			offer("b" + i, "b", Priority.NORMAL);
			this.queue.remove("b" + i);
			serveOne();
		}
		for (int i = 50; i < 60; i++) {
			offer("f" + i, "flood", Priority.NORMAL);
		}
		for (int i = 0; i < 3; i++) {
			this.queue.firstToken(this.queue.next(0).orElseThrow());
		}
		assertThat(this.queue.next(0)).isEmpty();
		offer("b", "b", Priority.NORMAL);
		assertThat(this.queue.next(0).map(Dispatch::item)).hasValue("b");
	}

	@Test
	void removesAndExpiresOnlyWaitingRequests() {
		offer("a", "a", Priority.NORMAL);
		this.queue.offer("b", Fixtures.organisation("a"), Priority.NORMAL, 100, 50, 0);
		assertThat(this.queue.remove("a")).isTrue();
		assertThat(this.queue.remove("a")).isFalse();
		assertThat(this.queue.removeExpired(49)).isEmpty();
		assertThat(this.queue.removeExpired(50).stream().map(Dispatch::item)).containsExactly("b");
		assertThat(this.queue.queuedTokens()).isEqualTo(0);
		assertThat(this.queue.next(51)).isEmpty();
	}

	@Test
	void rejectsImmediatelyRequestsThatCannotStartBeforeTheirDeadline() {
		this.queue = queue(1, 100_000, 0);
		for (int i = 0; i < 40; i++) {
			offer("a" + i, "a", Priority.NORMAL);
		}
		long now = 0;
		for (int i = 0; i < 20; i++) {
			Dispatch<String> dispatch = this.queue.next(now).orElseThrow();
			now += Fixtures.SECOND;
			this.queue.finished(dispatch, 100, now);
		}
		OfferResult<String> late = this.queue.offer("late", Fixtures.organisation("a"), Priority.NORMAL, 100,
				now + 5 * Fixtures.SECOND, now);
		assertThat(late.accepted()).isFalse();
		assertThat(late.shed().get(0).retryAfterNanos()).isGreaterThan(15 * Fixtures.SECOND);
		OfferResult<String> accepted = this.queue.offer("other", Fixtures.organisation("b"), Priority.NORMAL, 100,
				now + 5 * Fixtures.SECOND, now);
		assertThat(accepted.accepted()).isTrue();
	}

}
