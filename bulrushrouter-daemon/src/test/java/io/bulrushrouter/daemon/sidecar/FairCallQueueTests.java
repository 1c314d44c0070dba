package io.bulrushrouter.daemon.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.RequestId;
import io.bulrushrouter.request.CallMessage;
import io.bulrushrouter.request.RequestSpec;
import io.bulrushrouter.request.SidecarAction;
import io.bulrushrouter.request.SidecarCalls;
import io.bulrushrouter.request.SidecarEvent;
import io.bulrushrouter.request.SidecarPolicy;
import io.bulrushrouter.routing.FairQueueSettings;
import io.bulrushrouter.routing.OrganisationWeights;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link FairCallQueue} driven by {@link SidecarCalls}. A slot that stays taken
 * after its request has ended would leave the queued requests waiting forever.
 */
class FairCallQueueTests {

	private static final int SLOTS = 2;

	private static final int REQUESTS = 20;

	private final List<AttemptId> started = new ArrayList<>();

	private final Consumer<SidecarAction> actions = (action) -> {
		if (action instanceof SidecarAction.RunOnEngine run) {
			this.started.add(run.attempt());
		}
	};

	private final SidecarCalls calls = SidecarCalls.of(1, SidecarPolicy.of(SLOTS),
			new FairCallQueue(FairQueueSettings.of(SLOTS, OrganisationWeights.ofEqual()), 0));

	private void arrive(int number) {
		RequestSpec spec = RequestSpec.builder()
			.organisation(OrganisationId.of("a"))
			.model(ModelId.of("m"))
			.digest(number)
			.body(new byte[] { (byte) number })
			.build();
		AttemptId attempt = new RequestId(1, number).attempt(1);
		on(new SidecarEvent.CallReceived(1, 1, new CallMessage.Call(attempt, spec, 60_000, 0)));
	}

	private void on(SidecarEvent event) {
		this.calls.on(event, 0, this.actions);
	}

	@Test
	void freesTheSlotOfEveryRequestWhetherItSucceedsOrFails() {
		for (int i = 0; i < REQUESTS; i++) {
			arrive(i);
		}
		for (int i = 0; i < REQUESTS; i++) {
			assertThat(this.started.size()).isAtLeast(i + 1);
			AttemptId attempt = this.started.get(i);
			on((i % 2 == 0) ? new SidecarEvent.EngineEnd(attempt)
					: new SidecarEvent.EngineFailed(attempt, ErrorCode.ENGINE_ERROR, true));
		}
		assertThat(this.started).hasSize(REQUESTS);
	}

}
