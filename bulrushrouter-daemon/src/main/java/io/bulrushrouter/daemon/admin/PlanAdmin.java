package io.bulrushrouter.daemon.admin;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.bulrushrouter.daemon.evacuation.Inventories;
import io.bulrushrouter.daemon.node.ErrorReply;
import io.bulrushrouter.evacuation.Change;
import io.bulrushrouter.evacuation.Departure;
import io.bulrushrouter.evacuation.EvacuationJson;
import io.bulrushrouter.evacuation.EvacuationPlan;
import io.bulrushrouter.evacuation.EvacuationState;
import io.bulrushrouter.evacuation.EvacuationStore;
import io.bulrushrouter.evacuation.Fleet;
import io.bulrushrouter.evacuation.LeaseHolderStore;
import io.bulrushrouter.evacuation.Placements;
import io.bulrushrouter.evacuation.PlanError;
import io.bulrushrouter.evacuation.PlannedStop;
import io.bulrushrouter.evacuation.ReadOutcome;
import io.bulrushrouter.evacuation.Target;
import io.bulrushrouter.evacuation.VersionedValue;
import io.bulrushrouter.evacuation.WriteOutcome;
import io.bulrushrouter.http.HttpReply;
import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.Verdict;
import io.bulrushrouter.kernel.store.Write;

/**
 * Creates, returns, changes and cancels evacuation plans. Each change is a single
 * conditional write that also records who made it, when and why.
 */
final class PlanAdmin {

	private static final int OK = 200;

	private static final int CREATED = 201;

	private final AdminContext context;

	private final SheetAdmin sheets;

	private final ReportAdmin reports;

	PlanAdmin(AdminContext context) {
		this.context = context;
		this.sheets = new SheetAdmin(context, this);
		this.reports = new ReportAdmin(context, this);
	}

	HttpReply handle(AdminRequest request, String plan, String part) {
		if (part.equals("sheet") && request.hasMethod("POST")) {
			return this.sheets.handle(request, plan);
		}
		if (part.equals("report") && request.hasMethod("GET")) {
			return this.reports.handle(request, plan);
		}
		if (!part.isEmpty()) {
			throw new BulrushException(ErrorCode.NOT_FOUND, "no such path: " + request.exchange().path());
		}
		return switch (request.exchange().method()) {
			case "GET" -> planReply(load(plan), OK);
			case "PUT" -> put(request, plan);
			case "DELETE" -> cancel(request, plan);
			default -> throw request.unsupportedMethod();
		};
	}

	Fleet fleet() {
		return Inventories.of(this.context.requireActiveConfiguration().configuration());
	}

	VersionedValue<EvacuationState> load(String plan) {
		return find(plan)
			.orElseThrow(() -> new BulrushException(ErrorCode.NOT_FOUND, "there is no plan named " + plan));
	}

	private Optional<VersionedValue<EvacuationState>> find(String plan) {
		return requireAvailable(store(plan).read().toCompletableFuture().join());
	}

	static <T> Optional<VersionedValue<T>> requireAvailable(ReadOutcome<T> loaded) {
		if (loaded instanceof ReadOutcome.Unavailable<T> unavailable) {
			throw new BulrushException(ErrorCode.STORE_UNAVAILABLE, unavailable.reason());
		}
		return (loaded instanceof ReadOutcome.Found<T> found) ? Optional.of(found.object()) : Optional.empty();
	}

	EvacuationStore store(String plan) {
		return EvacuationStore.of(this.context.store(), plan);
	}

	Change newChange(AdminRequest request, String what) {
		return new Change(this.context.writeIds().get(), request.operator().name(), this.context.clock().instant(),
				request.reason(), what);
	}

	private HttpReply put(AdminRequest request, String name) {
		EvacuationPlan plan = EvacuationJson.read(request.exchange().body(), EvacuationPlan.class);
		validate(request, name, plan);
		if (request.expectedVersion().isEmpty()) {
			return create(request, name, plan);
		}
		VersionedValue<EvacuationState> stored = withExpectedVersion(request, load(name));
		validate(request, name, stored.value().plan());
		Change change = newChange(request, "plan changed");
		return writeReply(store(name).write(stored, stored.value().withPlan(plan, change), change.mark())
			.toCompletableFuture()
			.join());
	}

	private HttpReply create(AdminRequest request, String name, EvacuationPlan plan) {
		LeaseHolderStore.ofPlacements(this.context.store(), name)
			.create(Placements.of(0, Map.of()), this.context.writeIds().get())
			.toCompletableFuture()
			.join();
		EvacuationState state = EvacuationState.of(plan, newChange(request, "plan created"));
		WriteOutcome<EvacuationState> outcome = store(name).create(state).toCompletableFuture().join();
		HttpReply reply = writeReply(outcome);
		return (outcome instanceof WriteOutcome.Written)
				? new HttpReply(CREATED, reply.contentType(), reply.headers(), reply.body()) : reply;
	}

	private HttpReply cancel(AdminRequest request, String name) {
		VersionedValue<EvacuationState> stored = withExpectedVersion(request, load(name));
		validate(request, name, stored.value().plan());
		Change change = newChange(request, "plan cancelled");
		EvacuationPlan cancelled = stored.value().plan().toBuilder().cancelled(true).build();
		return writeReply(store(name).write(stored, stored.value().withPlan(cancelled, change), change.mark())
			.toCompletableFuture()
			.join());
	}

	private static VersionedValue<EvacuationState> withExpectedVersion(AdminRequest request,
			VersionedValue<EvacuationState> stored) {
		long expected = request.expectedVersion()
			.orElseThrow(() -> new BulrushException(ErrorCode.BAD_REQUEST,
					"the request must carry the plan's version in If-Match"));
		return new VersionedValue<>((expected == stored.version()) ? expected : Write.ABSENT, stored.value());
	}

	private void validate(AdminRequest request, String name, EvacuationPlan plan) {
		if (!plan.name().equals(name)) {
			throw new BulrushException(ErrorCode.BAD_REQUEST,
					"the plan in the body must have the name in the path: " + name);
		}
		List<PlanError> errors = plan.validate(fleet());
		if (!errors.isEmpty()) {
			throw new BulrushException(ErrorCode.BAD_REQUEST, errors.toString());
		}
		Set<Target> targets = new HashSet<>(plan.departures().stream().map(Departure::target).toList());
		targets.addAll(plan.stops().stream().map(PlannedStop::target).toList());
		targets.forEach((target) -> requireScope(request, target));
		plan.organisations().forEach((organisation) -> requireScope(request, organisation));
	}

	void requireScope(AdminRequest request, Target target) {
		fleet().members(target).forEach((member) -> {
			if (!request.operator().mayManageUpstream(member.id().value())) {
				throw new BulrushException(ErrorCode.FORBIDDEN,
						request.operator().name() + " may not manage " + member.id());
			}
		});
	}

	void requireScope(AdminRequest request, OrganisationId organisation) {
		if (!request.operator().mayManageOrganisation(organisation.value())) {
			throw new BulrushException(ErrorCode.FORBIDDEN,
					request.operator().name() + " may not manage " + organisation);
		}
	}

	HttpReply writeReply(WriteOutcome<EvacuationState> outcome) {
		if (outcome instanceof WriteOutcome.Written<EvacuationState> written) {
			return planReply(written.object(), OK);
		}
		if (outcome instanceof WriteOutcome.Conflict<EvacuationState> conflict) {
			return ErrorReply.ofNotRun(ErrorCode.CONFLICT, "version " + conflict.current().version()
					+ " is the current version; it differs in: " + String.join("; ", conflict.difference()));
		}
		if (outcome instanceof WriteOutcome.Unknown<EvacuationState> undecided) {
			return ErrorReply.of(Verdict.ofMayHaveRun(ErrorCode.STORE_UNAVAILABLE), undecided.reason(), 0);
		}
		return ErrorReply.ofNotRun(ErrorCode.STORE_UNAVAILABLE, outcome.toString());
	}

	private static HttpReply planReply(VersionedValue<EvacuationState> stored, int status) {
		return HttpReply.ofJson(status, EvacuationJson.write(stored.value()))
			.withHeader("ETag", "\"" + stored.version() + "\"");
	}

}
