package io.bulrushrouter.bench;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.HdrHistogram.Histogram;

import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.Priority;
import io.bulrushrouter.routing.Dispatch;
import io.bulrushrouter.routing.FairQueue;
import io.bulrushrouter.routing.FairQueueSettings;

/**
 * Simulates a sidecar's fair queue in front of an engine that prefills one chunk at a
 * time and decodes up to a fixed number of requests concurrently. The queue is the
 * production implementation; the engine is simulated.
 */
final class FairnessModel {

	/** Interval between the output tokens of a request, in milliseconds. */
	private static final double MILLIS_PER_OUTPUT_TOKEN = 40;

	private static final double MEAN_PROMPT_TOKENS = 1000;

	private static final double MEAN_OUTPUT_TOKENS = 100;

	/** Prompt tokens that the engine prefills without switching to another request. */
	private static final int CHUNK_TOKENS = 512;

	/** Length of the intervals in which served tokens are counted, in nanoseconds. */
	private static final long BUCKET_NANOS = 500_000_000L;

	private static final long DEADLINE_NANOS = 30_000_000_000L;

	private final EventScheduler scheduler = new EventScheduler();

	private final SplittableRandom random;

	private final double seconds;

	private final FairQueue<Job> queue;

	private final ArrayDeque<Job> withinShare = new ArrayDeque<>();

	private final ArrayDeque<Job> overShare = new ArrayDeque<>();

	private final Histogram[] firstTokenMicros;

	private final double[][] servedTokens;

	private boolean prefilling;

	private long shed;

	private FairnessModel(int slots, List<Load> loads, double seconds, long seed) {
		this.seconds = seconds;
		this.random = new SplittableRandom(seed);
		FairQueueSettings settings = FairQueueSettings.ofEngine(slots,
				(id) -> loads.get(organisationIndex(id)).weight());
		this.queue = FairQueue.of(settings, 0);
		this.firstTokenMicros = new Histogram[loads.size()];
		this.servedTokens = new double[loads.size()][(int) (seconds * 1e9 / BUCKET_NANOS) + 1];
		for (int i = 0; i < loads.size(); i++) {
			this.firstTokenMicros[i] = new Histogram(3);
			SplittableRandom arrivals = this.random.split();
			int organisation = i;
			if (loads.get(i).requestsPerSecond() > 0) {
				this.scheduler.after(0, () -> arrive(organisation, loads.get(organisation), arrivals));
			}
		}
	}

	static Result run(int slots, List<Load> loads, double seconds, long seed) {
		FairnessModel model = new FairnessModel(slots, loads, seconds, seed);
		model.scheduler.runUntil((long) (seconds * 1e9));
		return new Result(model.firstTokenMicros, model.servedTokens, model.shed);
	}

	/**
	 * Returns the requests per second that an engine can serve.
	 * @param slots the number of requests that it decodes concurrently
	 * @return the lower of the rates that prefill and decode allow
	 */
	static double capacityPerSecond(int slots) {
		double prefillSeconds = MEAN_PROMPT_TOKENS * SimulatedUpstream.MILLIS_PER_TOKEN / 1000;
		double decodeSeconds = MEAN_OUTPUT_TOKENS * MILLIS_PER_OUTPUT_TOKEN / 1000;
		return Math.min(1 / prefillSeconds, slots / (prefillSeconds + decodeSeconds));
	}

	private static int organisationIndex(OrganisationId id) {
		return Integer.parseInt(id.value().substring(1));
	}

	private void arrive(int organisation, Load load, SplittableRandom arrivals) {
		double gap = -Math.log(1 - arrivals.nextDouble()) / load.requestsPerSecond() * 1000;
		this.scheduler.after(gap, () -> arrive(organisation, load, arrivals));
		Job job = new Job(organisation, drawTokens(arrivals, MEAN_PROMPT_TOKENS),
				drawTokens(arrivals, MEAN_OUTPUT_TOKENS), this.scheduler.nowNanos());
		long now = this.scheduler.nowNanos();
		this.shed += this.queue
			.offer(job, OrganisationId.of("o" + organisation), Priority.NORMAL,
					job.promptTokens + (long) MEAN_OUTPUT_TOKENS, now + DEADLINE_NANOS, now)
			.shed()
			.size();
		this.shed += this.queue.removeExpired(now).size();
		dispatch();
	}

	private static int drawTokens(SplittableRandom random, double mean) {
		return 1 + (int) (mean * (0.5 + random.nextDouble()));
	}

	private void dispatch() {
		Optional<Dispatch<Job>> next = this.queue.next(this.scheduler.nowNanos());
		while (next.isPresent()) {
			Job job = next.get().item();
			job.dispatch = next.get();
			(job.dispatch.overShare() ? this.overShare : this.withinShare).add(job);
			next = this.queue.next(this.scheduler.nowNanos());
		}
		if (!this.prefilling) {
			prefill();
		}
	}

	private void prefill() {
		Job job = this.withinShare.isEmpty() ? this.overShare.peek() : this.withinShare.peek();
		this.prefilling = job != null;
		if (job != null) {
			int chunk = Math.min(CHUNK_TOKENS, job.promptTokens - job.prefilled);
			this.scheduler.after(chunk * SimulatedUpstream.MILLIS_PER_TOKEN, () -> chunkDone(job, chunk));
		}
	}

	private void chunkDone(Job job, int chunk) {
		job.prefilled += chunk;
		recordServedTokens(job, chunk);
		if (job.prefilled == job.promptTokens) {
			this.withinShare.remove(job);
			this.overShare.remove(job);
			firstToken(job);
		}
		prefill();
	}

	private void firstToken(Job job) {
		this.queue.firstToken(job.dispatch);
		long now = this.scheduler.nowNanos();
		if (now > this.seconds * 1e9 / 6) {
			this.firstTokenMicros[job.organisation].recordValue((now - job.arrivalNanos) / 1000);
		}
		this.scheduler.after(MILLIS_PER_OUTPUT_TOKEN, () -> decode(job, 1));
		dispatch();
	}

	private void decode(Job job, int tokens) {
		recordServedTokens(job, 1);
		if (tokens < job.outputTokens) {
			this.scheduler.after(MILLIS_PER_OUTPUT_TOKEN, () -> decode(job, tokens + 1));
			return;
		}
		this.queue.finished(job.dispatch, job.promptTokens + job.outputTokens, this.scheduler.nowNanos());
		dispatch();
	}

	private void recordServedTokens(Job job, int tokens) {
		this.servedTokens[job.organisation][(int) (this.scheduler.nowNanos() / BUCKET_NANOS)] += tokens;
	}

	/**
	 * The load of an organisation.
	 *
	 * @param weight the weight of the organisation in the fair queue
	 * @param requestsPerSecond the mean arrival rate
	 */
	record Load(double weight, double requestsPerSecond) {
	}

	/**
	 * The figures of one run.
	 *
	 * @param firstTokenMicros time to first token by organisation, in microseconds
	 * @param servedTokens tokens served, by organisation and half second
	 * @param shed the number of requests shed
	 */
	record Result(Histogram[] firstTokenMicros, double[][] servedTokens, long shed) {
	}

	/**
	 * A request in the queue or on the engine.
	 */
	private static final class Job {

		private final int organisation;

		private final int promptTokens;

		private final int outputTokens;

		private final long arrivalNanos;

		private int prefilled;

		private Dispatch<Job> dispatch;

		Job(int organisation, int promptTokens, int outputTokens, long atNanos) {
			this.organisation = organisation;
			this.promptTokens = promptTokens;
			this.outputTokens = outputTokens;
			this.arrivalNanos = atNanos;
		}

	}

}
