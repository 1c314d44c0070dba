package io.bulrushrouter.daemon.entry;

import java.util.List;
import java.util.Map;

import io.bulrushrouter.daemon.spread.InForce;
import io.bulrushrouter.http.HttpExchange;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.store.LiveInstance;
import io.bulrushrouter.request.RequestSpec;
import io.bulrushrouter.wire.PeerConnection;
import io.bulrushrouter.wire.WireMessage;

/**
 * What reaches the entry's duty.
 */
sealed interface EntryInput {

	record CallArrived(HttpExchange exchange, RequestSpec spec, long deadlineNanos) implements EntryInput {
	}

	record CallerGone(long number) implements EntryInput {
	}

	record PeerUp(PeerConnection connection) implements EntryInput {
	}

	record PeerSaid(PeerConnection connection, WireMessage message) implements EntryInput {
	}

	record PeerDown(PeerConnection connection) implements EntryInput {
	}

	record Adopted(InForce inForce) implements EntryInput {
	}

	record Placed(Map<OrganisationId, DataCentreId> placements) implements EntryInput {
	}

	record Instances(List<LiveInstance> instances) implements EntryInput {
	}

}
