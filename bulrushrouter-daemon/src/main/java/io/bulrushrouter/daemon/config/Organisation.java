package io.bulrushrouter.daemon.config;

import java.util.List;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * An organisation whose callers may send requests.
 *
 * @param name its name
 * @param keySha256 the SHA-256 of its callers' key, in hexadecimal
 * @param weight its share of the upstreams against other organisations
 * @param tokensPerSecond the most tokens a second over all entries; 0 for no limit
 * @param demands what it needs at its peak
 */
public record Organisation(String name, String keySha256, double weight, long tokensPerSecond,
		List<ModelDemand> demands) {

	/**
	 * Keeps its own copies.
	 */
	public Organisation {
		demands = (demands != null) ? List.copyOf(demands) : List.of();
	}

	void validate() {
		OrganisationId.of(this.name);
		ApiKeys.requireValidHash(this.name, this.keySha256);
		if (this.weight <= 0 || this.tokensPerSecond < 0) {
			throw new BulrushException(ErrorCode.BAD_CONFIGURATION,
					"organisation " + this.name + ": weight must be above 0 and limit not below 0");
		}
	}

	/**
	 * Returns the organisation's identifier.
	 * @return the identifier
	 */
	public OrganisationId id() {
		return OrganisationId.of(this.name);
	}

}
