package io.bulrushrouter.bench.gateway;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

import io.bulrushrouter.gateway.stream.EventSplitter;

/**
 * Measures splitting a stream chunk that contains one event.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class EventSplitterBenchmark {

	private final byte[] chunk = ("id: 17\ndata: " + "x".repeat(50) + "\n\n").getBytes(StandardCharsets.US_ASCII);

	private final EventSplitter splitter = new EventSplitter();

	/**
	 * Splits the chunk.
	 * @return the events of the chunk
	 */
	@Benchmark
	public List<EventSplitter.Event> split() {
		return this.splitter.split(Unpooled.wrappedBuffer(this.chunk));
	}

}
