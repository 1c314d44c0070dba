package io.bulrushrouter.bench.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

import io.bulrushrouter.gateway.config.RouteKind;
import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.gateway.upstream.AttemptSize;
import io.bulrushrouter.gateway.upstream.UpstreamSelector;
import io.bulrushrouter.gateway.upstream.UpstreamSelector.Outcome;

/**
 * Measures the choice of one upstream among 600.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class UpstreamChoiceBenchmark {

	private static final int UPSTREAMS = 600;

	/** Answers of each upstream from which its capacity is learned. */
	private static final int ROUNDS = 30;

	private final UpstreamSelector choice = new UpstreamSelector("dc-3", new Random(1));

	private final List<UpstreamRecord> upstreams = upstreams();

	private static List<UpstreamRecord> upstreams() {
		List<UpstreamRecord> upstreams = new ArrayList<>();
		for (int index = 0; index < UPSTREAMS; index++) {
			upstreams.add(new UpstreamRecord("i-" + index, "s", InetSocketAddress.createUnresolved("10.0.0.1", 80),
					"dc-" + index % 11, 8, false, 0));
		}
		return upstreams;
	}

	private final UpstreamSelector unevenChoice = unevenChoice(this.upstreams);

	private static UpstreamSelector unevenChoice(List<UpstreamRecord> upstreams) {
		UpstreamSelector selector = new UpstreamSelector("dc-3", new Random(1));
		AttemptSize size = new AttemptSize(RouteKind.IDEMPOTENT, 0, 100);
		for (int round = 0; round < ROUNDS; round++) {
			for (int index = 0; index < UPSTREAMS; index++) {
				UpstreamRecord upstream = upstreams.get(index);
				long latencyNanos = TimeUnit.MILLISECONDS.toNanos((index % 2 == 0) ? 30 : 120);
				selector.started(upstream.id());
				selector.observe(upstream, size, -latencyNanos).completed(true, 0);
				selector.ended(upstream.id(), Outcome.SUCCESS, 0);
			}
		}
		return selector;
	}

	/**
	 * Picks an upstream where half of them are four times as slow.
	 * @return the chosen upstream, if any
	 */
	@Benchmark
	public Optional<UpstreamRecord> pickUneven() {
		return this.unevenChoice.pick(this.upstreams, Set.of(), 0);
	}

	/**
	 * Picks an upstream.
	 * @return the chosen upstream, if any
	 */
	@Benchmark
	public Optional<UpstreamRecord> pick() {
		return this.choice.pick(this.upstreams, Set.of(), 0);
	}

}
