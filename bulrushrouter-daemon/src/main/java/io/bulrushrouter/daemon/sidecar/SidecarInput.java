package io.bulrushrouter.daemon.sidecar;

import java.util.List;

import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.request.SidecarEvent;
import io.bulrushrouter.wire.PeerConnection;
import io.bulrushrouter.wire.WireMessage;

/**
 * An input to the sidecar's duty, the single thread that owns {@link SidecarCore}.
 */
sealed interface SidecarInput {

	record PeerConnected(PeerConnection connection) implements SidecarInput {
	}

	record MessageReceived(PeerConnection connection, WireMessage message) implements SidecarInput {
	}

	record PeerDisconnected(PeerConnection connection) implements SidecarInput {
	}

	record EventRaised(SidecarEvent event) implements SidecarInput {
	}

	record EngineLoadReported(double kvUse) implements SidecarInput {
	}

	record SidecarsListed(List<UpstreamId> sidecars) implements SidecarInput {
	}

	record HealthProbed(boolean healthy) implements SidecarInput {
	}

	record TaskSubmitted(Runnable task) implements SidecarInput {
	}

}
