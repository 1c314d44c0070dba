package io.bulrushrouter.daemon.entry;

import java.util.List;
import java.util.Map;

import io.bulrushrouter.daemon.spread.ActiveConfiguration;
import io.bulrushrouter.http.HttpExchange;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.store.LiveInstance;
import io.bulrushrouter.request.RequestSpec;
import io.bulrushrouter.wire.PeerConnection;
import io.bulrushrouter.wire.WireMessage;

/**
 * An input to the entry's duty, the single thread that owns {@link EntryCore}.
 */
sealed interface EntryInput {

	record CallReceived(HttpExchange exchange, RequestSpec spec, long deadlineNanos) implements EntryInput {
	}

	record CallerDisconnected(long number) implements EntryInput {
	}

	record PeerConnected(PeerConnection connection) implements EntryInput {
	}

	record MessageReceived(PeerConnection connection, WireMessage message) implements EntryInput {
	}

	record PeerDisconnected(PeerConnection connection) implements EntryInput {
	}

	record ConfigurationAdopted(ActiveConfiguration active) implements EntryInput {
	}

	record PlacementsUpdated(Map<OrganisationId, DataCentreId> placements) implements EntryInput {
	}

	record InstancesListed(List<LiveInstance> instances) implements EntryInput {
	}

}
