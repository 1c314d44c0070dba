package io.bulrushrouter.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.RequestId;
import io.bulrushrouter.kernel.Verdict;

/**
 * A caller's request, with the caller's record of what it received.
 */
final class SimulatedCaller {

	static final int TOKENS = 6;

	final String tag;

	final RequestSpec spec;

	final ByteArrayOutputStream body = new ByteArrayOutputStream();

	final List<String> outcomes = new ArrayList<>();

	Optional<RequestId> id = Optional.empty();

	Optional<Verdict> verdict = Optional.empty();

	boolean headSeen;

	boolean complete;

	long endNanos;

	long deadlineNanos;

	private SimulatedCaller(String tag, RequestSpec spec) {
		this.tag = tag;
		this.spec = spec;
	}

	static SimulatedCaller of(String tag, FaultCell.Kind kind) {
		boolean reservation = kind == FaultCell.Kind.RESERVATION;
		RequestSpec spec = RequestSpec.builder()
			.organisation(OrganisationId.of("bakery"))
			.model(ModelId.of("m"))
			.kind(reservation ? CallKind.SERVICE : CallKind.COMPLETION)
			.idempotent(!reservation)
			.idempotencyKey(reservation ? Optional.of("key-" + tag) : Optional.empty())
			.stream(kind == FaultCell.Kind.RESUMED_STREAM || kind == FaultCell.Kind.RERUN_STREAM)
			.body(tag.getBytes(StandardCharsets.UTF_8))
			.digest(tag.hashCode())
			.build();
		return new SimulatedCaller(tag, spec);
	}

	static String token(RequestSpec spec, int number) {
		return new String(spec.body(), StandardCharsets.UTF_8) + "." + number + " ";
	}

	String expectedBody() {
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < TOKENS; i++) {
			text.append(token(this.spec, i));
		}
		return text.toString();
	}

	void end(String outcome, Optional<Verdict> verdict, long nowNanos) {
		this.outcomes.add(outcome);
		this.verdict = verdict;
		this.endNanos = nowNanos;
	}

	void handle(EntryAction action, long nowNanos) {
		if (action instanceof EntryAction.RelayHead) {
			this.headSeen = true;
		}
		else if (action instanceof EntryAction.RelayData relay) {
			this.body.writeBytes(relay.bytes());
		}
		else if (action instanceof EntryAction.Complete) {
			this.complete = true;
			end("complete", Optional.of(Verdict.ofAnswered()), nowNanos);
		}
		else if (action instanceof EntryAction.Reject reject) {
			end(reject.verdict().toString(), Optional.of(reject.verdict()), nowNanos);
		}
		else if (action instanceof EntryAction.AbortStream broken) {
			end(broken.verdict().toString(), Optional.of(broken.verdict()), nowNanos);
		}
	}

}
