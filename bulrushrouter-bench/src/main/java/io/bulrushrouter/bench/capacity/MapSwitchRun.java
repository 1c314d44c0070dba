package io.bulrushrouter.bench.capacity;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.stream.IntStream;

import io.bulrushrouter.experts.ExpertMap;
import io.bulrushrouter.experts.GroupShape;
import io.bulrushrouter.experts.switchover.BalancerInput;
import io.bulrushrouter.experts.switchover.BalancerOutput;
import io.bulrushrouter.experts.switchover.EngineState;
import io.bulrushrouter.experts.switchover.MapSwitchBalancer;
import io.bulrushrouter.experts.switchover.MapSwitchRank;
import io.bulrushrouter.experts.switchover.RankInput;
import io.bulrushrouter.experts.switchover.RankOutput;
import io.bulrushrouter.experts.switchover.SwitchMessage;

/**
 * Runs one fault-free expert map switch and counts the balancer's messages.
 */
final class MapSwitchRun {

	/** Bytes of one slot of an encoded map. */
	static final int SLOT_BYTES = 4;

	/** Bytes of the numeric fields of a message: up to eight fields of nine bytes. */
	private static final int NUMERIC_FIELDS_BYTES = 72;

	private final MapSwitchRank[] ranks;

	private final EngineState[] engines;

	private final MapSwitchBalancer balancer;

	private final Deque<Runnable> network = new ArrayDeque<>();

	private int messages;

	private long bytes;

	private boolean committed;

	private MapSwitchRun(int count) {
		this.balancer = MapSwitchBalancer.of(count, 1, 1);
		this.ranks = new MapSwitchRank[count];
		this.engines = new EngineState[count];
		for (int index = 0; index < count; index++) {
			int rank = index;
			this.engines[rank] = EngineState.ofStart(1, 0, 1);
			this.ranks[rank] = MapSwitchRank.of(rank, count, (order) -> {
				this.engines[rank] = this.engines[rank].after(order);
				return Optional.of(this.engines[rank]);
			});
		}
	}

	static MapSwitchRun run(int ranks) {
		MapSwitchRun group = new MapSwitchRun(ranks);
		int slots = Math.max(TargetSize.SLOTS_PER_RANK, TargetSize.SLOTS_PER_RANK * TargetSize.EXPERTS / ranks);
		ExpertMap map = ExpertMap.ofRoundRobin(2, GroupShape.of(TargetSize.LAYERS, TargetSize.EXPERTS, ranks, slots));
		group.deliverToBalancer(
				new BalancerInput.Start(group.engines[0].nextMapVersion(), map, group.engines[0].nextStep() + 100));
		while (!group.network.isEmpty()) {
			group.network.poll().run();
		}
		return group;
	}

	private void deliverToBalancer(BalancerInput input) {
		for (BalancerOutput output : this.balancer.on(input)) {
			if (output instanceof BalancerOutput.ToRank toRank) {
				count(toRank.message());
				this.network.add(() -> deliverToRank(toRank.rank(), new RankInput.Received(toRank.message())));
			}
			else if (output instanceof BalancerOutput.Settled settled) {
				this.committed = settled.committed();
			}
		}
	}

	private void deliverToRank(int rank, RankInput input) {
		for (RankOutput output : this.ranks[rank].on(input)) {
			if (output instanceof RankOutput.ToBalancer answer) {
				count(answer.message());
				this.network.add(() -> deliverToBalancer(new BalancerInput.Received(answer.message())));
			}
			else if (output instanceof RankOutput.ToRank peer) {
				this.network.add(() -> deliverToRank(peer.rank(), new RankInput.Received(peer.message())));
			}
			else if (output instanceof RankOutput.LoadWeights load) {
				this.network.add(() -> deliverToRank(rank, new RankInput.WeightsLoaded(load.change())));
			}
		}
	}

	private void count(SwitchMessage message) {
		this.messages++;
		this.bytes += FrameSizes.HEADER_BYTES + NUMERIC_FIELDS_BYTES;
		if (message instanceof SwitchMessage.Prepare prepare) {
			GroupShape shape = prepare.map().shape();
			this.bytes += (long) SLOT_BYTES * shape.layers() * shape.slotsPerLayer();
		}
	}

	int messages() {
		return this.messages;
	}

	long bytes() {
		return this.bytes;
	}

	boolean committed() {
		return this.committed && IntStream.range(0, this.engines.length).allMatch((rank) -> this.engines[rank] != null);
	}

}
