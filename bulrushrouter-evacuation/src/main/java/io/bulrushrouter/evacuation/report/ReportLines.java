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
 * Makes the lines of a report.
 */
final class ReportLines {

	// Reasons after which nobody can say when the step will be taken.
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
		input.steps().forEach(this::keepHold);
	}

	private void keepHold(Step step) {
		if (step instanceof Step.HoldStop hold) {
			this.holds.put(hold.subject(), new Hold(hold.reason(), hold.detail()));
		}
		else if (step instanceof Step.HoldMove hold) {
			this.holds.put(hold.subject(), new Hold(hold.reason(), hold.detail()));
		}
	}

	List<ReportLine> lines() {
		addMoves();
		int waiting = 0;
		for (Map.Entry<Target, List<FleetUpstream>> unit : unitsByHour()) {
			Unit view = unit(unit.getKey(), unit.getValue(), waiting);
			waiting += view.waits() ? 1 : 0;
			addUnit(view);
		}
		this.lines.sort(Comparator.comparing(ReportLine::horizon).thenComparing(ReportLine::subject));
		return this.lines;
	}

	private List<Map.Entry<Target, List<FleetUpstream>>> unitsByHour() {
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

	private Unit unit(Target target, List<FleetUpstream> members, int waiting) {
		List<ObservedUpstream> seen = members.stream()
			.flatMap((member) -> this.input.observed().find(member.id()).stream())
			.toList();
		EndState intended = intent(members).map(UpstreamIntent::state).orElse(EndState.RUNNING);
		Optional<LocalDateTime> stopAt = intent(members).flatMap(UpstreamIntent::stopAt);
		Optional<LocalDate> deadline = this.state.plan().deadline(members.get(0));
		Optional<LocalDateTime> planned = this.state.plan().stopAt(members.get(0));
		boolean complete = seen.size() == members.size();
		Unit view = new Unit(target, intended, stopAt, planned, deadline, complete, seen, Optional.empty());
		return view.withForecast(forecast(view, waiting));
	}

	private Optional<LocalDateTime> forecast(Unit unit, int waiting) {
		Hold hold = this.holds.get(unit.subject());
		if (unit.metIntent() || unit.intended() == EndState.RUNNING || this.state.plan().cancelled()
				|| (hold != null && OPEN_ENDED.contains(hold.reason()))) {
			return Optional.empty();
		}
		long waves = 1 + (unit.begun() ? 0 : (waiting / this.settings.unitsLeavingAtOnce()));
		LocalDateTime ready = this.input.now().plus(longer(this.settings.drain().multipliedBy(waves), overdue(unit)));
		LocalDateTime hour = unit.stopAt().orElse(ready);
		boolean drained = unit.begun() && unit.inFlight() == 0;
		LocalDateTime soonest = drained ? this.input.now() : ready;
		return Optional.of(hour.isAfter(soonest) ? hour : soonest);
	}

	// A drain that is overdue is expected to take as long again.
	private Duration overdue(Unit unit) {
		boolean draining = unit.begun() && unit.inFlight() > 0;
		return unit.stopAt()
			.filter((at) -> draining && at.isBefore(this.input.now()))
			.map((at) -> Duration.between(at, this.input.now()))
			.orElse(Duration.ZERO);
	}

	private static Duration longer(Duration one, Duration other) {
		return (one.compareTo(other) >= 0) ? one : other;
	}

	private void addUnit(Unit unit) {
		if (unit.intended() != EndState.RUNNING) {
			add(Horizon.NOW, unit, unit.metIntent(), unit.stopAt(), this.input.now());
			LocalDateTime endOfDay = BurnDown.endOf(this.state.sheetDate().orElse(this.input.now().toLocalDate()));
			add(Horizon.END_OF_DAY, unit, unit.metIntent(), Optional.of(unit.stopAt().orElse(endOfDay)), endOfDay);
		}
		unit.deadline().ifPresent((day) -> {
			LocalDateTime due = BurnDown.endOf(day);
			add(Horizon.PLAN_DATE, unit, unit.gone(), Optional.of(due), due);
		});
	}

	private void add(Horizon horizon, Unit unit, boolean met, Optional<LocalDateTime> due, LocalDateTime limit) {
		Optional<Hold> hold = hold(horizon, unit);
		LineStatus status = met ? LineStatus.MET : status(horizon, unit, hold, limit);
		String intended = (horizon == Horizon.PLAN_DATE) ? EndState.GONE.text() : unit.intended().text();
		this.lines.add(new ReportLine(horizon, unit.subject(), intended, unit.text(), status, due,
				met ? Optional.empty() : expected(unit, status, due), met ? Optional.empty() : hold.map(Hold::reason),
				met ? "" : hold.map(Hold::detail).orElse("")));
	}

	// What no sheet has asked for yet is expected at the plan's hour, or when it is due.
	private Optional<LocalDateTime> expected(Unit unit, LineStatus status, Optional<LocalDateTime> due) {
		if (unit.forecast().isPresent() || status == LineStatus.SHORT) {
			return unit.forecast();
		}
		return unit.plannedStop().or(() -> due);
	}

	private Optional<Hold> hold(Horizon horizon, Unit unit) {
		if (this.state.plan().cancelled()) {
			return Optional.of(new Hold(ShortfallReason.PLAN_CANCELLED, "the plan was cancelled"));
		}
		Hold hold = this.holds.get(unit.subject());
		if (hold == null && horizon == Horizon.PLAN_DATE && unit.intended() != EndState.GONE) {
			return Optional.of(new Hold(ShortfallReason.NOT_IN_SHEET, "no sheet has asked for it yet"));
		}
		return Optional.ofNullable(hold);
	}

	private LineStatus status(Horizon horizon, Unit unit, Optional<Hold> hold, LocalDateTime limit) {
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
			return dayHasItsSheet(unit) ? LineStatus.SHORT : LineStatus.ON_THE_WAY;
		}
		return unit.forecast().filter((at) -> at.isBefore(limit)).isPresent() ? LineStatus.ON_THE_WAY
				: LineStatus.SHORT;
	}

	// A later sheet cannot bring the unit in any more.
	private boolean dayHasItsSheet(Unit unit) {
		LocalDate deadline = unit.deadline().orElseThrow();
		return this.input.now().toLocalDate().isAfter(deadline)
				|| this.state.sheetDate().filter((day) -> !day.isBefore(deadline)).isPresent();
	}

	private void addMoves() {
		Map<OrganisationId, DataCentreId> now = this.input.observed().placements();
		int position = 0;
		for (Map.Entry<OrganisationId, DataCentreId> move : this.state.placementsByOrganisation().entrySet()) {
			boolean met = move.getValue().equals(now.get(move.getKey()));
			position += met ? 0 : 1;
			LocalDateTime forecast = this.input.now().plus(this.settings.move().multipliedBy(position));
			addMove(Horizon.NOW, move, met, forecast);
			addMove(Horizon.END_OF_DAY, move, met, forecast);
		}
	}

	private void addMove(Horizon horizon, Map.Entry<OrganisationId, DataCentreId> move, boolean met,
			LocalDateTime forecast) {
		String subject = "organisation/" + move.getKey();
		Optional<Hold> hold = met ? Optional.empty() : Optional.ofNullable(this.holds.get(subject));
		LineStatus open = hold.isPresent() ? LineStatus.SHORT : LineStatus.ON_THE_WAY;
		Optional<LocalDateTime> expected = (met || hold.isPresent()) ? Optional.empty() : Optional.of(forecast);
		DataCentreId at = this.input.observed().placements().get(move.getKey());
		this.lines.add(new ReportLine(horizon, subject, "at " + move.getValue(), (at != null) ? "at " + at : "unknown",
				met ? LineStatus.MET : open, Optional.empty(), expected, hold.map(Hold::reason),
				hold.map(Hold::detail).orElse("")));
	}

	/**
	 * Why a step is held.
	 *
	 * @param reason the reason
	 * @param detail details for a person
	 */
	private record Hold(ShortfallReason reason, String detail) {
	}

	/**
	 * An upstream or group as the report sees it.
	 *
	 * @param target the upstream or group
	 * @param intended what the sheets intend
	 * @param stopAt the hour of its stop
	 * @param plannedStop the hour of its stop in the plan
	 * @param deadline the day at whose end the plan wants it gone
	 * @param complete whether all members' sidecars answered
	 * @param seen what they said
	 * @param forecast when it is expected to be as intended
	 */
	private record Unit(Target target, EndState intended, Optional<LocalDateTime> stopAt,
			Optional<LocalDateTime> plannedStop, Optional<LocalDate> deadline, boolean complete,
			List<ObservedUpstream> seen, Optional<LocalDateTime> forecast) {

		Unit withForecast(Optional<LocalDateTime> at) {
			return new Unit(this.target, this.intended, this.stopAt, this.plannedStop, this.deadline, this.complete,
					this.seen, at);
		}

		String subject() {
			return this.target.text();
		}

		boolean reached(Phase least) {
			return this.complete && this.seen.stream().allMatch((one) -> one.phase().compareTo(least) >= 0);
		}

		boolean gone() {
			return reached(Phase.STOPPED);
		}

		boolean metIntent() {
			return reached((this.intended == EndState.GONE) ? Phase.STOPPED : Phase.LEAVING);
		}

		boolean begun() {
			return this.seen.stream().anyMatch((one) -> one.phase() != Phase.RUNNING);
		}

		boolean waits() {
			return this.intended != EndState.RUNNING && !begun() && this.stopAt.isEmpty();
		}

		// All ranks of a group carry the same requests.
		int inFlight() {
			return this.seen.stream().mapToInt(ObservedUpstream::inFlight).max().orElse(0);
		}

		String text() {
			String phases = this.seen.stream()
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
