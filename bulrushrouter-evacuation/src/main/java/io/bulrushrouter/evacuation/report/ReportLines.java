package io.bulrushrouter.evacuation.report;

import java.time.Duration;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.bulrushrouter.evacuation.EndState;
import io.bulrushrouter.evacuation.EvacuationState;
import io.bulrushrouter.evacuation.FleetUpstream;
import io.bulrushrouter.evacuation.ShortfallReason;
import io.bulrushrouter.evacuation.Target;
import io.bulrushrouter.evacuation.UpstreamIntent;
import io.bulrushrouter.evacuation.reconcile.ObservedUpstream;
import io.bulrushrouter.evacuation.reconcile.Phase;
import io.bulrushrouter.evacuation.reconcile.Step;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * Builds the lines of a report. An instance is used for one report only.
 */
final class ReportLines {

	// Reasons that may last for any time, so that there is no forecast for the step.
	private static final Set<ShortfallReason> OPEN_ENDED = EnumSet.of(ShortfallReason.NO_CAPACITY,
			ShortfallReason.ENGINE_REFUSES, ShortfallReason.STORE_DOWN, ShortfallReason.UNREACHABLE);

	private final ReportInput input;

	private final EvacuationState state;

	private final ForecastSettings settings;

	private final Map<UpstreamId, UpstreamIntent> intents;

	private final Map<String, Hold> holds = new HashMap<>();

	private final List<ReportLine> lines = new ArrayList<>();

	ReportLines(ReportInput input, ForecastSettings settings) {
		this.input = input;
		this.state = input.state();
		this.settings = settings;
		this.intents = this.state.intentsByUpstream();
		input.steps().forEach(this::recordHold);
	}

	private void recordHold(Step step) {
		if (step instanceof Step.HoldStop hold) {
			this.holds.put(hold.subject(), new Hold(hold.reason(), hold.detail()));
		}
		else if (step instanceof Step.HoldMove hold) {
			this.holds.put(hold.subject(), new Hold(hold.reason(), hold.detail()));
		}
	}

	List<ReportLine> lines() {
		addMoves();
		int queuedUnits = 0;
		for (Map.Entry<Target, List<FleetUpstream>> unit : unitsByStopTime()) {
			UnitStatus status = unit(unit.getKey(), unit.getValue(), queuedUnits);
			queuedUnits += status.queued() ? 1 : 0;
			addUnit(status);
		}
		this.lines.sort(Comparator.comparing(ReportLine::horizon).thenComparing(ReportLine::subject));
		return this.lines;
	}

	private List<Map.Entry<Target, List<FleetUpstream>>> unitsByStopTime() {
		return this.input.fleet()
			.units()
			.entrySet()
			.stream()
			.sorted(Comparator
				.comparing((unit) -> intent(unit.getValue()).flatMap(UpstreamIntent::stopAt).orElse(LocalDateTime.MIN)))
			.toList();
	}

	private Optional<UpstreamIntent> intent(List<FleetUpstream> members) {
		return Optional.ofNullable(this.intents.get(members.get(0).id()));
	}

	private UnitStatus unit(Target target, List<FleetUpstream> members, int queuedUnits) {
		List<ObservedUpstream> observed = members.stream()
			.flatMap((member) -> this.input.observed().find(member.id()).stream())
			.toList();
		EndState intended = intent(members).map(UpstreamIntent::state).orElse(EndState.RUNNING);
		Optional<LocalDateTime> stopAt = intent(members).flatMap(UpstreamIntent::stopAt);
		Optional<LocalDate> deadline = this.state.plan().deadline(members.get(0));
		Optional<LocalDateTime> planned = this.state.plan().stopAt(members.get(0));
		boolean complete = observed.size() == members.size();
		UnitStatus status = new UnitStatus(target, intended, stopAt, planned, deadline, complete, observed,
				Optional.empty());
		return status.withForecast(forecast(status, queuedUnits));
	}

	private Optional<LocalDateTime> forecast(UnitStatus unit, int queuedUnits) {
		Hold hold = this.holds.get(unit.subject());
		if (unit.intentMet() || unit.intended() == EndState.RUNNING || this.state.plan().cancelled()
				|| (hold != null && OPEN_ENDED.contains(hold.reason()))) {
			return Optional.empty();
		}
		long waves = 1 + (unit.departureStarted() ? 0 : (queuedUnits / this.settings.maxConcurrentDepartures()));
		LocalDateTime drainedAt = this.input.now()
			.plus(max(this.settings.drainTime().multipliedBy(waves), overdue(unit)));
		LocalDateTime stopTime = unit.stopAt().orElse(drainedAt);
		boolean drained = unit.departureStarted() && unit.inFlight() == 0;
		LocalDateTime earliest = drained ? this.input.now() : drainedAt;
		return Optional.of(stopTime.isAfter(earliest) ? stopTime : earliest);
	}

	// Returns how long the drain has been overdue. It is expected to take as long again.
	private Duration overdue(UnitStatus unit) {
		boolean draining = unit.departureStarted() && unit.inFlight() > 0;
		return unit.stopAt()
			.filter((at) -> draining && at.isBefore(this.input.now()))
			.map((at) -> Duration.between(at, this.input.now()))
			.orElse(Duration.ZERO);
	}

	private static Duration max(Duration one, Duration other) {
		return (one.compareTo(other) >= 0) ? one : other;
	}

	private void addUnit(UnitStatus unit) {
		if (unit.intended() != EndState.RUNNING) {
			add(Horizon.NOW, unit, unit.intentMet(), unit.stopAt(), this.input.now());
			LocalDateTime endOfDay = BurnDown.endOf(this.state.sheetDate().orElse(this.input.now().toLocalDate()));
			add(Horizon.END_OF_DAY, unit, unit.intentMet(), Optional.of(unit.stopAt().orElse(endOfDay)), endOfDay);
		}
		unit.deadline().ifPresent((day) -> {
			LocalDateTime due = BurnDown.endOf(day);
			add(Horizon.PLAN_DATE, unit, unit.gone(), Optional.of(due), due);
		});
	}

	private void add(Horizon horizon, UnitStatus unit, boolean met, Optional<LocalDateTime> due, LocalDateTime limit) {
		Optional<Hold> hold = hold(horizon, unit);
		LineStatus status = met ? LineStatus.MET : status(horizon, unit, hold, limit);
		String intended = (horizon == Horizon.PLAN_DATE) ? EndState.GONE.text() : unit.intended().text();
		this.lines.add(new ReportLine(horizon, unit.subject(), intended, unit.observedText(), status, due,
				met ? Optional.empty() : expected(unit, status, due), met ? Optional.empty() : hold.map(Hold::reason),
				met ? "" : hold.map(Hold::detail).orElse("")));
	}

	// A unit without a forecast that is on the way is expected at the plan's stop
	// time, or else when it is due. This applies to units that no sheet has asked for
	// yet.
	private Optional<LocalDateTime> expected(UnitStatus unit, LineStatus status, Optional<LocalDateTime> due) {
		if (unit.forecast().isPresent() || status == LineStatus.SHORT) {
			return unit.forecast();
		}
		return unit.plannedStop().or(() -> due);
	}

	private Optional<Hold> hold(Horizon horizon, UnitStatus unit) {
		if (this.state.plan().cancelled()) {
			return Optional.of(new Hold(ShortfallReason.PLAN_CANCELLED, "the plan was cancelled"));
		}
		Hold hold = this.holds.get(unit.subject());
		if (hold == null && horizon == Horizon.PLAN_DATE && unit.intended() != EndState.GONE) {
			return Optional.of(new Hold(ShortfallReason.NOT_IN_SHEET, "no sheet has asked for it yet"));
		}
		return Optional.ofNullable(hold);
	}

	private LineStatus status(Horizon horizon, UnitStatus unit, Optional<Hold> hold, LocalDateTime limit) {
		Optional<ShortfallReason> reason = hold.map(Hold::reason);
		if (reason.filter((found) -> OPEN_ENDED.contains(found) || found == ShortfallReason.PLAN_CANCELLED)
			.isPresent()) {
			return LineStatus.SHORT;
		}
		if (horizon == Horizon.NOW) {
			boolean overdue = unit.stopAt().filter((at) -> !this.input.now().isBefore(at)).isPresent();
			return (reason.isPresent() && overdue) ? LineStatus.SHORT : LineStatus.ON_THE_WAY;
		}
		if (reason.equals(Optional.of(ShortfallReason.NOT_IN_SHEET))) {
			return tooLateForSheet(unit) ? LineStatus.SHORT : LineStatus.ON_THE_WAY;
		}
		return unit.forecast().filter((at) -> at.isBefore(limit)).isPresent() ? LineStatus.ON_THE_WAY
				: LineStatus.SHORT;
	}

	// Returns whether the sheet of the unit's last day was applied or that day has
	// passed, so that no later sheet can include the unit in time.
	private boolean tooLateForSheet(UnitStatus unit) {
		LocalDate deadline = unit.deadline().orElseThrow();
		return this.input.now().toLocalDate().isAfter(deadline)
				|| this.state.sheetDate().filter((day) -> !day.isBefore(deadline)).isPresent();
	}

	private void addMoves() {
		Map<OrganisationId, DataCentreId> current = this.input.observed().placements();
		int position = 0;
		for (Map.Entry<OrganisationId, DataCentreId> move : this.state.placementsByOrganisation().entrySet()) {
			boolean met = move.getValue().equals(current.get(move.getKey()));
			position += met ? 0 : 1;
			LocalDateTime forecast = this.input.now().plus(this.settings.moveTime().multipliedBy(position));
			addMove(Horizon.NOW, move, met, forecast);
			addMove(Horizon.END_OF_DAY, move, met, forecast);
		}
	}

	private void addMove(Horizon horizon, Map.Entry<OrganisationId, DataCentreId> move, boolean met,
			LocalDateTime forecast) {
		String subject = "organisation/" + move.getKey();
		Optional<Hold> hold = met ? Optional.empty() : Optional.ofNullable(this.holds.get(subject));
		LineStatus unmet = hold.isPresent() ? LineStatus.SHORT : LineStatus.ON_THE_WAY;
		Optional<LocalDateTime> expected = (met || hold.isPresent()) ? Optional.empty() : Optional.of(forecast);
		DataCentreId at = this.input.observed().placements().get(move.getKey());
		this.lines.add(new ReportLine(horizon, subject, "at " + move.getValue(), (at != null) ? "at " + at : "unknown",
				met ? LineStatus.MET : unmet, Optional.empty(), expected, hold.map(Hold::reason),
				hold.map(Hold::detail).orElse("")));
	}

	/**
	 * The reason for which a step is held.
	 *
	 * @param reason the reason
	 * @param detail a description for operators
	 */
	private record Hold(ShortfallReason reason, String detail) {
	}

	/**
	 * The intended, observed and expected state of an upstream or group.
	 *
	 * @param target the upstream or group
	 * @param intended the state intended by the sheets
	 * @param stopAt the stop time intended by the sheets, or empty
	 * @param plannedStop the stop time in the plan, or empty
	 * @param deadline the last day on which the plan allows it to run, or empty
	 * @param complete whether the sidecars of all members answered
	 * @param observedMembers the states of the members whose sidecars answered
	 * @param forecast the time at which the intended state is expected, or empty
	 */
	private record UnitStatus(Target target, EndState intended, Optional<LocalDateTime> stopAt,
			Optional<LocalDateTime> plannedStop, Optional<LocalDate> deadline, boolean complete,
			List<ObservedUpstream> observedMembers, Optional<LocalDateTime> forecast) {

		UnitStatus withForecast(Optional<LocalDateTime> at) {
			return new UnitStatus(this.target, this.intended, this.stopAt, this.plannedStop, this.deadline,
					this.complete, this.observedMembers, at);
		}

		String subject() {
			return this.target.text();
		}

		boolean allReached(Phase required) {
			return this.complete
					&& this.observedMembers.stream().allMatch((member) -> member.phase().compareTo(required) >= 0);
		}

		boolean gone() {
			return allReached(Phase.STOPPED);
		}

		boolean intentMet() {
			return allReached((this.intended == EndState.GONE) ? Phase.STOPPED : Phase.LEAVING);
		}

		boolean departureStarted() {
			return this.observedMembers.stream().anyMatch((member) -> member.phase() != Phase.RUNNING);
		}

		boolean queued() {
			return this.intended != EndState.RUNNING && !departureStarted() && this.stopAt.isEmpty();
		}

		// All ranks of a group run the same requests, so the counts must not be added up.
		int inFlight() {
			return this.observedMembers.stream().mapToInt(ObservedUpstream::inFlight).max().orElse(0);
		}

		String observedText() {
			String phases = this.observedMembers.stream()
				.map(ObservedUpstream::phase)
				.distinct()
				.sorted()
				.map(Phase::text)
				.collect(Collectors.joining("/"));
			String requests = (inFlight() > 0) ? ", " + inFlight() + " running" : "";
			return (this.complete ? phases : "unknown") + requests;
		}

	}

}
