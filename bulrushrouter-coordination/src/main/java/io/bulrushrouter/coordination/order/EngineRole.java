package io.bulrushrouter.coordination.order;

/**
 * What an engine does for its models.
 */
public enum EngineRole {

	/** Prefill and decoding. */
	GENERAL,

	/** Prefill only; it exports the KV cache. */
	PREFILL,

	/** Decoding only; it imports the KV cache. */
	DECODE

}
