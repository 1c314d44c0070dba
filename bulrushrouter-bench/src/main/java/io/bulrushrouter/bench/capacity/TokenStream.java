package io.bulrushrouter.bench.capacity;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.RequestId;
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.request.CallKind;
import io.bulrushrouter.request.CallMessage;
import io.bulrushrouter.request.CallQueue;
import io.bulrushrouter.request.EntryAction;
import io.bulrushrouter.request.EntryCall;
import io.bulrushrouter.request.EntryEvent;
import io.bulrushrouter.request.EntryPolicy;
import io.bulrushrouter.request.RequestSpec;
import io.bulrushrouter.request.RetryBudget;
import io.bulrushrouter.request.SidecarAction;
import io.bulrushrouter.request.SidecarCalls;
import io.bulrushrouter.request.SidecarEvent;
import io.bulrushrouter.request.SidecarPolicy;

/**
 * Passes one streamed answer token by token through the request state machines of entry
 * and sidecar.
 */
final class TokenStream {

	private static final byte[] TOKEN = new byte[64];

	private static final long DEADLINE_NANOS = Duration.ofMinutes(10).toNanos();

	private static final UpstreamId UPSTREAM = UpstreamId.of("u");

	private static final RequestId REQUEST = new RequestId(1, 1);

	private static final AttemptId ATTEMPT = REQUEST.attempt(1);

	private static final RequestSpec SPEC = RequestSpec.builder()
		.organisation(OrganisationId.of("o"))
		.model(ModelId.of("m"))
		.kind(CallKind.COMPLETION)
		.method("POST")
		.path("/v1/completions")
		.body(new byte[2_000])
		.idempotent(true)
		.stream(true)
		.digest(1)
		.prefixDigest(1)
		.promptTokens(500)
		.build();

	private static long sink;

	private TokenStream() {
	}

	static boolean throughEntry(int tokens) {
		EntryCall call = EntryCall.of(REQUEST, SPEC, DEADLINE_NANOS, EntryPolicy.ofDefaults(), RetryBudget.ofDefaults(),
				(excluded, now) -> Optional.of(UPSTREAM));
		Consumer<EntryAction> actions = (action) -> sink++;
		call.on(new EntryEvent.Start(), 0, actions);
		call.on(new EntryEvent.Sent(1, 1), 1, actions);
		receive(call, new CallMessage.Head(ATTEMPT, 0, 200, "text/event-stream"), actions);
		for (int token = 1; token <= tokens; token++) {
			receive(call, new CallMessage.Data(ATTEMPT, token, TOKEN, 1), actions);
		}
		receive(call, new CallMessage.End(ATTEMPT, tokens + 1, (long) tokens * TOKEN.length), actions);
		return call.verdict().filter((verdict) -> verdict.failure().isEmpty()).isPresent();
	}

	private static void receive(EntryCall call, CallMessage message, Consumer<EntryAction> actions) {
		call.on(new EntryEvent.Received(UPSTREAM, 1, message), 1, actions);
	}

	static boolean throughSidecar(int tokens) {
		SidecarCalls calls = SidecarCalls.of(1, SidecarPolicy.of(64), CallQueue.ofFifo(64));
		Consumer<SidecarAction> actions = (action) -> sink++;
		calls.on(new SidecarEvent.CallReceived(1, 1, new CallMessage.Call(ATTEMPT, SPEC, 60_000, 0)), 0, actions);
		calls.on(new SidecarEvent.EngineHead(ATTEMPT, 200, "text/event-stream"), 1, actions);
		for (int token = 0; token < tokens; token++) {
			calls.on(new SidecarEvent.EngineData(ATTEMPT, TOKEN, 1), 1, actions);
		}
		calls.on(new SidecarEvent.EngineEnd(ATTEMPT), 1, actions);
		return calls.inFlight() == 0;
	}

}
