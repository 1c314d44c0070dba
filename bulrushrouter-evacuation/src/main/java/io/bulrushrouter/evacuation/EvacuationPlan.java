package io.bulrushrouter.evacuation;

import java.time.LocalDate;
import java.time.LocalDateTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.bulrushrouter.kernel.OrganisationId;

/**
 * What must be gone by when, which organisations move in which order, and which stops are
 * planned for which hours. Who changed it, when and why is kept beside it in
 * {@link EvacuationState#history()}.
 *
 * <pre>{@code
 * EvacuationPlan plan = EvacuationPlan.builder("hall-3", LocalDate.of(2026, 11, 6))
 *     .departure(Target.of("group/north"), LocalDate.of(2026, 11, 4))
 *     .organisation(OrganisationId.of("pekaren"))
 *     .build();
 * List<PlanError> errors = plan.validate(fleet);
 * }</pre>
 *
 * @param name the plan's name, which is also its object's
 * @param date the day at whose end everything must be gone
 * @param departures what must be gone, by when
 * @param organisations the organisations in the order in which they move
 * @param stops the stops that are planned for hours
 * @param cancelled whether the plan was cancelled
 */
public record EvacuationPlan(String name, LocalDate date, List<Departure> departures,
		List<OrganisationId> organisations, List<PlannedStop> stops, boolean cancelled) {

	/**
	 * Copies the lists.
	 */
	public EvacuationPlan {
		Objects.requireNonNull(name);
		Objects.requireNonNull(date);
		departures = List.copyOf(departures);
		organisations = List.copyOf(organisations);
		stops = List.copyOf(stops);
	}

	/**
	 * Returns an empty builder.
	 * @param name the plan's name
	 * @param date the day at whose end everything must be gone
	 * @return the builder
	 */
	public static Builder builder(String name, LocalDate date) {
		return new Builder(name, date);
	}

	/**
	 * Returns a builder that starts from this plan.
	 * @return the builder
	 */
	public Builder toBuilder() {
		Builder builder = builder(this.name, this.date).cancelled(this.cancelled);
		builder.departures.addAll(this.departures);
		builder.organisations.addAll(this.organisations);
		builder.stops.addAll(this.stops);
		return builder;
	}

	/**
	 * Checks the plan against the inventory.
	 * @param fleet the inventory
	 * @return every error, in the plan's order; empty if there is none
	 */
	public List<PlanError> validate(Fleet fleet) {
		return PlanValidation.errors(this, fleet);
	}

	/**
	 * Finds when an upstream must be gone.
	 * @param upstream the upstream
	 * @return the day, or empty if the plan lets it stay
	 */
	public Optional<LocalDate> deadline(FleetUpstream upstream) {
		return this.departures.stream()
			.filter((departure) -> matches(departure.target(), upstream))
			.map(Departure::by)
			.min(LocalDate::compareTo);
	}

	/**
	 * Finds the hour that is planned for an upstream's stop.
	 * @param upstream the upstream
	 * @return when, or empty if no hour is planned
	 */
	public Optional<LocalDateTime> stopAt(FleetUpstream upstream) {
		return this.stops.stream()
			.filter((stop) -> matches(stop.target(), upstream))
			.map(PlannedStop::at)
			.min(LocalDateTime::compareTo);
	}

	/**
	 * Returns the upstreams that must go.
	 * @param fleet the inventory
	 * @return the upstreams, by name
	 */
	public List<FleetUpstream> leaving(Fleet fleet) {
		return fleet.upstreams().stream().filter((upstream) -> deadline(upstream).isPresent()).toList();
	}

	private static boolean matches(Target target, FleetUpstream upstream) {
		return target.equals(Target.of(upstream.id())) || target.equals(upstream.unit());
	}

	/**
	 * Builds plans.
	 */
	public static final class Builder {

		private final String name;

		private LocalDate date;

		private final List<Departure> departures = new ArrayList<>();

		private final List<OrganisationId> organisations = new ArrayList<>();

		private final List<PlannedStop> stops = new ArrayList<>();

		private boolean cancelled;

		private Builder(String name, LocalDate date) {
			this.name = name;
			this.date = date;
		}

		/**
		 * Sets the day at whose end everything must be gone.
		 * @param date the day
		 * @return this builder
		 */
		public Builder date(LocalDate date) {
			this.date = date;
			return this;
		}

		/**
		 * Adds what must be gone by when.
		 * @param target the upstream or group
		 * @param by the day at whose end it must be gone
		 * @return this builder
		 */
		public Builder departure(Target target, LocalDate by) {
			this.departures.add(new Departure(target, by));
			return this;
		}

		/**
		 * Adds the organisation that moves next.
		 * @param organisation the organisation
		 * @return this builder
		 */
		public Builder organisation(OrganisationId organisation) {
			this.organisations.add(organisation);
			return this;
		}

		/**
		 * Adds a stop that is planned for an hour.
		 * @param target the upstream or group
		 * @param at when, in the building's local time
		 * @return this builder
		 */
		public Builder stop(Target target, LocalDateTime at) {
			this.stops.add(new PlannedStop(target, at));
			return this;
		}

		/**
		 * Sets whether the plan is cancelled.
		 * @param cancelled whether it is
		 * @return this builder
		 */
		public Builder cancelled(boolean cancelled) {
			this.cancelled = cancelled;
			return this;
		}

		/**
		 * Returns the plan.
		 * @return the plan
		 */
		public EvacuationPlan build() {
			return new EvacuationPlan(this.name, this.date, this.departures, this.organisations, this.stops,
					this.cancelled);
		}

	}

}
