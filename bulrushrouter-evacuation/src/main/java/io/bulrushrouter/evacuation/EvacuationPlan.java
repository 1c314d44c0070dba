package io.bulrushrouter.evacuation;

import java.time.LocalDate;
import java.time.LocalDateTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.bulrushrouter.kernel.OrganisationId;

/**
 * A plan to evacuate a building: which upstreams and groups must be stopped by which
 * date, in which order the organisations move, and which stops are scheduled for a fixed
 * time. Who changed the plan, when and why is recorded in
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
 * @param name the plan's name, which is also the name of its stored object
 * @param date the day by whose end all departures must be complete
 * @param departures the upstreams and groups that must be stopped, with their dates
 * @param organisations the organisations in the order in which they move
 * @param stops the stops that are scheduled for a fixed time
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
	 * @param date the day by whose end all departures must be complete
	 * @return the builder
	 */
	public static Builder builder(String name, LocalDate date) {
		return new Builder(name, date);
	}

	/**
	 * Returns a builder initialised from this plan.
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
	 * Validates the plan against the inventory.
	 * @param fleet the inventory
	 * @return all errors in the order of the plan's fields, or an empty list if the plan
	 * is valid
	 */
	public List<PlanError> validate(Fleet fleet) {
		return PlanValidation.errors(this, fleet);
	}

	/**
	 * Returns the day by whose end an upstream must be stopped.
	 * @param upstream the upstream
	 * @return the earliest such day, or empty if the plan does not include the upstream
	 */
	public Optional<LocalDate> deadline(FleetUpstream upstream) {
		return this.departures.stream()
			.filter((departure) -> matches(departure.target(), upstream))
			.map(Departure::by)
			.min(LocalDate::compareTo);
	}

	/**
	 * Returns the time for which an upstream's stop is scheduled.
	 * @param upstream the upstream
	 * @return the earliest such time in the building's local time, or empty if none is
	 * scheduled
	 */
	public Optional<LocalDateTime> stopAt(FleetUpstream upstream) {
		return this.stops.stream()
			.filter((stop) -> matches(stop.target(), upstream))
			.map(PlannedStop::at)
			.min(LocalDateTime::compareTo);
	}

	/**
	 * Returns the upstreams that the plan evacuates.
	 * @param fleet the inventory
	 * @return the upstreams, ordered by name
	 */
	public List<FleetUpstream> leaving(Fleet fleet) {
		return fleet.upstreams().stream().filter((upstream) -> deadline(upstream).isPresent()).toList();
	}

	private static boolean matches(Target target, FleetUpstream upstream) {
		return target.equals(Target.of(upstream.id())) || target.equals(upstream.unit());
	}

	/**
	 * Builder for {@link EvacuationPlan}.
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
		 * Sets the day by whose end all departures must be complete.
		 * @param date the day
		 * @return this builder
		 */
		public Builder date(LocalDate date) {
			this.date = date;
			return this;
		}

		/**
		 * Adds an upstream or group that must be stopped by a date.
		 * @param target the upstream or group
		 * @param by the day by whose end it must be stopped
		 * @return this builder
		 */
		public Builder departure(Target target, LocalDate by) {
			this.departures.add(new Departure(target, by));
			return this;
		}

		/**
		 * Appends an organisation to the order in which organisations move.
		 * @param organisation the organisation
		 * @return this builder
		 */
		public Builder organisation(OrganisationId organisation) {
			this.organisations.add(organisation);
			return this;
		}

		/**
		 * Adds a stop that is scheduled for a fixed time.
		 * @param target the upstream or group
		 * @param at the time of the stop, in the building's local time
		 * @return this builder
		 */
		public Builder stop(Target target, LocalDateTime at) {
			this.stops.add(new PlannedStop(target, at));
			return this;
		}

		/**
		 * Sets whether the plan is cancelled.
		 * @param cancelled whether the plan is cancelled
		 * @return this builder
		 */
		public Builder cancelled(boolean cancelled) {
			this.cancelled = cancelled;
			return this;
		}

		/**
		 * Builds the plan.
		 * @return the plan
		 */
		public EvacuationPlan build() {
			return new EvacuationPlan(this.name, this.date, this.departures, this.organisations, this.stops,
					this.cancelled);
		}

	}

}
