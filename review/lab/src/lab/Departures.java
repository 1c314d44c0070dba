package lab;

import java.util.concurrent.TimeUnit;

/** Counts what a runner that left still ran later than drain-ms after the ack of its leaving. */
final class Departures {

	private static final long DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

	private Departures() {
	}

	static boolean held(Runner left, long ackNanos) {
		return held(left, ackNanos, ackNanos);
	}

	/** As above, counting only what ran once the sending machine was in touch. */
	static boolean held(Runner left, long ackNanos, long inTouchNanos) {
		int late = 0;
		long last = 0;
		for (Runner.Run run : left.runs()) {
			if (run.nanos() - ackNanos > DRAIN_NANOS && run.nanos() - inTouchNanos > 0) {
				late++;
				last = run.nanos();
				if (late <= 5) {
					Lab.log("runner " + left.id() + ": ran " + run.id() + " "
							+ TimeUnit.NANOSECONDS.toMillis(run.nanos() - ackNanos) + " ms after the ack of its leaving");
				}
			}
		}
		Lab.log("runner " + left.id() + ": ran " + left.runs().size() + " in all, " + late
				+ " of them later than drain-ms (2000) after the ack"
				+ ((late > 0) ? ", the last " + TimeUnit.NANOSECONDS.toMillis(last - ackNanos) + " ms after it" : ""));
		return late == 0;
	}

}
