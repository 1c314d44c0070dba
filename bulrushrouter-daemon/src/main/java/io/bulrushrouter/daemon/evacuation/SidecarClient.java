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
 * Sends queries and orders to sidecars over the entry's connections and matches their
 * answers. Thread-safe.
 */
public final class SidecarClient {

	private static final long TIMEOUT_MILLIS = 1_500;

	private final Map<UpstreamId, PeerConnection> connections = new ConcurrentHashMap<>();

	private final Map<Long, CompletableFuture<Record>> pending = new ConcurrentHashMap<>();

	private final AtomicLong questionCounter = new AtomicLong();

	/**
	 * Records a new connection to a sidecar.
	 * @param connection the connection
	 */
	public void peerConnected(PeerConnection connection) {
		this.connections.put(UpstreamId.of(connection.peer().name()), connection);
	}

	/**
	 * Records that a connection was closed.
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
	 * Completes the pending question that a message answers; ignores other messages.
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
	 * Sends a question to a sidecar.
	 * @param upstream the sidecar's upstream
	 * @param question creates the message from the question's number
	 * @param type the type of the answer
	 * @param <T> the type of the answer
	 * @return the answer; fails after a timeout or if there is no connection
	 */
	public <T extends Record> CompletableFuture<T> ask(UpstreamId upstream, LongFunction<Record> question,
			Class<T> type) {
		long number = this.questionCounter.incrementAndGet();
		CompletableFuture<Record> answer = new CompletableFuture<>();
		this.pending.put(number, answer);
		PeerConnection connection = this.connections.get(upstream);
		if (connection == null || !connection.send(ControlCodec.encode(question.apply(number)))) {
			answer.completeExceptionally(new IllegalStateException("no connection to the sidecar of " + upstream));
		}
		return answer.orTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
			.whenComplete((result, failure) -> this.pending.remove(number))
			.thenApply(type::cast);
	}

}
