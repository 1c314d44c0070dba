package io.bulrushrouter.gateway.source;

import java.net.InetSocketAddress;

/**
 * What the store's list says of an upstream.
 *
 * @param id the upstream's identifier, new at most of its starts
 * @param service the service that it belongs to
 * @param address where it listens
 * @param dataCentre the data centre that it is in
 * @param slots the requests that it runs at once
 * @param leaving whether it must get nothing new
 */
public record UpstreamRecord(String id, String service, InetSocketAddress address, String dataCentre, int slots,
		boolean leaving) {
}
