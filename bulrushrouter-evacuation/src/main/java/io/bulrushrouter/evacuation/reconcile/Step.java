package io.bulrushrouter.evacuation.reconcile;

import io.bulrushrouter.evacuation.ShortReason;
import io.bulrushrouter.evacuation.Target;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * One step of an evacuation, or a step that is held. Steps name the state to reach, so
 * that doing one twice has no further effect, and carry the holder's fencing number.
 */
public sealed interface Step {

	/**
	 * Returns the fencing number of the holder that decided it.
	 * @return the number
	 */
	long fence();

	/**
	 * Returns what the step is about, for logs.
	 * @return such as {@code upstream/runner-1}
	 */
	String subject();

	/**
	 * A step that orders something.
	 */
	sealed interface Order extends Step {

		/**
		 * Returns the order's name, for logs.
		 * @return such as {@code set-leaving}
		 */
		String name();

	}

	/**
	 * An order to one upstream.
	 */
	sealed interface UpstreamOrder extends Order {

		/**
		 * Returns the upstream.
		 * @return the upstream
		 */
		UpstreamId upstream();

		/**
		 * Returns the phase that the order brings the upstream to.
		 * @return the phase
		 */
		Phase targetPhase();

		@Override
		default String subject() {
			return "upstream/" + upstream();
		}

	}

	/**
	 * Sends an organisation's new requests to another data centre.
	 *
	 * @param organisation the organisation
	 * @param to where its requests go
	 * @param fence the holder's fencing number
	 */
	record MoveOrganisation(OrganisationId organisation, DataCentreId to, long fence) implements Order {

		@Override
		public String name() {
			return "move-organisation";
		}

		@Override
		public String subject() {
			return "organisation/" + this.organisation;
		}

	}

	/**
	 * Closes an upstream's gate to new requests.
	 *
	 * @param upstream the upstream
	 * @param fence the holder's fencing number
	 */
	record SetLeaving(UpstreamId upstream, long fence) implements UpstreamOrder {

		@Override
		public String name() {
			return "set-leaving";
		}

		@Override
		public Phase targetPhase() {
			return Phase.LEAVING;
		}

	}

	/**
	 * Lets an upstream's engine drop its models.
	 *
	 * @param upstream the upstream
	 * @param fence the holder's fencing number
	 */
	record Unload(UpstreamId upstream, long fence) implements UpstreamOrder {

		@Override
		public String name() {
			return "unload";
		}

		@Override
		public Phase targetPhase() {
			return Phase.UNLOADED;
		}

	}

	/**
	 * Stops an upstream.
	 *
	 * @param upstream the upstream
	 * @param fence the holder's fencing number
	 */
	record StopUpstream(UpstreamId upstream, long fence) implements UpstreamOrder {

		@Override
		public String name() {
			return "stop-upstream";
		}

		@Override
		public Phase targetPhase() {
			return Phase.STOPPED;
		}

	}

	/**
	 * The next step of an upstream or group is due and is held.
	 *
	 * @param target the upstream or group
	 * @param reason why
	 * @param detail details for a person
	 * @param fence the holder's fencing number
	 */
	record HoldStop(Target target, ShortReason reason, String detail, long fence) implements Step {

		@Override
		public String subject() {
			return this.target.text();
		}

	}

	/**
	 * The move of an organisation is due and is held.
	 *
	 * @param organisation the organisation
	 * @param reason why
	 * @param detail details for a person
	 * @param fence the holder's fencing number
	 */
	record HoldMove(OrganisationId organisation, ShortReason reason, String detail, long fence) implements Step {

		@Override
		public String subject() {
			return "organisation/" + this.organisation;
		}

	}

}
