package io.bulrushrouter.request;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
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
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.kernel.Verdict;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link EntryCall}.
 */
class EntryCallTests {

	private static final long MILLIS = 1_000_000L;

	private static final RequestId ID = new RequestId(9, 1);

	private final List<EntryAction> actions = new ArrayList<>();

	private RetryBudget budget = RetryBudget.ofDefaults();

	private EntryPolicy policy = EntryPolicy.ofDefaults();

	private EntryCall start(boolean idempotent, boolean stream) {
		RequestSpec spec = RequestSpec.builder()
			.organisation(OrganisationId.of("bakery"))
			.model(ModelId.of("m"))
			.idempotent(idempotent)
			.stream(stream)
			.build();
		EntryCall call = EntryCall.of(ID, spec, 1000 * MILLIS, this.policy, this.budget,
				(excluded, now) -> Optional.of(UpstreamId.of("u" + (excluded.size() + 1))));
		call.on(new EntryEvent.Start(), 0, this.actions::add);
		return call;
	}

	private void receive(EntryCall call, int attempt, CallMessage message) {
		call.on(new EntryEvent.Received(UpstreamId.of("u" + attempt), 50 + attempt, message), MILLIS,
				this.actions::add);
	}

	private static AttemptId attempt(int number) {
		return ID.attempt(number);
	}

	private void answer(EntryCall call, int attempt, String... parts) {
		receive(call, attempt, new CallMessage.Head(attempt(attempt), 0, 200, "text/plain"));
		for (int i = 0; i < parts.length; i++) {
			receive(call, attempt, data(attempt, i + 1, parts[i]));
		}
	}

	private static CallMessage data(int attempt, int sequence, String text) {
		return new CallMessage.Data(attempt(attempt), sequence, text.getBytes(StandardCharsets.UTF_8), 1);
	}

	private String relayed() {
		StringBuilder text = new StringBuilder();
		for (EntryAction action : this.actions) {
			if (action instanceof EntryAction.RelayData relay) {
				text.append(new String(relay.bytes(), StandardCharsets.UTF_8));
			}
		}
		return text.toString();
	}

	private EntryAction last() {
		return this.actions.get(this.actions.size() - 1);
	}

	private CallMessage.Call lastCall() {
		return ((EntryAction.Send) last()).call();
	}

	@ParameterizedTest
	@CsvSource({ "DRAINING,true,true", "OVERLOADED,true,true", "ENGINE_UNREACHABLE,false,true",
			"KEY_REUSED,false,false", "STORE_UNAVAILABLE,false,false", "DEADLINE_EXCEEDED,true,false",
			"CANCELLED,true,false" })
	void retriesAfterNotRunIfTheErrorIsRetryable(ErrorCode code, boolean idempotent, boolean retries) {
		EntryCall call = start(idempotent, false);
		receive(call, 1, new CallMessage.NotRun(attempt(1), code, 0));
		assertThat(call.attempts()).isEqualTo(retries ? 2 : 1);
		if (!retries) {
			assertThat(call.verdict()).hasValue(Verdict.ofNotRun(code));
			assertThat(call.nextWakeNanos()).isEqualTo(Long.MAX_VALUE);
		}
	}

	@ParameterizedTest
	@CsvSource({ "true,2", "false,1" })
	void retriesAfterMayHaveRunOnlyIfIdempotent(boolean idempotent, int attempts) {
		EntryCall call = start(idempotent, false);
		call.on(new EntryEvent.ConnectionLost(UpstreamId.of("u1")), MILLIS, this.actions::add);
		assertThat(call.attempts()).isEqualTo(attempts);
		if (!idempotent) {
			assertThat(call.verdict()).hasValue(Verdict.ofMayHaveRun(ErrorCode.CONNECTION_LOST));
		}
	}

	@Test
	void saysNotRunOnlyIfNoAttemptMayHaveRun() {
		EntryCall call = start(true, false);
		call.on(new EntryEvent.ConnectionLost(UpstreamId.of("u1")), MILLIS, this.actions::add);
		receive(call, 2, new CallMessage.NotRun(attempt(2), ErrorCode.STORE_UNAVAILABLE, 0));
		assertThat(call.verdict()).hasValue(Verdict.ofMayHaveRun(ErrorCode.CONNECTION_LOST));
	}

	@Test
	void rejectsWithARetryAfterWhenTheBudgetIsSpent() {
		this.budget = RetryBudget.of(0.1, 0);
		EntryCall call = start(true, false);
		receive(call, 1, new CallMessage.NotRun(attempt(1), ErrorCode.OVERLOADED, 3000));
		assertThat(last()).isEqualTo(new EntryAction.Reject(Verdict.ofNotRun(ErrorCode.RETRY_BUDGET_SPENT), 3000));
	}

	@Test
	void cancelsTheSlowerOfTwoAttempts() {
		this.policy = EntryPolicy.builder().hedgeDelay(Optional.of(Duration.ofMillis(100))).build();
		EntryCall call = start(true, false);
		assertThat(call.nextWakeNanos()).isEqualTo(100 * MILLIS);
		call.on(new EntryEvent.Tick(), 100 * MILLIS, this.actions::add);
		assertThat(lastCall().attempt()).isEqualTo(attempt(2));
		answer(call, 2, "a");
		assertThat(this.actions)
			.contains(new EntryAction.SendCancel(UpstreamId.of("u1"), new CallMessage.Cancel(attempt(1))));
		answer(call, 1, "b");
		receive(call, 2, new CallMessage.End(attempt(2), 2, 1));
		assertThat(relayed()).isEqualTo("a");
		assertThat(call.verdict()).hasValue(Verdict.ofAnswered());
		assertThat(call.dropped()).isEqualTo(2);
	}

	@Test
	void neverHedgesANonIdempotentRequest() {
		this.policy = EntryPolicy.builder().hedgeDelay(Optional.of(Duration.ofMillis(100))).build();
		EntryCall call = start(false, false);
		call.on(new EntryEvent.Tick(), 100 * MILLIS, this.actions::add);
		assertThat(call.attempts()).isEqualTo(1);
	}

	@Test
	void completesOnlyWithAllPartsInOrderAndTheRightLength() {
		EntryCall call = start(true, false);
		receive(call, 1, data(1, 2, "b"));
		answer(call, 1, "a");
		receive(call, 1, data(1, 1, "x"));
		receive(call, 1, new CallMessage.End(attempt(1), 3, 2));
		assertThat(relayed()).isEqualTo("ab");
		assertThat(last()).isEqualTo(new EntryAction.Complete());
	}

	@Test
	void retriesAfterAResponseOfTheWrongLength() {
		EntryCall call = start(true, false);
		answer(call, 1, "a");
		receive(call, 1, new CallMessage.End(attempt(1), 2, 7));
		assertThat(relayed()).isEmpty();
		assertThat(lastCall().attempt()).isEqualTo(attempt(2));
	}

	@ParameterizedTest
	@CsvSource({ "9,2,u1,51", "8,1,u1,51", "9,1,u3,51", "9,1,u1,77" })
	void dropsMessagesOfOtherAttemptsOrProcesses(long incarnation, int attempt, String upstream,
			long upstreamIncarnation) {
		EntryCall call = start(true, true);
		call.on(new EntryEvent.Sent(1, 51), 0, this.actions::add);
		CallMessage message = new CallMessage.NotRun(new RequestId(incarnation, 1).attempt(attempt),
				ErrorCode.OVERLOADED, 0);
		call.on(new EntryEvent.Received(UpstreamId.of(upstream), upstreamIncarnation, message), MILLIS,
				this.actions::add);
		assertThat(call.dropped()).isEqualTo(1);
		assertThat(call.attempts()).isEqualTo(1);
	}

	@Test
	void resumesABrokenStreamAfterTheTokensThatWereSent() {
		EntryCall call = start(true, true);
		answer(call, 1, "a", "b");
		call.on(new EntryEvent.ConnectionLost(UpstreamId.of("u1")), MILLIS, this.actions::add);
		assertThat(lastCall().resumeAfterTokens()).isEqualTo(2);
		answer(call, 2, "c");
		receive(call, 2, new CallMessage.End(attempt(2), 2, 1));
		assertThat(relayed()).isEqualTo("abc");
		assertThat(last()).isEqualTo(new EntryAction.Complete());
	}

	@Test
	void rerunsAStreamThatTheEngineCannotResume() {
		EntryCall call = start(true, true);
		answer(call, 1, "a", "b");
		call.on(new EntryEvent.ConnectionLost(UpstreamId.of("u1")), MILLIS, this.actions::add);
		receive(call, 2, new CallMessage.NotRun(attempt(2), ErrorCode.STREAM_BROKEN, 0));
		assertThat(lastCall().resumeAfterTokens()).isEqualTo(0);
		answer(call, 3, "abc");
		receive(call, 3, new CallMessage.End(attempt(3), 2, 3));
		assertThat(relayed()).isEqualTo("abc");
		assertThat(last()).isEqualTo(new EntryAction.Complete());
	}

	@ParameterizedTest
	@CsvSource({ "ax,false", "a,true" })
	void abortsAStreamWhoseRerunDiffers(String rerun, boolean ends) {
		this.policy = EntryPolicy.builder().resumesStreams(false).build();
		EntryCall call = start(true, true);
		answer(call, 1, "a", "b");
		call.on(new EntryEvent.ConnectionLost(UpstreamId.of("u1")), MILLIS, this.actions::add);
		answer(call, 2, rerun);
		if (ends) {
			receive(call, 2, new CallMessage.End(attempt(2), 2, rerun.length()));
		}
		assertThat(relayed()).isEqualTo("ab");
		assertThat(last()).isEqualTo(new EntryAction.AbortStream(Verdict.ofMayHaveRun(ErrorCode.STREAM_BROKEN)));
	}

	@Test
	void doesNotMixResponsesOfTwoModelVersions() {
		EntryCall call = start(true, true);
		receive(call, 1, new CallMessage.Head(attempt(1), 0, 200, "text/plain", "v1"));
		receive(call, 1, data(1, 1, "a"));
		call.on(new EntryEvent.ConnectionLost(UpstreamId.of("u1")), MILLIS, this.actions::add);
		receive(call, 2, new CallMessage.Head(attempt(2), 0, 200, "text/plain", "v2"));
		assertThat(last()).isEqualTo(new EntryAction.AbortStream(Verdict.ofMayHaveRun(ErrorCode.STREAM_BROKEN)));
	}

	@Test
	void retriesPastAnyNumberOfDrainingUpstreams() {
		this.budget = RetryBudget.of(0, 0);
		EntryCall call = start(false, false);
		for (int i = 1; i <= 9; i++) {
			receive(call, i, new CallMessage.NotRun(attempt(i), ErrorCode.DRAINING, 0));
		}
		assertThat(lastCall().attempt()).isEqualTo(attempt(10));
	}

	@Test
	void cancelsAnUnansweredAttemptBeforeTheDeadline() {
		EntryCall call = start(false, false);
		assertThat(call.nextWakeNanos()).isEqualTo(980 * MILLIS);
		call.on(new EntryEvent.Tick(), 980 * MILLIS, this.actions::add);
		assertThat(last()).isInstanceOf(EntryAction.SendCancel.class);
		receive(call, 1, new CallMessage.NotRun(attempt(1), ErrorCode.CANCELLED, 0));
		assertThat(call.verdict()).hasValue(Verdict.ofNotRun(ErrorCode.DEADLINE_EXCEEDED));
	}

	@Test
	void alwaysEndsAtTheDeadline() {
		EntryCall call = start(false, false);
		call.on(new EntryEvent.Tick(), 1000 * MILLIS, this.actions::add);
		assertThat(call.verdict()).hasValue(Verdict.ofMayHaveRun(ErrorCode.DEADLINE_EXCEEDED));
	}

}
