package io.bulrushrouter.coordination.configuration;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import io.bulrushrouter.kernel.InstanceId;

/**
 * The statuses that a relay has heard.
 */
final class StatusBoard {

	private static final int MAX_NODES = 4096;

	private static final long FORGET_NANOS = TimeUnit.MINUTES.toNanos(10);

	private final Map<InstanceId, Heard> nodes = new TreeMap<>();

	void put(NodeStatus status, long nowNanos) {
		if (this.nodes.containsKey(status.instance()) || this.nodes.size() < MAX_NODES) {
			this.nodes.put(status.instance(), new Heard(status, nowNanos));
		}
	}

	List<NodeStatus> statuses(long nowNanos) {
		this.nodes.values().removeIf((heard) -> nowNanos - heard.at() > FORGET_NANOS);
		return this.nodes.values()
			.stream()
			.map((heard) -> heard.status().aged(TimeUnit.NANOSECONDS.toMillis(nowNanos - heard.at())))
			.toList();
	}

	private record Heard(NodeStatus status, long at) {
	}

}
