package io.bulrushrouter.daemon.config;

import java.util.List;

/**
 * An operator and what it may touch.
 *
 * @param name its name, kept with each act
 * @param keySha256 the SHA-256 of its key, in hexadecimal
 * @param organisations the organisations it may touch; {@code *} for all
 * @param upstreams the upstreams it may touch; {@code *} for all
 */
public record Operator(String name, String keySha256, List<String> organisations, List<String> upstreams) {

	private static final String ALL = "*";

	/**
	 * Keeps its own copies.
	 */
	public Operator {
		organisations = (organisations != null) ? List.copyOf(organisations) : List.of();
		upstreams = (upstreams != null) ? List.copyOf(upstreams) : List.of();
	}

	void validate() {
		ApiKeys.requireValidHash(this.name, this.keySha256);
	}

	/**
	 * Tells whether the operator may touch an organisation.
	 * @param organisation its name
	 * @return whether it may
	 */
	public boolean mayManageOrganisation(String organisation) {
		return this.organisations.contains(ALL) || this.organisations.contains(organisation);
	}

	/**
	 * Tells whether the operator may touch an upstream.
	 * @param upstream its name
	 * @return whether it may
	 */
	public boolean mayManageUpstream(String upstream) {
		return this.upstreams.contains(ALL) || this.upstreams.contains(upstream);
	}

	/**
	 * Tells whether the operator may touch everything, and so the configuration itself.
	 * @return whether it may
	 */
	public boolean mayManageAll() {
		return this.organisations.contains(ALL) && this.upstreams.contains(ALL);
	}

}
