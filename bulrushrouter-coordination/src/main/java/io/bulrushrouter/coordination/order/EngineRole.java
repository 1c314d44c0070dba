package io.bulrushrouter.coordination.order;

/**
 * The phases of inference that an engine runs.
 */
public enum EngineRole {

	/** Prefill and decoding. */
	GENERAL,

	/** Prefill only; it exports the KV cache. */
	PREFILL,

	/** Decoding only; it imports the KV cache. */
	DECODE

}
