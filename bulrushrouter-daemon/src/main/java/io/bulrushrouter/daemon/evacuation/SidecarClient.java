package io.bulrushrouter.daemon.evacuation;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;

import io.bulrushrouter.daemon.node.ControlMessages.UpstreamObserved;
import io.bulrushrouter.daemon.node.ControlMessages.UpstreamOrdered;
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.wire.ControlCodec;
import io.bulrushrouter.wire.PeerConnection;
import io.bulrushrouter.wire.WireMessage;

/**
 * Asks sidecars over the entry's connections and matches their answers. May be used from
 * any thread.
 */
public final class SidecarClient {

	private static final long TIMEOUT_MILLIS = 1_500;

	private final Map<UpstreamId, PeerConnection> connections = new ConcurrentHashMap<>();

	private final Map<Long, CompletableFuture<Record>> pending = new ConcurrentHashMap<>();

	private final AtomicLong questionCounter = new AtomicLong();

	/**
	 * Notes a connection to a sidecar.
	 * @param connection the connection
	 */
	public void peerConnected(PeerConnection connection) {
		this.connections.put(UpstreamId.of(connection.peer().name()), connection);
	}

	/**
	 * Notes a lost connection.
	 * @param connection the connection
	 */
	public void peerDisconnected(PeerConnection connection) {
		this.connections.remove(UpstreamId.of(connection.peer().name()), connection);
	}

	/**
	 * Returns the upstreams whose sidecars are connected.
	 * @return the upstreams
	 */
	public Iterable<UpstreamId> connected() {
		return this.connections.keySet();
	}

	/**
	 * Takes a message if it answers a question.
	 * @param control the message
	 */
	public void handleMessage(WireMessage.Control control) {
		if (control.topic().equals(UpstreamObserved.class.getSimpleName())) {
			UpstreamObserved answer = ControlCodec.decode(control, UpstreamObserved.class);
			complete(answer.question(), answer);
		}
		else if (control.topic().equals(UpstreamOrdered.class.getSimpleName())) {
			UpstreamOrdered answer = ControlCodec.decode(control, UpstreamOrdered.class);
			complete(answer.question(), answer);
		}
	}

	private void complete(long question, Record answer) {
		CompletableFuture<Record> waiting = this.pending.remove(question);
		if (waiting != null) {
			waiting.complete(answer);
		}
	}

	/**
	 * Asks a sidecar.
	 * @param upstream its upstream
	 * @param question makes the message of the question's number
	 * @param type the answer's type
	 * @param <T> the answer's type
	 * @return the answer; fails if none comes in time or there is no connection
	 */
	public <T extends Record> CompletableFuture<T> ask(UpstreamId upstream, LongFunction<Record> question,
			Class<T> type) {
		long number = this.questionCounter.incrementAndGet();
		CompletableFuture<Record> answer = new CompletableFuture<>();
		this.pending.put(number, answer);
		PeerConnection connection = this.connections.get(upstream);
		if (connection == null || !connection.send(ControlCodec.encode(question.apply(number)))) {
			answer.completeExceptionally(new IllegalStateException("no connection to " + upstream));
		}
		return answer.orTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
			.whenComplete((result, failure) -> this.pending.remove(number))
			.thenApply(type::cast);
	}

}
