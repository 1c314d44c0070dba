package io.bulrushrouter.routing.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.kernel.OrganisationId;

import static com.google.common.truth.Truth.assertThat;

/**
 * The order of waiting streams: guards against late streams that take the place of
 * punctual ones or starve, and against classes and organisations that starve.
 */
class AdmissionQueueTests {

	private static final double LATE_SHARE = 0.3;

	private int places = 4;

	private int lessUrgentPlaces = 4;

	private long nowMillis = 1_000;

	private final AdmissionQueue<String> queue = new AdmissionQueue<>(PriorityClasses.of(List.of(0, 5)), LATE_SHARE,
			(index) -> (index == 0) ? this.places : this.lessUrgentPlaces, 0);

	private long nowNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.nowMillis);
	}

	private WaitingStream<String> offer(String name, String organisation, int priority, boolean returning) {
		long now = nowNanos();
		WaitingStream<String> stream = new WaitingStream<>(name, OrganisationId.of(organisation), priority,
				AdmissionQueue.MEAN_COST, returning, now, now + TimeUnit.MILLISECONDS.toNanos(200),
				now + TimeUnit.MILLISECONDS.toNanos(1_500));
		this.queue.offer(stream, now);
		return stream;
	}

	private String next() {
		return this.queue.next(nowNanos()).map(WaitingStream::item).orElse("none");
	}

	@Test
	void admitsByClassThenInTurnBetweenOrganisations() {
		offer("batch", "a", 5, false);
		offer("a1", "a", 0, false);
		offer("a2", "a", 0, false);
		offer("b1", "b", 0, false);
		assertThat(List.of(next(), next(), next())).containsExactly("a1", "b1", "a2").inOrder();
		this.lessUrgentPlaces = 0;
		offer("b2", "b", 0, false);
		assertThat(next()).isEqualTo("b2");
	}

	@Test
	void admitsLateStreamsAfterPunctualOnesWithAGuaranteedShare() {
		for (int stream = 0; stream < 10; stream++) {
			offer("late" + stream, "a", 0, false);
		}
		this.nowMillis += 250;
		int late = 0;
		for (int round = 0; round < 20; round++) {
			offer("punctual" + round, "a", 0, false);
			late += next().startsWith("late") ? 1 : 0;
		}
		assertThat(late).isAtLeast(5);
		assertThat(late).isAtMost(7);
	}

	@Test
	void admitsReturningCallersBeforeOtherLateOnes() {
		offer("late", "a", 0, false);
		this.nowMillis += 250;
		offer("back", "a", 0, true);
		assertThat(next()).isEqualTo("back");
		assertThat(next()).isEqualTo("late");
	}

	@Test
	void holdsTheLastPlaceForAPunctualStreamForAShortTime() {
		offer("late", "a", 0, false);
		this.nowMillis += 250;
		this.places = 1;
		assertThat(next()).isEqualTo("none");
		this.nowMillis += 100;
		offer("punctual", "a", 0, false);
		assertThat(next()).isEqualTo("punctual");
		assertThat(next()).isEqualTo("none");
		this.nowMillis += 150;
		assertThat(next()).isEqualTo("late");
	}

	@Test
	void servesAClassWithoutRoomAQuarterAsOftenAsTheMean() {
		this.lessUrgentPlaces = 0;
		Map<Character, Integer> served = new HashMap<>();
		for (int round = 0; round < 400; round++) {
			offer("urgent", "a", 0, false);
			offer("batch", "a", 5, false);
			served.merge(next().charAt(0), 1, Integer::sum);
			this.nowMillis += 10;
			this.queue.expire(nowNanos());
		}
		assertThat(served.get('b')).isAtLeast(served.get('u') / 8);
		assertThat(served.get('b')).isLessThan(served.get('u') / 2);
	}

	@Test
	void returnsStreamsThatCannotBeStartedInTime() {
		WaitingStream<String> withdrawn = offer("withdrawn", "a", 0, false);
		offer("expired", "a", 5, false);
		this.nowMillis += 250;
		assertThat(this.queue.expire(nowNanos())).isEmpty();
		assertThat(this.queue.remove(withdrawn)).isTrue();
		this.nowMillis += 1_300;
		assertThat(this.queue.expire(nowNanos()).stream().map(WaitingStream::item)).containsExactly("expired");
		assertThat(this.queue.waiting()).isEqualTo(0);
	}

	@Test
	void displacesTheLeastUrgentStreamOfTheOrganisationWithTheMost() {
		offer("urgent", "flood", 0, false);
		offer("batch1", "flood", 5, false);
		offer("batch2", "flood", 5, false);
		offer("other", "b", 5, false);
		List<Optional<String>> displaced = new ArrayList<>();
		for (int stream = 0; stream < 4; stream++) {
			displaced.add(this.queue.displace().map(WaitingStream::item));
		}
		assertThat(displaced.get(0)).hasValue("batch2");
		assertThat(displaced.get(3)).hasValue("urgent");
	}

	@Test
	void predictsTheWaitFromTheAdmissionsOfTheClass() {
		this.places = 0;
		for (int stream = 0; stream < 10; stream++) {
			offer("w" + stream, "a", 0, false);
		}
		assertThat(this.queue.predictWaitNanos(0, OrganisationId.of("a"), nowNanos())).isEqualTo(0);
		this.places = 2;
		for (int round = 0; round < 5; round++) {
			this.nowMillis += 250;
			next();
		}
		long predicted = this.queue.predictWaitNanos(0, OrganisationId.of("a"), nowNanos());
		assertThat(predicted).isGreaterThan(TimeUnit.SECONDS.toNanos(1));
		assertThat(this.queue.predictWaitNanos(0, OrganisationId.of("b"), nowNanos())).isLessThan(predicted);
	}

	@Test
	void keepsStreamsWaitingWhenTheClassesChange() {
		offer("urgent", "a", 0, false);
		offer("batch", "a", 5, false);
		this.queue.classes(PriorityClasses.of(List.of(0, 3, 5)), nowNanos());
		assertThat(this.queue.waiting()).isEqualTo(2);
		assertThat(next()).isEqualTo("urgent");
	}

}
