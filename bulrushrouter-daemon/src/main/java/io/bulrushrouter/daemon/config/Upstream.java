package io.bulrushrouter.daemon.config;

import java.net.InetSocketAddress;
import java.util.List;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * An upstream and where its sidecar listens.
 *
 * @param name its name
 * @param serves the models, or the plain service, that it answers for
 * @param dataCentre where it is
 * @param address its sidecar's address, {@code IP:port}
 * @param service whether it is a plain service
 * @param group the rank group that it fronts; empty if it is none
 * @param capacity how many requests it can run at once
 */
public record Upstream(String name, List<String> serves, String dataCentre, String address, boolean service,
		String group, int capacity) {

	private static final int MAX_PORT = 65_535;

	/**
	 * Keeps its own copies.
	 */
	public Upstream {
		serves = (serves != null) ? List.copyOf(serves) : List.of();
		group = (group != null) ? group : "";
	}

	void validate() {
		UpstreamId.of(this.name);
		DataCentreId.of(this.dataCentre);
		this.serves.forEach(ModelId::of);
		if (this.serves.isEmpty()) {
			throw new BulrushException(ErrorCode.BAD_CONFIGURATION, "upstream " + this.name + " serves nothing");
		}
		socketAddress();
		if (this.capacity < 1) {
			throw new BulrushException(ErrorCode.BAD_CONFIGURATION, "upstream " + this.name + " has no capacity");
		}
	}

	/**
	 * Returns the upstream's identifier.
	 * @return the identifier
	 */
	public UpstreamId id() {
		return UpstreamId.of(this.name);
	}

	/**
	 * Returns the models as identifiers.
	 * @return the models
	 */
	public List<ModelId> models() {
		return this.serves.stream().map(ModelId::of).toList();
	}

	/**
	 * Returns the sidecar's address.
	 * @return the address
	 */
	public InetSocketAddress socketAddress() {
		int colon = (this.address != null) ? this.address.lastIndexOf(':') : -1;
		try {
			int port = Integer.parseInt(this.address.substring(colon + 1));
			if (colon > 0 && port > 0 && port <= MAX_PORT) {
				return new InetSocketAddress(this.address.substring(0, colon), port);
			}
		}
		catch (NumberFormatException | NullPointerException ex) {
			throw badAddress();
		}
		throw badAddress();
	}

	private BulrushException badAddress() {
		return new BulrushException(ErrorCode.BAD_CONFIGURATION,
				"upstream " + this.name + " has the bad address " + this.address);
	}

}
