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
 * @param weight its fair-share weight relative to other organisations
 * @param tokensPerSecond the limit of tokens per second over all entries; 0 for no limit
 * @param demands its peak demand per model or plain service
 */
public record Organisation(String name, String keySha256, double weight, long tokensPerSecond,
		List<ModelDemand> demands) {

	/**
	 * Creates an organisation with an unmodifiable copy of its demands; a missing list
	 * becomes empty.
	 */
	public Organisation {
		demands = (demands != null) ? List.copyOf(demands) : List.of();
	}

	void validate() {
		OrganisationId.of(this.name);
		ApiKeys.requireValidHash(this.name, this.keySha256);
		if (this.weight <= 0 || this.tokensPerSecond < 0) {
			throw new BulrushException(ErrorCode.BAD_CONFIGURATION,
					"organisation " + this.name + ": weight must be positive and tokensPerSecond must not be negative");
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
