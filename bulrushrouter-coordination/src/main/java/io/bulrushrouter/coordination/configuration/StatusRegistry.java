package io.bulrushrouter.coordination.configuration;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import io.bulrushrouter.kernel.InstanceId;

/**
 * The latest status received from each node. A status expires when it is not renewed.
 */
final class StatusRegistry {

	private static final int MAX_NODES = 4096;

	private static final long EXPIRY_NANOS = TimeUnit.MINUTES.toNanos(10);

	private final Map<InstanceId, ReceivedStatus> nodes = new TreeMap<>();

	void put(NodeStatus status, long nowNanos) {
		if (this.nodes.containsKey(status.instance()) || this.nodes.size() < MAX_NODES) {
			this.nodes.put(status.instance(), new ReceivedStatus(status, nowNanos));
		}
	}

	List<NodeStatus> statuses(long nowNanos) {
		this.nodes.values().removeIf((received) -> nowNanos - received.receivedNanos() > EXPIRY_NANOS);
		return this.nodes.values()
			.stream()
			.map((received) -> received.status()
				.withAge(TimeUnit.NANOSECONDS.toMillis(nowNanos - received.receivedNanos())))
			.toList();
	}

	private record ReceivedStatus(NodeStatus status, long receivedNanos) {
	}

}
