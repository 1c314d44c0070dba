package io.bulrushrouter.experts.switchover;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.bulrushrouter.experts.ExpertMap;
import io.bulrushrouter.experts.GroupShape;

/**
 * A simulated group of many ranks under random faults: messages are lost, delayed,
 * duplicated and reordered, sidecars restart, and balancers are replaced while the old
 * one continues to run.
 */
final class LargeGroup {

	private static final double LOSS_PROBABILITY = 0.05;

	private static final double DUPLICATION_PROBABILITY = 0.05;

	private final int ranks;

	private final RandomGenerator random;

	private final MapSwitchRank[] sidecars;

	private final EngineState[] engines;

	private final List<MapSwitchBalancer> balancers = new ArrayList<>();

	private final List<Envelope> network = new ArrayList<>();

	private boolean faultsEnabled = true;

	private long step;

	private long mapVersionOfStep = -1;

	private long nextVersion = 2;

	private int ranksBegun;

	private int committedSwitches;

	private int messagesSent;

	LargeGroup(int ranks, RandomGenerator random) {
		this.ranks = ranks;
		this.random = random;
		this.sidecars = new MapSwitchRank[ranks];
		this.engines = new EngineState[ranks];
		for (int rank = 0; rank < ranks; rank++) {
			this.engines[rank] = EngineState.ofStart(1, 0, 1);
			this.sidecars[rank] = sidecar(rank);
		}
	}

	private MapSwitchRank sidecar(int rank) {
		return MapSwitchRank.of(rank, this.ranks, (order) -> {
			this.engines[rank] = this.engines[rank].after(order);
			return Optional.of(this.engines[rank]);
		});
	}

	/** Runs with faults, and starts a new balancer every sixteenth of the events. */
	void runWithFaults(int events) {
		for (int event = 0; event < events; event++) {
			int roll = this.random.nextInt(1000);
			if (roll < 900) {
				deliverOne();
			}
			else if (roll < 950) {
				beginStep(this.random.nextInt(this.ranks));
			}
			else if (roll < 998) {
				react(this.random.nextInt(this.ranks), new RankInput.Tick());
			}
			else {
				injectRareEvent();
			}
			if (event % (events / 16) == 0) {
				startBalancer();
			}
		}
	}

	private void injectRareEvent() {
		int rank = this.random.nextInt(this.ranks);
		int roll = this.random.nextInt(64);
		if (roll == 0) {
			this.sidecars[rank] = sidecar(rank);
			react(rank, new RankInput.Started());
		}
		else {
			int balancer = this.balancers.size() - 1 - this.random.nextInt(Math.min(2, this.balancers.size()));
			react(balancer, (roll == 1) ? new BalancerInput.GiveUp() : new BalancerInput.Tick());
		}
	}

	void startBalancer() {
		this.balancers.add(MapSwitchBalancer.of(this.ranks, 1, this.balancers.size() + 1));
		ExpertMap map = ExpertMap.ofRoundRobin(this.nextVersion++, GroupShape.of(1, 1, this.ranks, 1));
		react(this.balancers.size() - 1,
				new BalancerInput.Start(this.engines[0].nextMapVersion(), map, this.engines[0].nextStep() + 4));
	}

	/** Ends all faults, drops all messages in flight, and runs fairly. */
	void runHealed(int rounds) {
		this.network.clear();
		runWithoutFaults(rounds);
	}

	/** Runs fairly without faults; every message is delivered. */
	void runWithoutFaults(int rounds) {
		this.faultsEnabled = false;
		for (int round = 0; round < rounds; round++) {
			for (int rank = 0; rank < this.ranks; rank++) {
				react(rank, new RankInput.Tick());
			}
			while (!this.network.isEmpty()) {
				deliverOne();
			}
			for (int rank = 0; rank < this.ranks; rank++) {
				beginStep(rank);
			}
		}
	}

	private void beginStep(int rank) {
		EngineState state = this.engines[rank];
		if (state.nextStep() != this.step || state.stopped()) {
			return;
		}
		this.engines[rank] = state.afterStepBegin();
		long mapVersion = this.engines[rank].mapVersion();
		if (this.mapVersionOfStep >= 0 && this.mapVersionOfStep != mapVersion) {
			throw new AssertionError("step " + this.step + " on maps " + this.mapVersionOfStep + " and " + mapVersion);
		}
		this.mapVersionOfStep = mapVersion;
		if (++this.ranksBegun == this.ranks) {
			this.ranksBegun = 0;
			this.mapVersionOfStep = -1;
			this.step++;
		}
	}

	private void deliverOne() {
		if (this.network.isEmpty()) {
			return;
		}
		int index = this.random.nextInt(this.network.size());
		Envelope envelope = this.network.get(index);
		if (!this.faultsEnabled || this.random.nextDouble() >= DUPLICATION_PROBABILITY) {
			this.network.set(index, this.network.get(this.network.size() - 1));
			this.network.remove(this.network.size() - 1);
		}
		if (this.faultsEnabled && this.random.nextDouble() < LOSS_PROBABILITY) {
			return;
		}
		if (envelope.toBalancer()) {
			react(envelope.to(), new BalancerInput.Received(envelope.message()));
		}
		else {
			react(envelope.to(), new RankInput.Received(envelope.message()));
		}
	}

	private void react(int rank, RankInput input) {
		for (RankOutput output : this.sidecars[rank].on(input)) {
			if (output instanceof RankOutput.ToRank toRank) {
				send(new Envelope(false, toRank.rank(), toRank.message()));
			}
			else if (output instanceof RankOutput.ToBalancer toBalancer) {
				send(new Envelope(true, (int) toBalancer.fence() - 1, toBalancer.message()));
			}
			else if (output instanceof RankOutput.LoadWeights load) {
				react(rank, new RankInput.WeightsLoaded(load.change()));
			}
		}
	}

	private void react(int balancer, BalancerInput input) {
		for (BalancerOutput output : this.balancers.get(balancer).on(input)) {
			if (output instanceof BalancerOutput.ToRank toRank) {
				send(new Envelope(false, toRank.rank(), toRank.message()));
			}
			else if (output instanceof BalancerOutput.Settled settled && settled.committed()) {
				this.committedSwitches++;
			}
		}
	}

	private void send(Envelope envelope) {
		this.messagesSent++;
		this.network.add(envelope);
	}

	long step() {
		return this.step;
	}

	int committedSwitches() {
		return this.committedSwitches;
	}

	int messagesSent() {
		return this.messagesSent;
	}

	boolean allRanksUse(long version) {
		for (EngineState engine : this.engines) {
			if (engine.mapVersion() != version) {
				return false;
			}
		}
		return true;
	}

	long latestVersion() {
		return this.nextVersion - 1;
	}

	/** A message in flight and its destination. */
	private record Envelope(boolean toBalancer, int to, SwitchMessage message) {
	}

}
