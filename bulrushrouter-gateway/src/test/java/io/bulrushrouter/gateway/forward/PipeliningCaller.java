package io.bulrushrouter.gateway.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;

import io.bulrushrouter.gateway.config.Access;
import io.bulrushrouter.gateway.config.ActiveConfiguration;
import io.bulrushrouter.gateway.config.CallerLimits;
import io.bulrushrouter.gateway.config.GatewayConfiguration;
import io.bulrushrouter.gateway.membership.EntryMembership;
import io.bulrushrouter.gateway.quarantine.CrashEvidence;
import io.bulrushrouter.gateway.source.FreshnessProof;
import io.bulrushrouter.gateway.upstream.EvacuatedDataCentres;
import io.bulrushrouter.gateway.upstream.UpstreamDirectory;
import io.bulrushrouter.gateway.upstream.UpstreamSelector;
import io.bulrushrouter.kernel.TimeSource;

/**
 * A connection without a network whose caller does not wait for answers. The test decides
 * when bytes are read, an exchange ends and a task of the event loop runs. The answer to
 * a request is its target and body.
 */
final class PipeliningCaller {

	private final EmbeddedChannel tasks = new EmbeddedChannel();

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final GatewayContext context = context();

	private final List<String> answers = new ArrayList<>();

	private final CallerConnection connection;

	private final ByteArrayOutputStream sent = new ByteArrayOutputStream();

	private final List<Integer> ends = new ArrayList<>();

	private int read;

	private Exchange open;

	PipeliningCaller() {
		this.connection = new CallerConnection(this.context,
				(request, writer, onComplete) -> Optional.of(new Exchange(request, writer, onComplete)));
		this.channel.pipeline().addLast(this.connection.handlers());
		this.channel.pipeline().remove(HttpResponseEncoder.class);
		this.channel.pipeline().fireChannelActive();
	}

	private GatewayContext context() {
		EntryMembership membership = new EntryMembership("entry");
		UpstreamDirectory directory = new UpstreamDirectory(EvacuatedDataCentres.ofNone());
		directory.replace(List.of(), 0);
		FreshnessProof freshness = new FreshnessProof(() -> 0, () -> 0);
		freshness.prove(0);
		GatewayContext created = new GatewayContext(this.tasks.eventLoop(), TimeSource.ofSystem(), new Random(1),
				GatewayFixture.HEADERS,
				new ForwardSettings(0.16, 84, Duration.ofSeconds(10), Duration.ofSeconds(4), Duration.ofSeconds(3),
						1 << 20, 100),
				directory, new UpstreamSelector("a", new Random(1)), freshness,
				new ForwardMetrics(new SimpleMeterRegistry()), membership,
				new CrashEvidence("entry", 1, membership::position), GatewayFixture.PROBE_PATH);
		created.configuration(ActiveConfiguration.of(new GatewayConfiguration(1, List.of(), Map.of(),
				new CallerLimits(4_096, 10_000, Duration.ofSeconds(3), Duration.ofSeconds(15)), Access.ofEveryone())));
		return created;
	}

	/**
	 * Sends a request, which is read later.
	 * @param request the head and the body
	 * @return this caller
	 */
	PipeliningCaller send(String request) {
		this.sent.writeBytes(request.getBytes(StandardCharsets.ISO_8859_1));
		this.ends.add(this.sent.size());
		return this;
	}

	/**
	 * Lets the gateway read, unless it has paused reading.
	 * @param maxBytes the largest number of bytes
	 */
	void read(int maxBytes) {
		int length = Math.min(maxBytes, this.sent.size() - this.read);
		if (length > 0 && connected() && reading()) {
			byte[] part = Arrays.copyOfRange(this.sent.toByteArray(), this.read, this.read + length);
			this.read += length;
			this.channel.writeInbound(Unpooled.wrappedBuffer(part));
		}
	}

	/**
	 * Returns how many requests have been read to their end.
	 * @return the number
	 */
	int requestsRead() {
		return (int) this.ends.stream().filter((end) -> end <= this.read).count();
	}

	/**
	 * Ends the exchange that is open, if any, with its answer.
	 * @param streamed whether the answer is sent in parts
	 */
	void complete(boolean streamed) {
		if (this.open != null) {
			Exchange ended = this.open;
			this.open = null;
			ended.answer(streamed);
		}
	}

	void runTasks() {
		this.tasks.advanceTimeBy(1, TimeUnit.MILLISECONDS);
		this.tasks.runPendingTasks();
	}

	/**
	 * Lets everything happen that is still due.
	 */
	void finish() {
		for (int turns = 0; turns < 100; turns++) {
			read(Integer.MAX_VALUE);
			runTasks();
			complete(false);
		}
		this.tasks.advanceTimeBy(1, TimeUnit.SECONDS);
		runTasks();
	}

	void close() {
		this.channel.close();
	}

	RequestDecoder decoder() {
		return this.channel.pipeline().get(RequestDecoder.class);
	}

	boolean reading() {
		return this.channel.config().isAutoRead();
	}

	boolean connected() {
		return this.channel.isOpen();
	}

	CallerConnection connection() {
		return this.connection;
	}

	GatewayContext gateway() {
		return this.context;
	}

	/**
	 * Returns the answers so far.
	 * @return of each its status, {@code close} if it announces the end of the
	 * connection, and the body of a success
	 */
	List<String> answers() {
		boolean success = false;
		for (Object message = this.channel.readOutbound(); message != null; message = this.channel.readOutbound()) {
			if (message instanceof HttpResponse response) {
				success = response.status().equals(HttpResponseStatus.OK);
				this.answers.add(response.status().code()
						+ ("close".equals(response.headers().get("Connection")) ? " close " : " "));
			}
			if (message instanceof HttpContent content) {
				int last = this.answers.size() - 1;
				String body = content.content().toString(StandardCharsets.ISO_8859_1);
				this.answers.set(last, this.answers.get(last) + (success ? body : ""));
				content.release();
			}
		}
		return this.answers;
	}

	/**
	 * An exchange that the test ends.
	 */
	private final class Exchange implements CallerExchange {

		private final CallerRequest request;

		private final ResponseWriter writer;

		private final Runnable onComplete;

		private Exchange(CallerRequest request, ResponseWriter writer, Runnable onComplete) {
			this.request = request;
			this.writer = writer;
			this.onComplete = onComplete;
		}

		@Override
		public void start() {
			PipeliningCaller.this.open = this;
		}

		private void answer(boolean streamed) {
			byte[] target = this.request.path().getBytes(StandardCharsets.ISO_8859_1);
			if (streamed) {
				this.writer.startResponse(HttpResponseStatus.OK, new DefaultHttpHeaders());
				this.writer.writePart(Unpooled.wrappedBuffer(target));
				this.writer.writePart(Unpooled.wrappedBuffer(this.request.body()));
				this.writer.finish();
			}
			else {
				this.writer.respond(HttpResponseStatus.OK, new DefaultHttpHeaders(),
						Unpooled.wrappedBuffer(target, this.request.body()));
			}
			this.onComplete.run();
		}

		@Override
		public void callerDisconnected(String detail) {
			PipeliningCaller.this.open = null;
			this.onComplete.run();
		}

		@Override
		public void callerWritabilityChanged(boolean writable) {
			// What is written here is sent at once.
		}

	}

}
