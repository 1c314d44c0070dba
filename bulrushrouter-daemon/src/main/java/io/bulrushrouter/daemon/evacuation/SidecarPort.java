package io.bulrushrouter.daemon.evacuation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import io.bulrushrouter.daemon.node.ControlMessages.ObserveUpstream;
import io.bulrushrouter.daemon.node.ControlMessages.OrderUpstream;
import io.bulrushrouter.daemon.node.ControlMessages.UpstreamObserved;
import io.bulrushrouter.daemon.node.ControlMessages.UpstreamOrdered;
import io.bulrushrouter.evacuation.reconcile.ObservedUpstream;
import io.bulrushrouter.evacuation.reconcile.Phase;
import io.bulrushrouter.evacuation.reconcile.Step;
import io.bulrushrouter.evacuation.reconcile.StepResult;
import io.bulrushrouter.evacuation.reconcile.UpstreamPort;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * Observes upstreams and sends them orders through their sidecars. Blocks until all
 * answers have been received or have timed out.
 *
 * @param client the client of the sidecars
 */
public record SidecarPort(SidecarClient client) implements UpstreamPort {

	@Override
	public List<ObservedUpstream> observe() {
		Map<UpstreamId, CompletableFuture<UpstreamObserved>> answers = new HashMap<>();
		this.client.connected()
			.forEach((upstream) -> answers.put(upstream,
					this.client.ask(upstream, ObserveUpstream::new, UpstreamObserved.class)));
		List<ObservedUpstream> observed = new ArrayList<>();
		answers.forEach((upstream, answer) -> answer.handle((state, failure) -> Optional.ofNullable(state))
			.join()
			.ifPresent((state) -> observed.add(observed(upstream, state))));
		return observed;
	}

	private static ObservedUpstream observed(UpstreamId upstream, UpstreamObserved state) {
		return new ObservedUpstream(upstream, Phase.valueOf(state.phase()), state.inFlight(),
				Optional.of(state.refusal()).filter((text) -> !text.isEmpty()));
	}

	@Override
	public StepResult carryOut(Step.UpstreamOrder order) {
		try {
			return result(this.client
				.ask(order.upstream(), (number) -> new OrderUpstream(number, order.name(), order.fence()),
						UpstreamOrdered.class)
				.join());
		}
		catch (CompletionException ex) {
			return new StepResult.Unknown(String.valueOf(ex.getCause()));
		}
	}

	private static StepResult result(UpstreamOrdered answer) {
		return switch (answer.result()) {
			case "done" -> new StepResult.Done();
			case "refused" -> new StepResult.Refused(answer.detail());
			case "fenced" -> new StepResult.Fenced();
			default -> new StepResult.Unknown(answer.detail());
		};
	}

}
