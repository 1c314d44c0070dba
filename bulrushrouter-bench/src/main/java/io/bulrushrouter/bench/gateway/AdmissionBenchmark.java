package io.bulrushrouter.bench.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.routing.admission.AdmissionQueue;
import io.bulrushrouter.routing.admission.PaceLimit;
import io.bulrushrouter.routing.admission.PriorityClasses;
import io.bulrushrouter.routing.admission.StreamPace;
import io.bulrushrouter.routing.admission.WaitingStream;

/**
 * Measures one decision on admission: a stream is offered, the limits of two classes are
 * derived from the pauses of 20 running streams, and the next of the waiting streams of
 * 20 organisations is admitted.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class AdmissionBenchmark {

	private static final int ORGANISATIONS = 20;

	private static final int RUNNING = 20;

	private static final long PASS_NANOS = TimeUnit.MILLISECONDS.toNanos(80);

	/** The number of waiting streams. */
	@Param({ "10", "100", "1000" })
	public int waiting;

	private final PriorityClasses classes = PriorityClasses.of(List.of(0, 5));

	private final PaceLimit limit = new PaceLimit(30, 150, (ratio) -> {
	});

	private final List<OrganisationId> organisations = new ArrayList<>();

	private AdmissionQueue<String> queue;

	private long nowNanos;

	private int offered;

	/**
	 * Fills the queue.
	 */
	@Setup
	public void fill() {
		for (int index = 0; index < ORGANISATIONS; index++) {
			this.organisations.add(OrganisationId.of("o-" + index));
		}
		this.limit.slots(800, 20);
		for (int index = 0; index < RUNNING; index++) {
			StreamPace pace = new StreamPace();
			this.limit.event(pace, 1, RUNNING, 0);
			this.limit.event(pace, 1, RUNNING, PASS_NANOS);
		}
		this.nowNanos = PASS_NANOS;
		this.queue = new AdmissionQueue<>(this.classes, 0.3,
				(index) -> this.limit.limit(this.classes.share(index), PASS_NANOS), 0);
		for (int index = 0; index < this.waiting; index++) {
			offer();
		}
	}

	private void offer() {
		this.offered++;
		this.queue.offer(new WaitingStream<>("stream", this.organisations.get(this.offered % ORGANISATIONS),
				(this.offered % 3 == 0) ? 5 : 0, AdmissionQueue.MEAN_COST, false, this.nowNanos, Long.MAX_VALUE,
				Long.MAX_VALUE), this.nowNanos);
	}

	/**
	 * Offers a stream and admits one.
	 * @return the admitted stream
	 */
	@Benchmark
	public Optional<WaitingStream<String>> decide() {
		this.nowNanos += 1_000;
		offer();
		return this.queue.next(this.nowNanos);
	}

	/**
	 * Applies the bounds on waiting, which each entry does each 50 ms.
	 * @return the streams that can no longer be started in time
	 */
	@Benchmark
	public List<WaitingStream<String>> sweep() {
		this.nowNanos += 1_000;
		return this.queue.expire(this.nowNanos);
	}

}
