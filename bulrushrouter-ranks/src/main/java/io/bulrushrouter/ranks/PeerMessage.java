package io.bulrushrouter.ranks;

import java.net.InetAddress;
import java.util.List;
import java.util.Optional;

import io.bulrushrouter.experts.live.OrderResult;
import io.bulrushrouter.experts.live.RankStatus;

/**
 * A message between the sidecars of two ranks.
 */
sealed interface PeerMessage {

	/**
	 * Returns the identifier that correlates a response with its request.
	 * @return the identifier
	 */
	long id();

	/**
	 * Requests the status of a rank.
	 *
	 * @param id the identifier of the request
	 * @param knownEpoch the epoch of the map whose experts the sender knows
	 * @param knownMap the version of that map
	 */
	record StatusRequest(long id, long knownEpoch, long knownMap) implements PeerMessage {
	}

	/**
	 * Requests the recent choices of a rank and of further ranks, added up.
	 *
	 * @param id the identifier of the request
	 * @param members the addresses of the sidecars of the further ranks
	 */
	record ChoicesRequest(long id, List<InetAddress> members) implements PeerMessage {
	}

	/**
	 * Requests the execution of an order at a rank and at further ranks.
	 *
	 * @param id the identifier of the request
	 * @param epoch the epoch in which the order is valid
	 * @param fence the fencing token
	 * @param order the order
	 * @param members the addresses of the sidecars of the further ranks
	 */
	record OrderRequest(long id, long epoch, long fence, EncodedOrder order,
			List<InetAddress> members) implements PeerMessage {
	}

	/**
	 * Responds with a status.
	 *
	 * @param id the identifier of the request
	 * @param status the status, or empty if the engine did not answer or is in no group
	 * @param experts the experts that the map in use places on the rank, by set, or empty
	 * if the sender of the request knows them
	 */
	record StatusResponse(long id, Optional<RankStatus> status, Optional<int[][]> experts) implements PeerMessage {
	}

	/**
	 * Responds with choices.
	 *
	 * @param id the identifier of the request
	 * @param sample the choices of the ranks that answered, or empty if the rank itself
	 * has none
	 */
	record ChoicesResponse(long id, Optional<EncodedSample> sample) implements PeerMessage {
	}

	/**
	 * Responds with the results of an order.
	 *
	 * @param id the identifier of the request
	 * @param results the result of the rank itself, then those of the members, in the
	 * order of the request
	 */
	record OrderResponse(long id, List<OrderResult> results) implements PeerMessage {
	}

}
