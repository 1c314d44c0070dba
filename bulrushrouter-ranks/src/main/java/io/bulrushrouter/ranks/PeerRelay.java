package io.bulrushrouter.ranks;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;

import io.bulrushrouter.experts.live.ChoiceSample;
import io.bulrushrouter.experts.live.OrderResult;

/**
 * Handles requests of the leader that concern this sidecar's rank and further ranks: it
 * passes them on to the sidecars of those ranks and combines the answers. The leader of a
 * large group thus exchanges messages with a few relays instead of all ranks.
 */
final class PeerRelay {

	private final PeerClients peers;

	private final RankReporter ownReporter;

	private final OrderExecutor ownOrders;

	private final RandomGenerator random;

	PeerRelay(PeerClients peers, RankReporter ownReporter, OrderExecutor ownOrders, RandomGenerator random) {
		this.peers = peers;
		this.ownReporter = ownReporter;
		this.ownOrders = ownOrders;
		this.random = random;
	}

	/**
	 * Returns the recent choices of this rank and of the members that answer.
	 * @param request the request
	 * @return the sum, or empty if this rank has no choices to report
	 */
	CompletionStage<Optional<EncodedSample>> choices(PeerMessage.ChoicesRequest request) {
		CompletableFuture<Optional<ChoiceSample>> sum = this.ownReporter.choices().toCompletableFuture();
		for (var member : request.members()) {
			CompletionStage<Optional<EncodedSample>> answer = this.peers.at(member).choices(List.of());
			sum = sum.thenCombine(answer, PeerRelay::add);
		}
		return sum.thenApply(
				(total) -> total.map((sample) -> EncodedSample.of(sample, this.ownReporter.layerSets(), this.random)));
	}

	private static Optional<ChoiceSample> add(Optional<ChoiceSample> sum, Optional<EncodedSample> answer) {
		return sum.map((sample) -> answer.map((encoded) -> sample.plus(encoded.decode())).orElse(sample));
	}

	/**
	 * Executes an order at this rank and passes it on to the members.
	 * @param request the order
	 * @return the result of this rank, then those of the members
	 */
	CompletionStage<List<OrderResult>> order(PeerMessage.OrderRequest request) {
		List<CompletableFuture<OrderResult>> pending = new ArrayList<>();
		pending.add(this.ownOrders.execute(request).toCompletableFuture());
		for (var member : request.members()) {
			pending.add(this.peers.at(member)
				.order(request.order(), request.epoch(), request.fence(), List.of(), request.members().size())
				.thenApply((results) -> results.get(0))
				.toCompletableFuture());
		}
		return CompletableFuture.allOf(pending.toArray(CompletableFuture[]::new))
			.thenApply((all) -> pending.stream().map(CompletableFuture::join).toList());
	}

	/**
	 * Executes an order at this sidecar's rank.
	 */
	@FunctionalInterface
	interface OrderExecutor {

		CompletionStage<OrderResult> execute(PeerMessage.OrderRequest request);

	}

}
