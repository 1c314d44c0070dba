package io.bulrushrouter.experts.switchover;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.bulrushrouter.experts.ExpertMap;
import io.bulrushrouter.experts.GroupShape;

/**
 * Model of a group of ranks, its balancers and the store, for the {@link Explorer}. Sent
 * messages stay in the network forever and may be delivered at any time, any number of
 * times and in any order, which covers loss, delay, duplication and reordering. A process
 * that is not scheduled stands for one that is paused, crashed or partitioned.
 */
final class GroupModel {

	static final int DOWN = -1;

	static final long LAST_STEP = 4;

	private static final int STORE_ADDRESS = -1;

	private static final int BALANCER_ADDRESS_BASE = 1000;

	final int ranks;

	final int balancers;

	final EngineRules rules;

	final boolean instantLoad;

	final int attempts;

	private final Interner<EngineState> engines = new Interner<>();

	private final Interner<MapSwitchRank.VolatileState> sidecars = new Interner<>();

	private final Interner<BalancerState> balancerStates = new Interner<>();

	private final Interner<Envelope> envelopes = new Interner<>();

	private final Interner<RankInput> inputs = new Interner<>();

	private final Map<List<Integer>, Reaction> reactions = new HashMap<>();

	GroupModel(int ranks, int balancers, int attempts, boolean instantLoad, EngineRules rules) {
		this.ranks = ranks;
		this.balancers = balancers;
		this.attempts = attempts;
		this.instantLoad = instantLoad;
		this.rules = rules;
	}

	GroupState start(int restarts, int crashes) {
		GroupState state = new GroupState();
		state.engines = new int[this.ranks];
		state.sidecars = new int[this.ranks];
		state.seenFence = new int[this.ranks];
		state.balancers = new int[this.balancers];
		Arrays.fill(state.engines, this.engines.id(EngineState.ofStart(1, 0, 1)));
		Arrays.fill(state.sidecars, this.sidecars.id(MapSwitchRank.VolatileState.EMPTY));
		Arrays.fill(state.balancers, DOWN);
		state.store = new int[] { 1, 1, 0, 0 };
		state.restarts = restarts;
		state.crashes = crashes;
		state.sentMessages = new BitSet();
		return state;
	}

	/**
	 * Returns an initial state in which all ranks have promised the first balancer's
	 * change and all commits are in flight.
	 * @param restarts the maximum number of sidecar restarts
	 * @param crashes the maximum number of rank crashes
	 * @return the state
	 */
	GroupState startAfterPromises(int restarts, int crashes) {
		GroupState state = startBalancer(start(restarts, crashes), 0);
		for (int id = 0; id < state.sentMessages.length(); id++) {
			Object body = this.envelopes.value(id).body();
			if (body instanceof SwitchMessage.Prepare prepare) {
				deliver(state, id, new ArrayList<>());
				react(state, this.envelopes.value(id).to(), new RankInput.WeightsLoaded(prepare.change()));
			}
			else if (body instanceof SwitchMessage.Promise) {
				deliver(state, id, new ArrayList<>());
			}
		}
		return state;
	}

	List<GroupState> successors(GroupState state) {
		List<GroupState> successors = new ArrayList<>();
		for (int id = state.sentMessages.nextSetBit(0); id >= 0; id = state.sentMessages.nextSetBit(id + 1)) {
			deliver(state.copy("deliver " + id), id, successors);
		}
		for (int rank = 0; rank < this.ranks; rank++) {
			rankEvents(state, rank, successors);
		}
		for (int balancer = 0; balancer < this.balancers; balancer++) {
			balancerEvents(state, balancer, successors);
		}
		if (state.broken) {
			successors.add(reform(state.copy("reform")));
		}
		return successors;
	}

	private void rankEvents(GroupState state, int rank, List<GroupState> successors) {
		if (mayJoin(state, rank)) {
			successors.add(join(state.copy("join " + rank), rank));
		}
		if (state.engines[rank] == DOWN) {
			return;
		}
		if (mayBeginStep(state, rank) && engine(state, rank).nextStep() <= LAST_STEP) {
			successors.add(beginStep(state.copy("begin " + rank), rank));
		}
		if (engine(state, rank).armed().isPresent()) {
			successors.add(react(state.copy("tick " + rank), rank, new RankInput.Tick()));
		}
		this.sidecars.value(state.sidecars[rank])
			.loading()
			.ifPresent((change) -> successors
				.add(react(state.copy("loaded " + rank), rank, new RankInput.WeightsLoaded(change))));
		if (state.restarts > 0) {
			GroupState copy = state.copy("restart " + rank);
			copy.restarts--;
			successors.add(restart(copy, rank));
		}
		if (state.crashes > 0) {
			GroupState copy = state.copy("crash " + rank);
			copy.crashes--;
			copy.engines[rank] = DOWN;
			copy.broken = true;
			successors.add(copy);
		}
	}

	private void balancerEvents(GroupState state, int balancer, List<GroupState> successors) {
		if (mayStart(state, balancer)) {
			successors.add(startBalancer(state.copy("start " + balancer), balancer));
		}
		if (state.balancers[balancer] != DOWN && phase(state, balancer) == MapSwitchBalancer.Phase.PREPARING) {
			successors.add(react(state.copy("give up " + balancer), balancer, new BalancerInput.GiveUp()));
		}
	}

	private boolean mayStart(GroupState state, int balancer) {
		if (state.engines[0] == DOWN) {
			return false;
		}
		return state.balancers[balancer] == DOWN || phase(state, balancer) == MapSwitchBalancer.Phase.ABORTED
				&& this.balancerStates.value(state.balancers[balancer]).volatileState().attempts() < this.attempts;
	}

	GroupState startBalancer(GroupState state, int balancer) {
		if (state.balancers[balancer] == DOWN) {
			state.balancers[balancer] = this.balancerStates
				.id(new BalancerState(engine(state, 0).incarnation(), MapSwitchBalancer.VolatileState.EMPTY));
		}
		int attempt = this.balancerStates.value(state.balancers[balancer]).volatileState().attempts();
		long version = 10L * (balancer + 1) + attempt;
		ExpertMap map = ExpertMap.ofRoundRobin(version, GroupShape.of(1, 1, this.ranks, 1));
		long step = Math.max(engine(state, 0).nextStep() + 1, Math.min(LAST_STEP - 1, 2 + balancer));
		return react(state, balancer, new BalancerInput.Start(engine(state, 0).mapVersion(), map, step));
	}

	MapSwitchBalancer.Phase phase(GroupState state, int balancer) {
		return this.balancerStates.value(state.balancers[balancer]).volatileState().phase();
	}

	EngineState engine(GroupState state, int rank) {
		return this.engines.value(state.engines[rank]);
	}

	boolean mayBeginStep(GroupState state, int rank) {
		EngineState own = engine(state, rank);
		for (int peer = 0; peer < this.ranks; peer++) {
			if (state.engines[peer] == DOWN) {
				return false;
			}
			EngineState other = engine(state, peer);
			if (other.incarnation() != own.incarnation() || other.nextStep() < own.nextStep()) {
				return false;
			}
		}
		return !this.rules.stopped(own);
	}

	GroupState beginStep(GroupState state, int rank) {
		EngineState begunState = engine(state, rank).afterStepBegin();
		state.engines[rank] = this.engines.id(begunState);
		for (int peer = 0; peer < this.ranks; peer++) {
			EngineState other = engine(state, peer);
			if (other.nextStep() == begunState.nextStep() && other.mapVersion() != begunState.mapVersion()) {
				state.violation = Optional
					.of("step " + other.nextStep() + " on two maps: " + begunState + " and " + other);
			}
		}
		return state;
	}

	GroupState reform(GroupState state) {
		state.store = state.store.clone();
		state.store[0]++;
		state.broken = false;
		return state;
	}

	boolean mayJoin(GroupState state, int rank) {
		return state.store[0] > 1
				&& (state.engines[rank] == DOWN || engine(state, rank).incarnation() < state.store[0]);
	}

	GroupState join(GroupState state, int rank) {
		int fence = 0;
		for (int balancer = 0; balancer < this.balancers; balancer++) {
			fence = (state.balancers[balancer] != DOWN) ? balancer + 1 : fence;
		}
		state.engines[rank] = this.engines.id(EngineState.ofStart(state.store[0], fence, state.store[1]));
		state.sidecars[rank] = this.sidecars.id(MapSwitchRank.VolatileState.EMPTY);
		state.seenFence[rank] = 0;
		return state;
	}

	GroupState restart(GroupState state, int rank) {
		state.sidecars[rank] = this.sidecars.id(MapSwitchRank.VolatileState.EMPTY);
		return react(state, rank, new RankInput.Started());
	}

	void deliver(GroupState state, int id, List<GroupState> successors) {
		Envelope envelope = this.envelopes.value(id);
		if (envelope.to() == STORE_ADDRESS) {
			successors.add(record(state, (StoreWrite) envelope.body()));
		}
		else if (envelope.to() > BALANCER_ADDRESS_BASE) {
			int balancer = envelope.to() - BALANCER_ADDRESS_BASE - 1;
			if (balancer < this.balancers && state.balancers[balancer] != DOWN) {
				successors.add(react(state, balancer, new BalancerInput.Received((SwitchMessage) envelope.body())));
			}
		}
		else if (state.engines[envelope.to()] != DOWN) {
			successors.add(deliver(state, envelope.to(), (SwitchMessage) envelope.body()));
		}
	}

	private GroupState record(GroupState state, StoreWrite write) {
		int fence = (int) write.change().attempt().fence();
		int number = write.change().attempt().number();
		boolean newer = fence > state.store[2] || fence == state.store[2] && number > state.store[3];
		if (write.incarnation() == state.store[0] && newer) {
			state.store = new int[] { state.store[0], (int) write.change().toVersion(), fence, number };
		}
		return state;
	}

	GroupState deliver(GroupState state, int rank, SwitchMessage message) {
		EngineState before = engine(state, rank);
		boolean mayChangeState = message instanceof SwitchMessage.Prepare || message instanceof SwitchMessage.Commit;
		boolean sameIncarnation = message.incarnation() == before.incarnation();
		boolean stale = sameIncarnation && mayChangeState && message.attempt().fence() < state.seenFence[rank];
		if (sameIncarnation && message instanceof SwitchMessage.Prepare) {
			state.seenFence[rank] = Math.max(state.seenFence[rank], (int) message.attempt().fence());
		}
		react(state, rank, new RankInput.Received(message));
		if (stale && !engine(state, rank).equals(before)) {
			state.violation = Optional.of("stale " + message + " changed " + before);
		}
		return state;
	}

	GroupState react(GroupState state, int rank, RankInput input) {
		List<Integer> key = List.of(rank, state.engines[rank], state.sidecars[rank], this.inputs.id(input));
		Reaction reaction = this.reactions.computeIfAbsent(key, (unused) -> reaction(state, rank, input));
		boolean armed = engine(state, rank).armed().isPresent();
		state.engines[rank] = reaction.engine();
		state.sidecars[rank] = reaction.sidecar();
		for (int id : reaction.sent()) {
			state.sentMessages.set(id);
		}
		Optional<MapSwitch> armedStop = engine(state, rank).armed();
		if (!armed && armedStop.isPresent() && armedStop.get().attempt().fence() < state.seenFence[rank]) {
			state.violation = Optional.of("stale balancer armed " + armedStop.get());
		}
		return state;
	}

	private Reaction reaction(GroupState state, int rank, RankInput input) {
		EngineState[] stored = { engine(state, rank) };
		RankEngine engine = (order) -> {
			EngineState before = stored[0];
			stored[0] = this.rules.stored(before, order);
			return Optional.of(this.rules.reported(before, order));
		};
		MapSwitchRank machine = MapSwitchRank.of(rank, this.ranks, engine, this.sidecars.value(state.sidecars[rank]));
		List<Integer> sent = new ArrayList<>();
		for (RankOutput output : machine.on(input)) {
			collectMessages(output, sent);
			if (this.instantLoad && output instanceof RankOutput.LoadWeights load) {
				machine.on(new RankInput.WeightsLoaded(load.change())).forEach((more) -> collectMessages(more, sent));
			}
		}
		return new Reaction(this.engines.id(stored[0]), this.sidecars.id(machine.volatileState()),
				sent.stream().mapToInt(Integer::intValue).toArray());
	}

	private void collectMessages(RankOutput output, List<Integer> sent) {
		if (output instanceof RankOutput.ToRank toRank) {
			sent.add(this.envelopes.id(new Envelope(toRank.rank(), toRank.message())));
		}
		else if (output instanceof RankOutput.ToBalancer toBalancer) {
			sent.add(this.envelopes
				.id(new Envelope(BALANCER_ADDRESS_BASE + (int) toBalancer.fence(), toBalancer.message())));
		}
	}

	GroupState react(GroupState state, int balancer, BalancerInput input) {
		BalancerState before = this.balancerStates.value(state.balancers[balancer]);
		MapSwitchBalancer machine = MapSwitchBalancer.of(this.ranks, before.incarnation(), balancer + 1,
				before.volatileState());
		for (BalancerOutput output : machine.on(input)) {
			if (output instanceof BalancerOutput.ToRank toRank) {
				state.sentMessages.set(this.envelopes.id(new Envelope(toRank.rank(), toRank.message())));
			}
			else if (output instanceof BalancerOutput.Settled settled && settled.committed()) {
				state.sentMessages.set(this.envelopes
					.id(new Envelope(STORE_ADDRESS, new StoreWrite(before.incarnation(), settled.change()))));
			}
		}
		state.balancers[balancer] = this.balancerStates
			.id(new BalancerState(before.incarnation(), machine.volatileState()));
		return state;
	}

	String describe(GroupState state) {
		StringBuilder text = new StringBuilder();
		for (int rank = 0; rank < this.ranks; rank++) {
			text.append("\n rank ").append(rank).append(": ");
			text.append((state.engines[rank] != DOWN) ? engine(state, rank) : "down");
			text.append(' ').append(this.sidecars.value(state.sidecars[rank]));
		}
		for (GroupState at = state; at != null; at = at.parent) {
			text.append("\n after ").append(describeEvent(at.lastEvent));
		}
		return text.toString();
	}

	private String describeEvent(String event) {
		if (event.startsWith("deliver ")) {
			return "deliver " + this.envelopes.value(Integer.parseInt(event.substring("deliver ".length())));
		}
		return event;
	}

	/** The effect of an input on a rank: its new state and the messages it sends. */
	private record Reaction(int engine, int sidecar, int[] sent) {
	}

	/** A message and its destination. */
	private record Envelope(int to, Object body) {
	}

	/** A conditional write of a committed map to the store, in flight. */
	private record StoreWrite(long incarnation, MapSwitch change) {
	}

	/** A balancer's volatile state and the incarnation that it serves. */
	private record BalancerState(long incarnation, MapSwitchBalancer.VolatileState volatileState) {
	}

}
