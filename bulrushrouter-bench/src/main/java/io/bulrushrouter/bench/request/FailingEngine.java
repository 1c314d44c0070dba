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
 * An upstream with its sidecar, which may fail.
 */
final class FailingEngine {

	private static final double SERVICE_MILLIS = 90;

	private static final double FAILURE_MILLIS = 5;

	private static final byte[] ANSWER = new byte[64];

	private final FailingFleet fleet;

	private final SidecarCalls calls;

	private final FailureMode mode;

	private final SplittableRandom random;

	private final Set<AttemptId> running = new HashSet<>();

	private final List<AttemptId> stalled = new ArrayList<>();

	private long sidecar;

	FailingEngine(FailingFleet fleet, SidecarCalls calls, FailureMode mode, SplittableRandom random) {
		this.fleet = fleet;
		this.calls = calls;
		this.mode = mode;
		this.random = random;
		this.fleet.loop.at(FailingFleet.FAULT_UNTIL * 1000L * EventLoop.MILLIS, this::wakeStalled);
	}

	void arrive(CallMessage.Call call) {
		on(new SidecarEvent.CallReceived(0, this.sidecar, call));
	}

	void cancel(CallMessage.Cancel cancel) {
		on(new SidecarEvent.CancelReceived(0, cancel));
	}

	FailingEngine incarnation(long incarnation) {
		this.sidecar = incarnation;
		return this;
	}

	private void on(SidecarEvent event) {
		List<SidecarAction> actions = new ArrayList<>();
		this.calls.on(event, this.fleet.loop.nowNanos(), actions::add);
		actions.forEach(this::act);
		if (event instanceof SidecarEvent.CallReceived && this.calls.nextWakeNanos() != Long.MAX_VALUE) {
			this.fleet.loop.at(this.calls.nextWakeNanos(), () -> on(new SidecarEvent.Tick()));
		}
	}

	private void act(SidecarAction action) {
		if (action instanceof SidecarAction.Reply reply) {
			this.fleet.reply(this, reply.message());
		}
		else if (action instanceof SidecarAction.RunOnEngine run) {
			this.running.add(run.attempt());
			run(run.attempt());
		}
		else if (action instanceof SidecarAction.CancelOnEngine cancel) {
			fail(cancel.attempt(), ErrorCode.CANCELLED, true);
		}
	}

	private void run(AttemptId attempt) {
		FailureMode now = this.fleet.isFaulty() ? this.mode : FailureMode.NONE;
		switch (now) {
			case REFUSING ->
				this.fleet.loop.after(FAILURE_MILLIS, () -> fail(attempt, ErrorCode.ENGINE_UNREACHABLE, false));
			case FAILING -> this.fleet.loop.after(FAILURE_MILLIS, () -> fail(attempt, ErrorCode.ENGINE_ERROR, true));
			case STALLED -> this.stalled.add(attempt);
			default -> answerLater(attempt);
		}
	}

	private void answerLater(AttemptId attempt) {
		double millis = -Math.log(1 - this.random.nextDouble()) * SERVICE_MILLIS;
		this.fleet.loop.after(millis, () -> {
			if (this.running.remove(attempt)) {
				on(new SidecarEvent.EngineHead(attempt, 200, "text/plain"));
				on(new SidecarEvent.EngineData(attempt, ANSWER, 1));
				on(new SidecarEvent.EngineEnd(attempt));
			}
		});
	}

	private void wakeStalled() {
		this.stalled.forEach(this::answerLater);
		this.stalled.clear();
	}

	private void fail(AttemptId attempt, ErrorCode code, boolean mayHaveRun) {
		if (this.running.remove(attempt)) {
			on(new SidecarEvent.EngineFailed(attempt, code, mayHaveRun));
		}
	}

}
