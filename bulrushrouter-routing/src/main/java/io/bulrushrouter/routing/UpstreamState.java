package io.bulrushrouter.routing;

/**
 * Whether an upstream may get new requests.
 */
public enum UpstreamState {

	/** It may get new requests. */
	LIVE,

	/** It is being drained and gets no new requests. */
	LEAVING,

	/** It is ejected after failures and gets no new requests until the ejection ends. */
	EJECTED

}
