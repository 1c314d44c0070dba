package io.bulrushrouter.experts.switchover;

/**
 * How the engines of an explored group obey: as they should, or with one guard removed.
 */
enum EngineRules {

	/** All guards are there. */
	WHOLE {
	},

	/** The engine says that it vowed, but does not keep the vow. */
	NO_VOW {
		@Override
		EngineState stored(EngineState state, EngineOrder order) {
			return withVow(super.stored(state, order), state.vowed());
		}

		@Override
		EngineState answered(EngineState state, EngineOrder order) {
			if (order instanceof EngineOrder.Vow || order instanceof EngineOrder.Fence) {
				return state.after(order);
			}
			return stored(state, order);
		}
	},

	/** The engine does not keep the highest fencing number. */
	NO_FENCE {
		@Override
		EngineState stored(EngineState state, EngineOrder order) {
			if (order instanceof EngineOrder.Fence) {
				return state;
			}
			EngineState after = state.after(order);
			return new EngineState(after.incarnation(), 0, after.vowed(), after.armed(), after.committed(),
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
			return state.after(new EngineOrder.Vow(release.attempt())).after(order);
		}
		return state.after(order);
	}

	EngineState answered(EngineState state, EngineOrder order) {
		return stored(state, order);
	}

	boolean stopped(EngineState state) {
		return state.stopped();
	}

	private static EngineState withVow(EngineState state, Attempt vow) {
		return new EngineState(state.incarnation(), state.fence(), vow, state.armed(), state.committed(),
				state.mapVersion(), state.nextStep());
	}

}
