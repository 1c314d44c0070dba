package io.bulrushrouter.bench.capacity;

/**
 * The deployment sizes and resource limits that the users have set.
 */
final class TargetSize {

	static final int ENTRIES = 400;

	static final int SIDECARS = 600;

	static final int PROCESSES = ENTRIES + SIDECARS;

	static final int DATA_CENTRES = 11;

	static final int ORGANISATIONS = 1_600;

	static final int MODELS = 34;

	/** Models that each organisation uses. */
	static final int MODELS_PER_ORGANISATION = 3;

	static final int RANKS = 256;

	static final int EXPERTS = 256;

	static final int LAYERS = 58;

	static final int SLOTS_PER_RANK = 2;

	static final int REQUESTS_PER_SECOND = 2_100;

	static final int TOKENS_PER_SECOND = 450_000;

	static final int CHANGES_PER_DAY = 1_400;

	static final int SECONDS_PER_DAY = 86_400;

	/** Maximum control traffic of a node, in bytes a second. */
	static final double MAX_CONTROL_BYTES_PER_SECOND = 10_000;

	/** Maximum share of a core for control work on a node. */
	static final double MAX_CONTROL_CORES = 0.012;

	/** Maximum memory for control state on a node, in bytes. */
	static final double MAX_CONTROL_MEMORY_BYTES = 64e6;

	/** Maximum platform reads a second. */
	static final double MAX_PLATFORM_READS_PER_SECOND = 2_000;

	/** Maximum platform writes a second. */
	static final double MAX_PLATFORM_WRITES_PER_SECOND = 300;

	/** Maximum size of a value that the platform stores, in bytes. */
	static final double MAX_PLATFORM_VALUE_BYTES = 1_000_000;

	private TargetSize() {
	}

}
