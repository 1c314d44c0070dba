package io.bulrushrouter.bench.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.request.CallMessage;
import io.bulrushrouter.request.SidecarAction;
import io.bulrushrouter.request.SidecarCalls;
import io.bulrushrouter.request.SidecarEvent;

/**
 * A simulated engine behind its sidecar that fails in a given mode while the fault of the
 * fleet lasts.
 */
final class FailingEngine {

	private static final double SERVICE_MILLIS = 90;

	private static final double FAILURE_MILLIS = 5;

	private static final byte[] RESPONSE_BODY = new byte[64];

	private final FailingFleet fleet;

	private final SidecarCalls calls;

	private final FailureMode mode;

	private final SplittableRandom random;

	private final Set<AttemptId> runningAttempts = new HashSet<>();

	private final List<AttemptId> stalledAttempts = new ArrayList<>();

	private long incarnation;

	FailingEngine(FailingFleet fleet, SidecarCalls calls, FailureMode mode, SplittableRandom random) {
		this.fleet = fleet;
		this.calls = calls;
		this.mode = mode;
		this.random = random;
		this.fleet.loop.at(FailingFleet.FAULT_END_SECOND * 1000L * EventLoop.NANOS_PER_MILLI, this::resumeStalled);
	}

	void arrive(CallMessage.Call call) {
		handle(new SidecarEvent.CallReceived(0, this.incarnation, call));
	}

	void cancel(CallMessage.Cancel cancel) {
		handle(new SidecarEvent.CancelReceived(0, cancel));
	}

	FailingEngine withIncarnation(long incarnation) {
		this.incarnation = incarnation;
		return this;
	}

	private void handle(SidecarEvent event) {
		List<SidecarAction> actions = new ArrayList<>();
		this.calls.on(event, this.fleet.loop.nowNanos(), actions::add);
		actions.forEach(this::execute);
		if (event instanceof SidecarEvent.CallReceived && this.calls.nextWakeNanos() != Long.MAX_VALUE) {
			this.fleet.loop.at(this.calls.nextWakeNanos(), () -> handle(new SidecarEvent.Tick()));
		}
	}

	private void execute(SidecarAction action) {
		if (action instanceof SidecarAction.Reply reply) {
			this.fleet.reply(this, reply.message());
		}
		else if (action instanceof SidecarAction.RunOnEngine run) {
			this.runningAttempts.add(run.attempt());
			start(run.attempt());
		}
		else if (action instanceof SidecarAction.CancelOnEngine cancel) {
			fail(cancel.attempt(), ErrorCode.CANCELLED, true);
		}
	}

	private void start(AttemptId attempt) {
		FailureMode currentMode = this.fleet.isFaulty() ? this.mode : FailureMode.NONE;
		switch (currentMode) {
			case REFUSING ->
				this.fleet.loop.after(FAILURE_MILLIS, () -> fail(attempt, ErrorCode.ENGINE_UNREACHABLE, false));
			case FAILING -> this.fleet.loop.after(FAILURE_MILLIS, () -> fail(attempt, ErrorCode.ENGINE_ERROR, true));
			case STALLED -> this.stalledAttempts.add(attempt);
			default -> scheduleAnswer(attempt);
		}
	}

	private void scheduleAnswer(AttemptId attempt) {
		double millis = -Math.log(1 - this.random.nextDouble()) * SERVICE_MILLIS;
		this.fleet.loop.after(millis, () -> {
			if (this.runningAttempts.remove(attempt)) {
				handle(new SidecarEvent.EngineHead(attempt, 200, "text/plain"));
				handle(new SidecarEvent.EngineData(attempt, RESPONSE_BODY, 1));
				handle(new SidecarEvent.EngineEnd(attempt));
			}
		});
	}

	private void resumeStalled() {
		this.stalledAttempts.forEach(this::scheduleAnswer);
		this.stalledAttempts.clear();
	}

	private void fail(AttemptId attempt, ErrorCode code, boolean mayHaveRun) {
		if (this.runningAttempts.remove(attempt)) {
			handle(new SidecarEvent.EngineFailed(attempt, code, mayHaveRun));
		}
	}

}
