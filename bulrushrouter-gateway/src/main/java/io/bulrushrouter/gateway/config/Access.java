package io.bulrushrouter.gateway.config;

import java.util.List;

/**
 * Who may use the routes that are not anonymous. A configuration that names no
 * organisations differs from one whose list of organisations is empty: the first needs no
 * keys, the second accepts none.
 */
public sealed interface Access {

	/**
	 * Returns the access of a configuration that says nothing about organisations.
	 * @return access without a key
	 */
	static Access ofEveryone() {
		return new Everyone();
	}

	/**
	 * Returns the access of a configuration with a list of organisations.
	 * @param organisations the organisations, possibly none
	 * @return access with a key of one of them
	 */
	static Access ofOrganisations(List<Organisation> organisations) {
		return new KeyHolders(organisations);
	}

	/**
	 * Returns the organisations that may send requests.
	 * @return the organisations, empty if there are none
	 */
	List<Organisation> organisations();

	/**
	 * Returns whether a request needs a key.
	 * @return whether it needs one, unless its route is anonymous
	 */
	boolean requiresKey();

	/**
	 * Returns the number of keys that give access.
	 * @return the number
	 */
	default int keys() {
		return organisations().stream().mapToInt((organisation) -> organisation.keys().size()).sum();
	}

	/**
	 * Access without a key.
	 */
	record Everyone() implements Access {

		@Override
		public List<Organisation> organisations() {
			return List.of();
		}

		@Override
		public boolean requiresKey() {
			return false;
		}

	}

	/**
	 * Access with a key.
	 *
	 * @param organisations the organisations that own the keys
	 */
	record KeyHolders(List<Organisation> organisations) implements Access {

		/**
		 * Makes a defensive copy of the organisations.
		 */
		public KeyHolders {
			organisations = List.copyOf(organisations);
		}

		@Override
		public boolean requiresKey() {
			return true;
		}

	}

}
