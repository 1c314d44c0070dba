package io.bulrushrouter.daemon.admin;

import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.bulrushrouter.daemon.node.ErrorReply;
import io.bulrushrouter.evacuation.Change;
import io.bulrushrouter.evacuation.EvacuationJson;
import io.bulrushrouter.evacuation.EvacuationState;
import io.bulrushrouter.evacuation.Fleet;
import io.bulrushrouter.evacuation.LeaseHolderStore;
import io.bulrushrouter.evacuation.Placements;
import io.bulrushrouter.evacuation.VersionedValue;
import io.bulrushrouter.evacuation.WriteOutcome;
import io.bulrushrouter.evacuation.sheet.DateOrder;
import io.bulrushrouter.evacuation.sheet.MorningSheet;
import io.bulrushrouter.evacuation.sheet.SheetApplier;
import io.bulrushrouter.evacuation.sheet.SheetError;
import io.bulrushrouter.evacuation.sheet.SheetFormat;
import io.bulrushrouter.evacuation.sheet.SheetOutcome;
import io.bulrushrouter.evacuation.sheet.SheetParseResult;
import io.bulrushrouter.evacuation.sheet.SheetRequest;
import io.bulrushrouter.evacuation.sheet.SheetRow;
import io.bulrushrouter.http.HttpReply;
import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * Validates and applies morning sheets.
 */
final class SheetAdmin {

	private static final int OK = 200;

	private final AdminContext context;

	private final PlanAdmin plans;

	SheetAdmin(AdminContext context, PlanAdmin plans) {
		this.context = context;
		this.plans = plans;
	}

	HttpReply handle(AdminRequest request, String plan) {
		Fleet fleet = this.plans.fleet();
		SheetFormat format = SheetFormat.of(dateOrder(request));
		SheetParseResult result = MorningSheet.parse(request.exchange().body(), format, fleet);
		if (result instanceof SheetParseResult.Rejected rejected) {
			return errors(rejected.errors());
		}
		MorningSheet sheet = ((SheetParseResult.Parsed) result).sheet();
		requireScope(request, sheet);
		VersionedValue<EvacuationState> stored = this.plans.load(plan);
		Change change = this.plans.newChange(request, "sheet of " + sheet.date());
		SheetRequest sheetRequest = new SheetRequest(sheet, placements(plan), change, request.flag("accept-risk"));
		SheetOutcome outcome = SheetApplier.of(fleet).apply(stored.value(), sheetRequest);
		if (outcome instanceof SheetOutcome.Applied applied && !request.flag("check")) {
			return apply(plan, stored, applied, change);
		}
		return reply(outcome);
	}

	private static DateOrder dateOrder(AdminRequest request) {
		String name = request.parameter("date-order").orElse("iso").toUpperCase(Locale.ROOT).replace('-', '_');
		try {
			return DateOrder.valueOf(name);
		}
		catch (IllegalArgumentException ex) {
			throw new BulrushException(ErrorCode.BAD_REQUEST, "unknown date order: " + name, ex);
		}
	}

	private void requireScope(AdminRequest request, MorningSheet sheet) {
		sheet.rows(SheetRow.Departure.class).forEach((row) -> this.plans.requireScope(request, row.target()));
		sheet.rows(SheetRow.Move.class).forEach((row) -> this.plans.requireScope(request, row.organisation()));
	}

	private Map<OrganisationId, DataCentreId> placements(String plan) {
		return PlanAdmin
			.requireAvailable(
					LeaseHolderStore.ofPlacements(this.context.store(), plan).read().toCompletableFuture().join())
			.map((stored) -> stored.value())
			.map(Placements::byOrganisation)
			.orElse(Map.of());
	}

	private HttpReply apply(String plan, VersionedValue<EvacuationState> stored, SheetOutcome.Applied applied,
			Change change) {
		WriteOutcome<EvacuationState> written = this.plans.store(plan)
			.write(stored, applied.state(), change.mark())
			.toCompletableFuture()
			.join();
		return (written instanceof WriteOutcome.Written) ? reply(applied) : this.plans.writeReply(written);
	}

	private static HttpReply errors(List<SheetError> errors) {
		return HttpReply.ofJson(ErrorCode.BAD_SHEET.httpStatus(),
				EvacuationJson.write(new Errors(ErrorCode.BAD_SHEET.text(), errors)));
	}

	private static HttpReply reply(SheetOutcome outcome) {
		if (outcome instanceof SheetOutcome.Applied applied) {
			return HttpReply.ofJson(OK, EvacuationJson.write(new Accepted("accepted", applied.risks())));
		}
		if (outcome instanceof SheetOutcome.Unchanged) {
			return HttpReply.ofJson(OK, EvacuationJson.write(new Accepted("unchanged", List.of())));
		}
		if (outcome instanceof SheetOutcome.StaleDate stale) {
			return ErrorReply.ofNotRun(ErrorCode.STALE_SHEET, "the sheet has the date " + stale.sheetDate()
					+ ", but the sheet of " + stale.appliedDate() + " has already been applied");
		}
		if (outcome instanceof SheetOutcome.Contradicted contradicted) {
			return ErrorReply.ofNotRun(ErrorCode.PLAN_CONTRADICTED, contradicted.contradictions().toString());
		}
		return ErrorReply.ofNotRun(ErrorCode.PLAN_CONTRADICTED, outcome.toString());
	}

	/**
	 * The response to a sheet with errors.
	 *
	 * @param code the stable error code
	 * @param errors all errors found in the sheet
	 */
	record Errors(String code, List<SheetError> errors) {
	}

	/**
	 * The response to a sheet without errors.
	 *
	 * @param result {@code accepted} or {@code unchanged}
	 * @param risks the risks that the operator accepted
	 */
	record Accepted(String result, List<String> risks) {
	}

}
