package io.bulrushrouter.daemon.sidecar;

import java.util.List;

import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.request.SidecarEvent;
import io.bulrushrouter.wire.PeerConnection;
import io.bulrushrouter.wire.WireMessage;

/**
 * What reaches the sidecar's duty.
 */
sealed interface SidecarInput {

	record PeerUp(PeerConnection connection) implements SidecarInput {
	}

	record PeerSaid(PeerConnection connection, WireMessage message) implements SidecarInput {
	}

	record PeerDown(PeerConnection connection) implements SidecarInput {
	}

	record Happened(SidecarEvent event) implements SidecarInput {
	}

	record EngineLoad(double kvUse) implements SidecarInput {
	}

	record Sidecars(List<UpstreamId> sidecars) implements SidecarInput {
	}

	record Health(boolean healthy) implements SidecarInput {
	}

	record Continue(Runnable action) implements SidecarInput {
	}

}
