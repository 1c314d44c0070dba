package io.bulrushrouter.experts.switchover;

/**
 * How the engines of a {@link GroupModel} apply orders: by all rules, or with one guard
 * removed, to show that the search finds the violation that the guard prevents.
 */
enum EngineRules {

	/** All guards are in place. */
	ALL_GUARDS {
	},

	/** The engine reports that it blocks a commit, but does not store that. */
	NO_COMMIT_BLOCK {
		@Override
		EngineState stored(EngineState state, EngineOrder order) {
			return withBlockedUpTo(super.stored(state, order), state.blockedUpTo());
		}

		@Override
		EngineState reported(EngineState state, EngineOrder order) {
			if (order instanceof EngineOrder.BlockCommit || order instanceof EngineOrder.Fence) {
				return state.after(order);
			}
			return stored(state, order);
		}
	},

	/** The engine does not store the highest fencing token. */
	NO_FENCE {
		@Override
		EngineState stored(EngineState state, EngineOrder order) {
			if (order instanceof EngineOrder.Fence) {
				return state;
			}
			EngineState after = state.after(order);
			return new EngineState(after.incarnation(), 0, after.blockedUpTo(), after.armed(), after.committed(),
					after.mapVersion(), after.nextStep());
		}
	},

	/** The engine does not stop at an armed stop. */
	NO_ARMED_STOP {
		@Override
		boolean stopped(EngineState state) {
			return false;
		}
	};

	EngineState stored(EngineState state, EngineOrder order) {
		if (order instanceof EngineOrder.Release release) {
			return state.after(new EngineOrder.BlockCommit(release.attempt())).after(order);
		}
		return state.after(order);
	}

	EngineState reported(EngineState state, EngineOrder order) {
		return stored(state, order);
	}

	boolean stopped(EngineState state) {
		return state.stopped();
	}

	private static EngineState withBlockedUpTo(EngineState state, Attempt blockedUpTo) {
		return new EngineState(state.incarnation(), state.fence(), blockedUpTo, state.armed(), state.committed(),
				state.mapVersion(), state.nextStep());
	}

}
