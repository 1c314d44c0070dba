package io.bulrushrouter.gateway.admission;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.routing.admission.AdmissionQueue;
import io.bulrushrouter.routing.admission.PriorityClasses;
import io.bulrushrouter.routing.admission.StreamPace;
import io.bulrushrouter.routing.admission.WaitingStream;

/**
 * Admits one stream, so that the archive for class data sharing contains the classes that
 * admission loads. Without it the first stream after a start waits for them.
 */
public final class AdmissionTrainingRun implements StreamAdmission.Callbacks<String> {

	private static final long OBJECTIVE_NANOS = 400_000_000;

	private AdmissionTrainingRun() {
	}

	/**
	 * Admits a stream and ends it.
	 */
	public static void run() {
		AdmissionSettings settings = new AdmissionSettings(Duration.ofNanos(OBJECTIVE_NANOS),
				Optional.of(Duration.ofNanos(OBJECTIVE_NANOS)), 1, 1, PriorityClasses.of(List.of(0, 1)));
		StreamAdmission<String> admission = new StreamAdmission<>(settings, new AdmissionTrainingRun(), (ratio) -> {
		}, 0);
		admission.slots(1, 1);
		WaitingStream<String> stream = new WaitingStream<>("stream", OrganisationId.of("training"), 0,
				AdmissionQueue.MEAN_COST, false, 0, OBJECTIVE_NANOS, OBJECTIVE_NANOS);
		StreamPace pace = new StreamPace();
		admission.offer(stream, 0);
		admission.events(pace, 1, 1);
		admission.events(pace, 1, 2);
		admission.sweep(OBJECTIVE_NANOS);
		admission.state(0);
		admission.ended(stream, pace, OBJECTIVE_NANOS);
	}

	@Override
	public void admitted(String stream) {
		// Nothing is sent.
	}

	@Override
	public void refused(String stream) {
		// Nothing is answered.
	}

}
