package io.bulrushrouter.routing;

/**
 * Whether an upstream may be given new requests.
 */
public enum UpstreamState {

	/** It may. */
	LIVE,

	/** It is leaving and gets no new request. */
	LEAVING,

	/** It failed too often and gets no new request for a while. */
	EJECTED

}
