package io.bulrushrouter.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.RequestId;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link SidecarCalls}.
 */
class SidecarCallsTests {

	private static final long INCARNATION = 5;

	private final List<SidecarAction> actions = new ArrayList<>();

	private final SidecarCalls calls = SidecarCalls.of(INCARNATION, SidecarPolicy.of(1), CallQueue.ofFifo(2));

	private static AttemptId attempt(long number) {
		return new RequestId(9, number).attempt(1);
	}

	private static RequestSpec spec(String organisation, CallKind kind, boolean idempotent, String body) {
		return RequestSpec.builder()
			.organisation(OrganisationId.of(organisation))
			.model(ModelId.of("m"))
			.kind(kind)
			.idempotent(idempotent)
			.idempotencyKey(idempotent ? Optional.empty() : Optional.of("key"))
			.body(body.getBytes(StandardCharsets.UTF_8))
			.digest(body.hashCode())
			.build();
	}

	private static RequestSpec read(String body) {
		return spec("bakery", CallKind.COMPLETION, true, body);
	}

	private void on(SidecarEvent event) {
		this.calls.on(event, 0, this.actions::add);
	}

	private void call(long number, RequestSpec spec) {
		on(new SidecarEvent.CallReceived(1, INCARNATION, new CallMessage.Call(attempt(number), spec, 1000, 0)));
	}

	private void cancel(long number) {
		on(new SidecarEvent.CancelReceived(1, new CallMessage.Cancel(attempt(number))));
	}

	private void answer(long number, String text) {
		on(new SidecarEvent.EngineHead(attempt(number), 200, "text/plain"));
		on(new SidecarEvent.EngineData(attempt(number), text.getBytes(StandardCharsets.UTF_8), 1));
		on(new SidecarEvent.EngineEnd(attempt(number)));
	}

	private long runs() {
		return this.actions.stream().filter((action) -> action instanceof SidecarAction.RunOnEngine).count();
	}

	private String body(long number) {
		StringBuilder text = new StringBuilder();
		for (CallMessage message : replies(number)) {
			if (message instanceof CallMessage.Data data) {
				text.append(new String(data.bytes(), StandardCharsets.UTF_8));
			}
		}
		return text.toString();
	}

	private List<CallMessage> replies(long number) {
		return this.actions.stream()
			.filter((action) -> action instanceof SidecarAction.Reply)
			.map((action) -> ((SidecarAction.Reply) action).message())
			.filter((message) -> message.attempt().equals(attempt(number)))
			.toList();
	}

	private CallMessage lastReply(long number) {
		List<CallMessage> all = replies(number);
		return all.get(all.size() - 1);
	}

	@Test
	void runsARepeatedAttemptOnce() {
		call(1, read("a"));
		call(1, read("a"));
		answer(1, "x");
		call(1, read("a"));
		assertThat(runs()).isEqualTo(1);
		assertThat(this.calls.dropped()).isEqualTo(2);
	}

	@Test
	void dropsAnAttemptThatWasMeantForAnotherIncarnation() {
		on(new SidecarEvent.CallReceived(1, INCARNATION - 1, new CallMessage.Call(attempt(1), read("a"), 1000, 0)));
		assertThat(this.actions).isEmpty();
	}

	@Test
	void answersACancelWithNotRunOnlyBeforeTheStart() {
		call(1, read("a"));
		call(2, read("b"));
		cancel(2);
		cancel(1);
		cancel(3);
		call(3, read("c"));
		assertThat(lastReply(2)).isEqualTo(new CallMessage.NotRun(attempt(2), ErrorCode.CANCELLED, 0));
		assertThat(lastReply(1)).isEqualTo(new CallMessage.Failed(attempt(1), ErrorCode.CANCELLED));
		assertThat(lastReply(3)).isEqualTo(new CallMessage.NotRun(attempt(3), ErrorCode.CANCELLED, 0));
		assertThat(this.actions).contains(new SidecarAction.CancelOnEngine(attempt(1)));
		assertThat(runs()).isEqualTo(1);
	}

	@Test
	void givesEqualReadsTheSameResponse() {
		call(1, read("a"));
		call(2, read("a"));
		on(new SidecarEvent.EngineHead(attempt(1), 200, "text/plain"));
		on(new SidecarEvent.EngineData(attempt(1), "x".getBytes(StandardCharsets.UTF_8), 1));
		call(3, read("a"));
		on(new SidecarEvent.EngineData(attempt(1), "y".getBytes(StandardCharsets.UTF_8), 1));
		on(new SidecarEvent.EngineEnd(attempt(1)));
		call(4, read("a"));
		assertThat(runs()).isEqualTo(1);
		for (long number = 1; number <= 4; number++) {
			assertThat(body(number)).isEqualTo("xy");
			assertThat(lastReply(number)).isEqualTo(new CallMessage.End(attempt(number), 3, 2));
		}
	}

	@ParameterizedTest
	@CsvSource({ "airline,COMPLETION,a", "bakery,COMPLETION,b", "bakery,SERVICE,a" })
	void doesNotShareResponsesOfDifferentRequests(String organisation, CallKind kind, String body) {
		call(1, spec("bakery", kind, true, "a"));
		answer(1, "x");
		call(2, spec(organisation, kind, true, body));
		assertThat(runs()).isEqualTo(2);
	}

	@Test
	void dropsCachedReadsOfAnEarlierModelVersion() {
		call(1, read("a"));
		answer(1, "x");
		call(2, read("b"));
		on(new SidecarEvent.EngineChanged());
		answer(2, "y");
		call(3, read("a"));
		answer(3, "z");
		call(4, read("b"));
		assertThat(runs()).isEqualTo(4);
	}

	@Test
	void keepsRunningForAnEqualReadWhenTheFirstIsCancelled() {
		call(1, read("a"));
		call(2, read("a"));
		cancel(1);
		answer(1, "x");
		assertThat(lastReply(1)).isInstanceOf(CallMessage.Failed.class);
		assertThat(body(2)).isEqualTo("x");
	}

	@Test
	void claimsAKeyBeforeTheRunAndCachesItsResponse() {
		RequestSpec reservation = spec("bakery", CallKind.SERVICE, false, "a");
		call(1, reservation);
		assertThat(runs()).isEqualTo(0);
		on(new SidecarEvent.ClaimSettled(attempt(1), new ClaimOutcome.Granted()));
		call(2, reservation);
		assertThat(lastReply(2)).isEqualTo(new CallMessage.Failed(attempt(2), ErrorCode.IN_FLIGHT));
		answer(1, "x");
		call(3, reservation);
		call(4, spec("bakery", CallKind.SERVICE, false, "b"));
		assertThat(body(3)).isEqualTo("x");
		assertThat(lastReply(4)).isEqualTo(new CallMessage.NotRun(attempt(4), ErrorCode.KEY_REUSED, 0));
		assertThat(runs()).isEqualTo(1);
	}

	@Test
	void answersRefusedClaimsAndContinuesWithReads() {
		List<ClaimOutcome> outcomes = List.of(new ClaimOutcome.KeyReused(), new ClaimOutcome.Held(true),
				new ClaimOutcome.Held(false), new ClaimOutcome.Unavailable(2000));
		for (int i = 0; i < outcomes.size(); i++) {
			call(i, spec("bakery", CallKind.SERVICE, false, "a"));
			on(new SidecarEvent.ClaimSettled(attempt(i), outcomes.get(i)));
		}
		assertThat(lastReply(0)).isEqualTo(new CallMessage.NotRun(attempt(0), ErrorCode.KEY_REUSED, 0));
		assertThat(lastReply(1)).isEqualTo(new CallMessage.Failed(attempt(1), ErrorCode.IN_FLIGHT));
		assertThat(lastReply(2)).isEqualTo(new CallMessage.Failed(attempt(2), ErrorCode.ALREADY_RAN));
		assertThat(lastReply(3)).isEqualTo(new CallMessage.NotRun(attempt(3), ErrorCode.STORE_UNAVAILABLE, 2000));
		call(10, read("a"));
		assertThat(runs()).isEqualTo(1);
	}

	@Test
	void rejectsQueuedAndFinishesStartedAttemptsWhenDraining() {
		call(1, read("a"));
		call(2, read("b"));
		on(new SidecarEvent.DrainRequested());
		call(3, read("c"));
		assertThat(lastReply(2)).isEqualTo(new CallMessage.NotRun(attempt(2), ErrorCode.DRAINING, 0));
		assertThat(lastReply(3)).isEqualTo(new CallMessage.NotRun(attempt(3), ErrorCode.DRAINING, 0));
		assertThat(this.calls.isDrained()).isFalse();
		answer(1, "x");
		assertThat(lastReply(1)).isInstanceOf(CallMessage.End.class);
		assertThat(this.calls.isDrained()).isTrue();
		assertThat(runs()).isEqualTo(1);
	}

	@Test
	void rejectsAttemptsUntilAdmissionOpens() {
		SidecarCalls closed = SidecarCalls.ofClosed(INCARNATION, SidecarPolicy.of(1), CallQueue.ofFifo(2));
		for (long number = 1; number <= 2; number++) {
			closed.on(new SidecarEvent.CallReceived(1, INCARNATION,
					new CallMessage.Call(attempt(number), read("a"), 1000, 0)), 0, this.actions::add);
			closed.on(new SidecarEvent.AdmissionOpened(), 0, this.actions::add);
		}
		assertThat(lastReply(1)).isEqualTo(new CallMessage.NotRun(attempt(1), ErrorCode.NOT_READY, 0));
		assertThat(runs()).isEqualTo(1);
	}

	@Test
	void releasesAClaimThatIsGrantedAfterADrainRequest() {
		call(1, spec("bakery", CallKind.SERVICE, false, "a"));
		on(new SidecarEvent.DrainRequested());
		on(new SidecarEvent.ClaimSettled(attempt(1), new ClaimOutcome.Granted()));
		assertThat(lastReply(1)).isEqualTo(new CallMessage.NotRun(attempt(1), ErrorCode.DRAINING, 0));
		assertThat(this.actions.stream().filter((action) -> action instanceof SidecarAction.Release).count())
			.isEqualTo(1);
	}

	@Test
	void rejectsAttemptsThatExceedTheQueueOrTheirDeadline() {
		for (long number = 1; number <= 4; number++) {
			call(number, read("r" + number));
		}
		assertThat(lastReply(4)).isEqualTo(new CallMessage.NotRun(attempt(4), ErrorCode.OVERLOADED, 1000));
		assertThat(this.calls.nextWakeNanos()).isEqualTo(990_000_000L);
		this.calls.on(new SidecarEvent.Tick(), 990_000_000L, this.actions::add);
		assertThat(lastReply(2)).isEqualTo(new CallMessage.NotRun(attempt(2), ErrorCode.DEADLINE_EXCEEDED, 0));
		assertThat(replies(1)).isEmpty();
	}

	@Test
	void distinguishesARunThatNeverReachedTheEngineFromAFailedOne() {
		call(1, read("a"));
		on(new SidecarEvent.EngineFailed(attempt(1), ErrorCode.ENGINE_UNREACHABLE, false));
		call(2, read("a"));
		on(new SidecarEvent.EngineFailed(attempt(2), ErrorCode.ENGINE_ERROR, true));
		assertThat(lastReply(1)).isEqualTo(new CallMessage.NotRun(attempt(1), ErrorCode.ENGINE_UNREACHABLE, 0));
		assertThat(lastReply(2)).isEqualTo(new CallMessage.Failed(attempt(2), ErrorCode.ENGINE_ERROR));
	}

}
