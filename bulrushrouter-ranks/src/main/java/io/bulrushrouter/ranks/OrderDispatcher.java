package io.bulrushrouter.ranks;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bulrushrouter.experts.live.OrderResult;
import io.bulrushrouter.experts.live.RankCommand;
import io.bulrushrouter.experts.live.RankOrder;

/**
 * Sends the orders of a leader to the ranks of its group. A new map goes to all ranks and
 * is much larger than other orders, so relays pass it on. A repeated order goes to each
 * rank directly, as a relay may have failed. Holds and their releases go straight to the
 * engine: if the instance that gave one is suspended, another can still release the
 * group, unless it is the instance of that engine.
 */
final class OrderDispatcher {

	private final RetryingOrderSender ownOrderSender;

	OrderDispatcher(RetryingOrderSender ownOrderSender) {
		this.ownOrderSender = ownOrderSender;
	}

	/**
	 * Sends the orders of a round.
	 * @param reports the reports from which the orders follow
	 * @param commands the orders
	 * @param fence the fencing token of the leader
	 * @return the pending results, in the order of the orders
	 */
	List<CompletableFuture<OrderResult>> send(GroupReports reports, List<RankCommand> commands, long fence) {
		RankOrder first = commands.get(0).order();
		boolean forAllRanks = commands.size() == reports.view().size();
		if (forAllRanks && first instanceof RankOrder.Prepare) {
			return relayOrder(reports, commands, fence);
		}
		long epoch = reports.view().epoch();
		return commands.stream().map((command) -> {
			RankConnection connection = reports.connections().get(command.rank());
			return send(connection, command.order(), epoch, fence, commands.size()).toCompletableFuture();
		}).toList();
	}

	private CompletionStage<OrderResult> send(RankConnection connection, RankOrder order, long epoch, long fence,
			int copies) {
		if (connection == null) {
			return this.ownOrderSender.send(order, epoch, fence);
		}
		boolean direct = order instanceof RankOrder.Hold || order instanceof RankOrder.Go;
		return direct ? connection.orderDirectly(order, epoch, fence) : connection.order(order, epoch, fence, copies);
	}

	private List<CompletableFuture<OrderResult>> relayOrder(GroupReports reports, List<RankCommand> commands,
			long fence) {
		RankOrder order = commands.get(0).order();
		long epoch = reports.view().epoch();
		EncodedOrder encoded = EncodedOrder.of(order);
		Map<RankConnection, CompletableFuture<OrderResult>> results = new HashMap<>();
		List<List<RankConnection>> parts = RelayPlan.parts(reports.connections().values(), 0);
		for (List<RankConnection> part : parts) {
			CompletionStage<List<OrderResult>> answer = part.get(0)
				.relayOrder(encoded, epoch, fence, part.subList(1, part.size()), parts.size());
			for (int index = 0; index < part.size(); index++) {
				int position = index;
				results.put(part.get(index),
						answer.thenApply((answers) -> answers.get(position)).toCompletableFuture());
			}
		}
		return commands.stream().map((command) -> {
			RankConnection connection = reports.connections().get(command.rank());
			if (connection == null) {
				return this.ownOrderSender.send(order, epoch, fence).toCompletableFuture();
			}
			return results.containsKey(connection) ? results.get(connection)
					: connection.order(order, epoch, fence, 1).toCompletableFuture();
		}).toList();
	}

}
