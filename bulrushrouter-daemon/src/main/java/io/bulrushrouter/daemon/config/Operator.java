package io.bulrushrouter.daemon.config;

import java.util.List;

/**
 * An operator and the scope that it may manage.
 *
 * @param name its name, recorded with each change
 * @param keySha256 the SHA-256 of its key, in hexadecimal
 * @param organisations the organisations it may manage; {@code *} for all
 * @param upstreams the upstreams it may manage; {@code *} for all
 */
public record Operator(String name, String keySha256, List<String> organisations, List<String> upstreams) {

	private static final String ALL = "*";

	/**
	 * Creates an operator with unmodifiable copies of the lists; a missing list becomes
	 * empty.
	 */
	public Operator {
		organisations = (organisations != null) ? List.copyOf(organisations) : List.of();
		upstreams = (upstreams != null) ? List.copyOf(upstreams) : List.of();
	}

	void validate() {
		ApiKeys.requireValidHash(this.name, this.keySha256);
	}

	/**
	 * Returns whether the operator may manage an organisation.
	 * @param organisation the organisation's name
	 * @return whether it may
	 */
	public boolean mayManageOrganisation(String organisation) {
		return this.organisations.contains(ALL) || this.organisations.contains(organisation);
	}

	/**
	 * Returns whether the operator may manage an upstream.
	 * @param upstream the upstream's name
	 * @return whether it may
	 */
	public boolean mayManageUpstream(String upstream) {
		return this.upstreams.contains(ALL) || this.upstreams.contains(upstream);
	}

	/**
	 * Returns whether the operator may manage all organisations and upstreams, and
	 * therefore the configuration itself.
	 * @return whether it may
	 */
	public boolean mayManageAll() {
		return this.organisations.contains(ALL) && this.upstreams.contains(ALL);
	}

}
