package io.bulrushrouter.daemon.config;

import java.net.InetSocketAddress;
import java.util.List;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * An upstream and the address of its sidecar.
 *
 * @param name its name
 * @param serves the models or the plain service that it serves
 * @param dataCentre the data centre that it runs in
 * @param address its sidecar's address, {@code IP:port}
 * @param service whether it is a plain service instead of a model engine
 * @param group the rank group that it is part of; empty if there is none
 * @param capacity the maximum number of concurrent requests
 */
public record Upstream(String name, List<String> serves, String dataCentre, String address, boolean service,
		String group, int capacity) {

	private static final int MAX_PORT = 65_535;

	/**
	 * Creates an upstream with an unmodifiable copy of its models; a missing list or
	 * group becomes empty.
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
			throw new BulrushException(ErrorCode.BAD_CONFIGURATION,
					"upstream " + this.name + " serves no model or service");
		}
		socketAddress();
		if (this.capacity < 1) {
			throw new BulrushException(ErrorCode.BAD_CONFIGURATION,
					"upstream " + this.name + " must have a capacity of at least 1");
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
	 * Returns the identifiers of the models or plain service that it serves.
	 * @return the identifiers
	 */
	public List<ModelId> models() {
		return this.serves.stream().map(ModelId::of).toList();
	}

	/**
	 * Returns the sidecar's address.
	 * @return the address
	 * @throws BulrushException with {@link ErrorCode#BAD_CONFIGURATION} if the address is
	 * not {@code IP:port}
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
				"upstream " + this.name + " has the invalid address " + this.address);
	}

}
