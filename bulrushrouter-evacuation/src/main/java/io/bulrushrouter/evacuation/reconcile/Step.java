package io.bulrushrouter.evacuation.reconcile;

import io.bulrushrouter.evacuation.ShortfallReason;
import io.bulrushrouter.evacuation.Target;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * A step of an evacuation: an order, or the notice that a due step is held. An order
 * names the state to reach, which makes it idempotent, and carries the fencing token of
 * the holder's lease.
 */
public sealed interface Step {

	/**
	 * Returns the fencing token of the holder that decided the step.
	 * @return the token
	 */
	long fence();

	/**
	 * Returns the subject of the step for logs and reports.
	 * @return the subject, such as {@code upstream/runner-1}
	 */
	String subject();

	/**
	 * A step that is carried out.
	 */
	sealed interface Order extends Step {

		/**
		 * Returns the name of the order, as sent to sidecars and written to logs.
		 * @return the name, such as {@code set-leaving}
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
		 * Returns the phase that the upstream is to reach.
		 * @return the phase
		 */
		Phase targetPhase();

		@Override
		default String subject() {
			return "upstream/" + upstream();
		}

	}

	/**
	 * Routes the new requests of an organisation to another data centre.
	 *
	 * @param organisation the organisation
	 * @param to the data centre that serves its requests from then on
	 * @param fence the fencing token of the holder's lease
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
	 * Closes the gate of an upstream to new requests.
	 *
	 * @param upstream the upstream
	 * @param fence the fencing token of the holder's lease
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
	 * Makes the engine of an upstream unload its models.
	 *
	 * @param upstream the upstream
	 * @param fence the fencing token of the holder's lease
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
	 * @param fence the fencing token of the holder's lease
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
	 * Reports that the next step of an upstream or group is due but held.
	 *
	 * @param target the upstream or group
	 * @param reason the reason for holding it
	 * @param detail a description for operators
	 * @param fence the fencing token of the holder's lease
	 */
	record HoldStop(Target target, ShortfallReason reason, String detail, long fence) implements Step {

		@Override
		public String subject() {
			return this.target.text();
		}

	}

	/**
	 * Reports that the move of an organisation is due but held.
	 *
	 * @param organisation the organisation
	 * @param reason the reason for holding it
	 * @param detail a description for operators
	 * @param fence the fencing token of the holder's lease
	 */
	record HoldMove(OrganisationId organisation, ShortfallReason reason, String detail, long fence) implements Step {

		@Override
		public String subject() {
			return "organisation/" + this.organisation;
		}

	}

}
