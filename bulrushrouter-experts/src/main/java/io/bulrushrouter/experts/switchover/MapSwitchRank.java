package io.bulrushrouter.experts.switchover;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;

/**
 * The part of the map switch that runs in the sidecar of one rank. It keeps nothing that
 * a restart may not lose: promises, vows and switches are at the engine before a word of
 * them is sent. Confined to one thread.
 */
public final class MapSwitchRank {

	private static final EngineOrder READ = new EngineOrder.Read();

	private final int rank;

	private final int ranks;

	private final RankEngine engine;

	private Memory memory;

	private MapSwitchRank(int rank, int ranks, RankEngine engine, Memory memory) {
		this.rank = rank;
		this.ranks = ranks;
		this.engine = engine;
		this.memory = memory;
	}

	/**
	 * Returns the state machine of a sidecar that has just started. Give it
	 * {@link RankInput.Started} first.
	 * @param rank the rank, from 0
	 * @param ranks the number of ranks of the group
	 * @param engine the engine of the rank
	 * @return the state machine
	 */
	public static MapSwitchRank of(int rank, int ranks, RankEngine engine) {
		return of(rank, ranks, engine, Memory.EMPTY);
	}

	static MapSwitchRank of(int rank, int ranks, RankEngine engine, Memory memory) {
		return new MapSwitchRank(rank, ranks, engine, memory);
	}

	Memory memory() {
		return this.memory;
	}

	/**
	 * Reacts to an input.
	 * @param input the input
	 * @return what to do, in order
	 */
	public List<RankOutput> on(RankInput input) {
		List<RankOutput> out = new ArrayList<>();
		if (input instanceof RankInput.Received received) {
			receive(received.message(), out);
		}
		else if (input instanceof RankInput.Loaded loaded) {
			promise(loaded.change(), out);
		}
		else if (input instanceof RankInput.Started) {
			apply(READ).flatMap(EngineState::armed).ifPresent((change) -> ask(change.attempt(), out));
		}
		else {
			apply(READ).filter(this::needsOutcome)
				.flatMap(EngineState::armed)
				.ifPresent((change) -> ask(change.attempt(), out));
		}
		return out;
	}

	private boolean needsOutcome(EngineState state) {
		return state.stopped() || state.armed().filter((change) -> state.vowedOn(change.attempt())).isPresent();
	}

	private void receive(SwitchMessage message, List<RankOutput> out) {
		Optional<EngineState> state = apply(READ);
		if (state.isEmpty() || state.get().incarnation() != message.incarnation()) {
			return;
		}
		if (message instanceof SwitchMessage.Prepare prepare) {
			prepare(prepare, out);
		}
		else if (message instanceof SwitchMessage.Commit commit) {
			commit(commit.attempt(), out);
		}
		else if (message instanceof SwitchMessage.Abort abort) {
			abort(abort.attempt(), out);
		}
		else if (message instanceof SwitchMessage.Ask ask) {
			answer(ask, out);
		}
		else if (message instanceof SwitchMessage.Answer answer) {
			hear(answer.attempt(), answer.rank(), answer.committed(), out);
		}
	}

	private void prepare(SwitchMessage.Prepare prepare, List<RankOutput> out) {
		MapSwitch change = prepare.change();
		Optional<EngineState> state = apply(new EngineOrder.Fence(change.attempt().fence()));
		if (state.isEmpty()) {
			return;
		}
		Optional<RefusalReason> reason = refusal(state.get(), change);
		if (state.get().committed(change.attempt())) {
			sayCommitted(state.get(), change.attempt(), out);
		}
		else if (reason.isPresent()) {
			refuse(state.get(), change.attempt(), reason.get(), out);
			askIfOvertaken(state.get(), change.attempt(), out);
		}
		else if (state.get().armed(change.attempt())) {
			sayPromise(state.get(), change.attempt(), out);
		}
		else if (!this.memory.loading(change)) {
			this.memory = this.memory.withLoading(Optional.of(change));
			out.add(new RankOutput.Load(change, prepare.map()));
		}
	}

	private Optional<RefusalReason> refusal(EngineState state, MapSwitch change) {
		Attempt attempt = change.attempt();
		if (attempt.fence() < state.fence()) {
			return Optional.of(RefusalReason.STALE_FENCE);
		}
		if (state.vowedOn(attempt)) {
			return Optional.of(RefusalReason.VOWED);
		}
		if (state.armed(attempt)) {
			return Optional.empty();
		}
		if (state.armed().isPresent() || state.pending()) {
			return Optional.of(RefusalReason.BUSY);
		}
		if (state.mapVersion() != change.fromVersion()) {
			return Optional.of(RefusalReason.OTHER_MAP);
		}
		return (change.step() <= state.nextStep()) ? Optional.of(RefusalReason.TOO_LATE) : Optional.empty();
	}

	private void askIfOvertaken(EngineState state, Attempt newer, List<RankOutput> out) {
		state.armed()
			.map(MapSwitch::attempt)
			.filter((undecided) -> undecided.compareTo(newer) < 0)
			.ifPresent((undecided) -> ask(undecided, out));
	}

	private void promise(MapSwitch change, List<RankOutput> out) {
		if (!this.memory.loading(change)) {
			return;
		}
		this.memory = this.memory.withLoading(Optional.empty());
		Optional<EngineState> state = apply(new EngineOrder.ArmStop(change));
		if (state.isEmpty()) {
			return;
		}
		if (state.get().armed(change.attempt())) {
			sayPromise(state.get(), change.attempt(), out);
			return;
		}
		RefusalReason reason = refusal(state.get(), change).orElse(RefusalReason.BUSY);
		refuse(state.get(), change.attempt(), reason, out);
	}

	private void commit(Attempt attempt, List<RankOutput> out) {
		Optional<EngineState> state = apply(new EngineOrder.ArmSwitch(attempt, EngineOrder.Evidence.BALANCER));
		if (state.isEmpty()) {
			return;
		}
		if (state.get().committed(attempt)) {
			decided(attempt, true, out);
			sayCommitted(state.get(), attempt, out);
			return;
		}
		boolean vowed = state.get().vowedOn(attempt);
		refuse(state.get(), attempt, vowed ? RefusalReason.VOWED : RefusalReason.NOT_ARMED, out);
	}

	private void abort(Attempt attempt, List<RankOutput> out) {
		Optional<EngineState> state = apply(new EngineOrder.Vow(attempt));
		if (state.isEmpty() || !state.get().vowedOn(attempt)) {
			return;
		}
		if (state.get().armed(attempt)) {
			release(attempt, out);
		}
		else {
			this.memory = this.memory.without(attempt);
		}
	}

	private void answer(SwitchMessage.Ask ask, List<RankOutput> out) {
		Attempt attempt = ask.attempt();
		Optional<EngineState> state = apply(new EngineOrder.Vow(attempt));
		if (state.isEmpty()) {
			return;
		}
		boolean committed = state.get().committed(attempt);
		if (committed || state.get().vowedOn(attempt)) {
			out.add(new RankOutput.ToRank(ask.rank(),
					new SwitchMessage.Answer(state.get().incarnation(), attempt, this.rank, committed)));
		}
		if (state.get().armed(attempt)) {
			hear(attempt, ask.rank(), false, out);
		}
	}

	private void ask(Attempt attempt, List<RankOutput> out) {
		Optional<EngineState> state = apply(new EngineOrder.Vow(attempt));
		if (state.isEmpty() || !state.get().vowedOn(attempt) || !state.get().armed(attempt)) {
			return;
		}
		BitSet known = this.memory.vowedPeers(attempt);
		if (settleIfAllVowed(attempt, known, out)) {
			return;
		}
		SwitchMessage message = new SwitchMessage.Ask(state.get().incarnation(), attempt, this.rank);
		for (int peer = 0; peer < this.ranks; peer++) {
			if (peer != this.rank && !known.get(peer)) {
				out.add(new RankOutput.ToRank(peer, message));
			}
		}
	}

	private void hear(Attempt attempt, int peer, boolean committed, List<RankOutput> out) {
		if (committed) {
			apply(new EngineOrder.ArmSwitch(attempt, EngineOrder.Evidence.PEER))
				.filter((state) -> state.committed(attempt))
				.ifPresent((state) -> decided(attempt, true, out));
			return;
		}
		if (apply(READ).filter((state) -> state.armed(attempt)).isEmpty()) {
			return;
		}
		this.memory = this.memory.withVowed(attempt, peer);
		settleIfAllVowed(attempt, this.memory.vowedPeers(attempt), out);
	}

	private boolean settleIfAllVowed(Attempt attempt, BitSet vowedPeers, List<RankOutput> out) {
		if (vowedPeers.cardinality() < this.ranks - 1) {
			return false;
		}
		abort(attempt, out);
		return true;
	}

	private void release(Attempt attempt, List<RankOutput> out) {
		apply(new EngineOrder.Release(attempt)).filter((state) -> !state.armed(attempt))
			.ifPresent((state) -> decided(attempt, false, out));
	}

	private void decided(Attempt attempt, boolean committed, List<RankOutput> out) {
		this.memory = this.memory.without(attempt);
		out.add(new RankOutput.Decided(attempt, committed));
	}

	private void sayPromise(EngineState state, Attempt attempt, List<RankOutput> out) {
		out.add(new RankOutput.ToBalancer(attempt.fence(),
				new SwitchMessage.Promise(state.incarnation(), attempt, this.rank)));
	}

	private void sayCommitted(EngineState state, Attempt attempt, List<RankOutput> out) {
		out.add(new RankOutput.ToBalancer(attempt.fence(),
				new SwitchMessage.Committed(state.incarnation(), attempt, this.rank)));
	}

	private void refuse(EngineState state, Attempt attempt, RefusalReason reason, List<RankOutput> out) {
		out.add(new RankOutput.ToBalancer(attempt.fence(),
				new SwitchMessage.Refusal(state.incarnation(), attempt, this.rank, reason, state.fence())));
	}

	private Optional<EngineState> apply(EngineOrder order) {
		return this.engine.apply(order);
	}

	/**
	 * What a sidecar remembers between inputs and may lose.
	 *
	 * @param loading the change whose weights are being loaded
	 * @param asked the attempt whose outcome is asked for
	 * @param vowed the peers known to have vowed on it
	 */
	record Memory(Optional<MapSwitch> loading, Attempt asked, BitSet vowed) {

		static final Memory EMPTY = new Memory(Optional.empty(), Attempt.NONE, new BitSet());

		boolean loading(MapSwitch change) {
			return this.loading.isPresent() && this.loading.get().equals(change);
		}

		Memory withLoading(Optional<MapSwitch> change) {
			return new Memory(change, this.asked, this.vowed);
		}

		Memory without(Attempt attempt) {
			Optional<MapSwitch> other = this.loading.filter((change) -> !change.attempt().equals(attempt));
			return this.asked.equals(attempt) ? new Memory(other, Attempt.NONE, new BitSet())
					: new Memory(other, this.asked, this.vowed);
		}

		BitSet vowedPeers(Attempt attempt) {
			return this.asked.equals(attempt) ? this.vowed : new BitSet();
		}

		Memory withVowed(Attempt attempt, int peer) {
			BitSet peers = (BitSet) vowedPeers(attempt).clone();
			peers.set(peer);
			return new Memory(this.loading, attempt, peers);
		}

	}

}
