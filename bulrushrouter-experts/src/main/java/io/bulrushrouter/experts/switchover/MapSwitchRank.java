package io.bulrushrouter.experts.switchover;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;

/**
 * The participant of the map switch, run by the sidecar of one rank. All durable state is
 * at the engine: a promise, a commit or the blocking of a commit is applied there before
 * a message about it is sent, so a restart of the sidecar loses nothing that was
 * announced. Not thread-safe.
 */
public final class MapSwitchRank {

	private static final EngineOrder READ = new EngineOrder.Read();

	private final int rank;

	private final int ranks;

	private final RankEngine engine;

	private VolatileState volatileState;

	private MapSwitchRank(int rank, int ranks, RankEngine engine, VolatileState volatileState) {
		this.rank = rank;
		this.ranks = ranks;
		this.engine = engine;
		this.volatileState = volatileState;
	}

	/**
	 * Returns the state machine of a sidecar that has just started. Its first input must
	 * be {@link RankInput.Started}.
	 * @param rank the rank, from 0
	 * @param ranks the number of ranks of the group
	 * @param engine the engine of the rank
	 * @return the state machine
	 */
	public static MapSwitchRank of(int rank, int ranks, RankEngine engine) {
		return of(rank, ranks, engine, VolatileState.EMPTY);
	}

	static MapSwitchRank of(int rank, int ranks, RankEngine engine, VolatileState volatileState) {
		return new MapSwitchRank(rank, ranks, engine, volatileState);
	}

	VolatileState volatileState() {
		return this.volatileState;
	}

	/**
	 * Handles an input.
	 * @param input the input
	 * @return the actions to take, in order
	 */
	public List<RankOutput> on(RankInput input) {
		List<RankOutput> out = new ArrayList<>();
		if (input instanceof RankInput.Received received) {
			handleMessage(received.message(), out);
		}
		else if (input instanceof RankInput.WeightsLoaded loaded) {
			handleWeightsLoaded(loaded.change(), out);
		}
		else if (input instanceof RankInput.Started) {
			apply(READ).flatMap(EngineState::armed).ifPresent((change) -> requestOutcome(change.attempt(), out));
		}
		else {
			apply(READ).filter(this::needsOutcome)
				.flatMap(EngineState::armed)
				.ifPresent((change) -> requestOutcome(change.attempt(), out));
		}
		return out;
	}

	private boolean needsOutcome(EngineState state) {
		return state.stopped() || state.armed().filter((change) -> state.blocksCommitOf(change.attempt())).isPresent();
	}

	private void handleMessage(SwitchMessage message, List<RankOutput> out) {
		Optional<EngineState> state = apply(READ);
		if (state.isEmpty() || state.get().incarnation() != message.incarnation()) {
			return;
		}
		if (message instanceof SwitchMessage.Prepare prepare) {
			handlePrepare(prepare, out);
		}
		else if (message instanceof SwitchMessage.Commit commit) {
			handleCommit(commit.attempt(), out);
		}
		else if (message instanceof SwitchMessage.Abort abort) {
			abort(abort.attempt(), out);
		}
		else if (message instanceof SwitchMessage.OutcomeRequest request) {
			handleOutcomeRequest(request, out);
		}
		else if (message instanceof SwitchMessage.OutcomeResponse response) {
			recordOutcome(response.attempt(), response.rank(), response.committed(), out);
		}
	}

	private void handlePrepare(SwitchMessage.Prepare prepare, List<RankOutput> out) {
		MapSwitch change = prepare.change();
		Optional<EngineState> state = apply(new EngineOrder.Fence(change.attempt().fence()));
		if (state.isEmpty()) {
			return;
		}
		Optional<RefusalReason> reason = refusalReason(state.get(), change);
		if (state.get().committed(change.attempt())) {
			sendCommitted(state.get(), change.attempt(), out);
		}
		else if (reason.isPresent()) {
			sendRefusal(state.get(), change.attempt(), reason.get(), out);
			requestOutcomeIfSuperseded(state.get(), change.attempt(), out);
		}
		else if (state.get().armed(change.attempt())) {
			sendPromise(state.get(), change.attempt(), out);
		}
		else if (!this.volatileState.loading(change)) {
			this.volatileState = this.volatileState.withLoading(Optional.of(change));
			out.add(new RankOutput.LoadWeights(change, prepare.map()));
		}
	}

	private Optional<RefusalReason> refusalReason(EngineState state, MapSwitch change) {
		Attempt attempt = change.attempt();
		if (attempt.fence() < state.fence()) {
			return Optional.of(RefusalReason.STALE_FENCE);
		}
		if (state.blocksCommitOf(attempt)) {
			return Optional.of(RefusalReason.COMMIT_BLOCKED);
		}
		if (state.armed(attempt)) {
			return Optional.empty();
		}
		if (state.armed().isPresent() || state.pending()) {
			return Optional.of(RefusalReason.BUSY);
		}
		if (state.mapVersion() != change.fromVersion()) {
			return Optional.of(RefusalReason.MAP_VERSION_MISMATCH);
		}
		return (change.step() <= state.nextStep()) ? Optional.of(RefusalReason.TOO_LATE) : Optional.empty();
	}

	private void requestOutcomeIfSuperseded(EngineState state, Attempt newer, List<RankOutput> out) {
		state.armed()
			.map(MapSwitch::attempt)
			.filter((undecided) -> undecided.compareTo(newer) < 0)
			.ifPresent((undecided) -> requestOutcome(undecided, out));
	}

	private void handleWeightsLoaded(MapSwitch change, List<RankOutput> out) {
		if (!this.volatileState.loading(change)) {
			return;
		}
		this.volatileState = this.volatileState.withLoading(Optional.empty());
		Optional<EngineState> state = apply(new EngineOrder.ArmStop(change));
		if (state.isEmpty()) {
			return;
		}
		if (state.get().armed(change.attempt())) {
			sendPromise(state.get(), change.attempt(), out);
			return;
		}
		RefusalReason reason = refusalReason(state.get(), change).orElse(RefusalReason.BUSY);
		sendRefusal(state.get(), change.attempt(), reason, out);
	}

	private void handleCommit(Attempt attempt, List<RankOutput> out) {
		Optional<EngineState> state = apply(new EngineOrder.ArmSwitch(attempt, EngineOrder.Evidence.BALANCER));
		if (state.isEmpty()) {
			return;
		}
		if (state.get().committed(attempt)) {
			reportDecision(attempt, true, out);
			sendCommitted(state.get(), attempt, out);
			return;
		}
		boolean blocked = state.get().blocksCommitOf(attempt);
		sendRefusal(state.get(), attempt, blocked ? RefusalReason.COMMIT_BLOCKED : RefusalReason.NOT_ARMED, out);
	}

	private void abort(Attempt attempt, List<RankOutput> out) {
		Optional<EngineState> state = apply(new EngineOrder.BlockCommit(attempt));
		if (state.isEmpty() || !state.get().blocksCommitOf(attempt)) {
			return;
		}
		if (state.get().armed(attempt)) {
			releaseStop(attempt, out);
		}
		else {
			this.volatileState = this.volatileState.without(attempt);
		}
	}

	private void handleOutcomeRequest(SwitchMessage.OutcomeRequest request, List<RankOutput> out) {
		Attempt attempt = request.attempt();
		Optional<EngineState> state = apply(new EngineOrder.BlockCommit(attempt));
		if (state.isEmpty()) {
			return;
		}
		boolean committed = state.get().committed(attempt);
		if (committed || state.get().blocksCommitOf(attempt)) {
			out.add(new RankOutput.ToRank(request.rank(),
					new SwitchMessage.OutcomeResponse(state.get().incarnation(), attempt, this.rank, committed)));
		}
		if (state.get().armed(attempt)) {
			recordOutcome(attempt, request.rank(), false, out);
		}
	}

	private void requestOutcome(Attempt attempt, List<RankOutput> out) {
		Optional<EngineState> state = apply(new EngineOrder.BlockCommit(attempt));
		if (state.isEmpty() || !state.get().blocksCommitOf(attempt) || !state.get().armed(attempt)) {
			return;
		}
		BitSet blockedPeers = this.volatileState.blockedPeers(attempt);
		if (abortIfAllBlocked(attempt, blockedPeers, out)) {
			return;
		}
		SwitchMessage message = new SwitchMessage.OutcomeRequest(state.get().incarnation(), attempt, this.rank);
		for (int peer = 0; peer < this.ranks; peer++) {
			if (peer != this.rank && !blockedPeers.get(peer)) {
				out.add(new RankOutput.ToRank(peer, message));
			}
		}
	}

	private void recordOutcome(Attempt attempt, int peer, boolean committed, List<RankOutput> out) {
		if (committed) {
			apply(new EngineOrder.ArmSwitch(attempt, EngineOrder.Evidence.PEER))
				.filter((state) -> state.committed(attempt))
				.ifPresent((state) -> reportDecision(attempt, true, out));
			return;
		}
		if (apply(READ).filter((state) -> state.armed(attempt)).isEmpty()) {
			return;
		}
		this.volatileState = this.volatileState.withBlockedPeer(attempt, peer);
		abortIfAllBlocked(attempt, this.volatileState.blockedPeers(attempt), out);
	}

	private boolean abortIfAllBlocked(Attempt attempt, BitSet blockedPeers, List<RankOutput> out) {
		if (blockedPeers.cardinality() < this.ranks - 1) {
			return false;
		}
		abort(attempt, out);
		return true;
	}

	private void releaseStop(Attempt attempt, List<RankOutput> out) {
		apply(new EngineOrder.Release(attempt)).filter((state) -> !state.armed(attempt))
			.ifPresent((state) -> reportDecision(attempt, false, out));
	}

	private void reportDecision(Attempt attempt, boolean committed, List<RankOutput> out) {
		this.volatileState = this.volatileState.without(attempt);
		out.add(new RankOutput.Decided(attempt, committed));
	}

	private void sendPromise(EngineState state, Attempt attempt, List<RankOutput> out) {
		out.add(new RankOutput.ToBalancer(attempt.fence(),
				new SwitchMessage.Promise(state.incarnation(), attempt, this.rank)));
	}

	private void sendCommitted(EngineState state, Attempt attempt, List<RankOutput> out) {
		out.add(new RankOutput.ToBalancer(attempt.fence(),
				new SwitchMessage.Committed(state.incarnation(), attempt, this.rank)));
	}

	private void sendRefusal(EngineState state, Attempt attempt, RefusalReason reason, List<RankOutput> out) {
		out.add(new RankOutput.ToBalancer(attempt.fence(),
				new SwitchMessage.Refusal(state.incarnation(), attempt, this.rank, reason, state.fence())));
	}

	private Optional<EngineState> apply(EngineOrder order) {
		return this.engine.apply(order);
	}

	/**
	 * The state of a sidecar between inputs; safe to lose on a restart.
	 *
	 * @param loading the change whose weights are being loaded, if any
	 * @param inDoubt the attempt whose outcome is requested from peers
	 * @param blocked the peers known to block the commit of that attempt
	 */
	record VolatileState(Optional<MapSwitch> loading, Attempt inDoubt, BitSet blocked) {

		static final VolatileState EMPTY = new VolatileState(Optional.empty(), Attempt.NONE, new BitSet());

		boolean loading(MapSwitch change) {
			return this.loading.isPresent() && this.loading.get().equals(change);
		}

		VolatileState withLoading(Optional<MapSwitch> change) {
			return new VolatileState(change, this.inDoubt, this.blocked);
		}

		VolatileState without(Attempt attempt) {
			Optional<MapSwitch> other = this.loading.filter((change) -> !change.attempt().equals(attempt));
			return this.inDoubt.equals(attempt) ? new VolatileState(other, Attempt.NONE, new BitSet())
					: new VolatileState(other, this.inDoubt, this.blocked);
		}

		BitSet blockedPeers(Attempt attempt) {
			return this.inDoubt.equals(attempt) ? this.blocked : new BitSet();
		}

		VolatileState withBlockedPeer(Attempt attempt, int peer) {
			BitSet peers = (BitSet) blockedPeers(attempt).clone();
			peers.set(peer);
			return new VolatileState(this.loading, attempt, peers);
		}

	}

}
