package io.bulrushrouter.gateway.source;

import java.net.InetSocketAddress;

/**
 * An upstream as registered in the store.
 *
 * @param id the upstream's identifier, which usually changes when it restarts
 * @param service the name of the service that it belongs to
 * @param address the address on which it listens
 * @param dataCentre the data centre in which it runs
 * @param slots the number of requests that it runs concurrently
 * @param leaving whether it is draining and must get no new requests
 * @param incarnation the start of this incarnation as it states it, which tells it from
 * an earlier one under the same identifier; {@link #UNKNOWN_INCARNATION} if it states
 * none
 * @param coldMillis how long it stays cold from the time of its registration, in
 * milliseconds; 0 if it is warm
 */
public record UpstreamRecord(String id, String service, InetSocketAddress address, String dataCentre, int slots,
		boolean leaving, long incarnation, long coldMillis) {

	/** The start of an incarnation that an upstream does not state. */
	public static final long UNKNOWN_INCARNATION = 0;

	/**
	 * Creates a warm upstream.
	 * @param id the upstream's identifier
	 * @param service the name of its service
	 * @param address the address on which it listens
	 * @param dataCentre the data centre in which it runs
	 * @param slots the number of requests that it runs concurrently
	 * @param leaving whether it is draining
	 * @param incarnation the start of this incarnation
	 */
	public UpstreamRecord(String id, String service, InetSocketAddress address, String dataCentre, int slots,
			boolean leaving, long incarnation) {
		this(id, service, address, dataCentre, slots, leaving, incarnation, 0);
	}

	/**
	 * Returns this upstream as one that is leaving.
	 * @return the same upstream, leaving
	 */
	public UpstreamRecord asLeaving() {
		return new UpstreamRecord(this.id, this.service, this.address, this.dataCentre, this.slots, true,
				this.incarnation, this.coldMillis);
	}

}
