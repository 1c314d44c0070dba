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
 * Creates, shows, changes and cancels evacuation plans. Each change is one conditional
 * update that keeps who made it, when and why.
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

	HttpReply act(AdminAct act, String plan, String part) {
		if (part.equals("sheet") && act.is("POST")) {
			return this.sheets.act(act, plan);
		}
		if (part.equals("report") && act.is("GET")) {
			return this.reports.act(act, plan);
		}
		if (!part.isEmpty()) {
			throw new BulrushException(ErrorCode.NOT_FOUND, "no such path: " + act.exchange().path());
		}
		return switch (act.exchange().method()) {
			case "GET" -> shown(load(plan), OK);
			case "PUT" -> put(act, plan);
			case "DELETE" -> cancel(act, plan);
			default -> throw act.wrongMethod();
		};
	}

	Fleet fleet() {
		return Inventories.of(this.context.requireInForce().configuration());
	}

	VersionedValue<EvacuationState> load(String plan) {
		return find(plan)
			.orElseThrow(() -> new BulrushException(ErrorCode.NOT_FOUND, "there is no plan named " + plan));
	}

	private Optional<VersionedValue<EvacuationState>> find(String plan) {
		return found(store(plan).read().toCompletableFuture().join());
	}

	static <T> Optional<VersionedValue<T>> found(ReadOutcome<T> loaded) {
		if (loaded instanceof ReadOutcome.Unavailable<T> unavailable) {
			throw new BulrushException(ErrorCode.STORE_UNAVAILABLE, unavailable.reason());
		}
		return (loaded instanceof ReadOutcome.Found<T> found) ? Optional.of(found.object()) : Optional.empty();
	}

	EvacuationStore store(String plan) {
		return EvacuationStore.of(this.context.store(), plan);
	}

	Change change(AdminAct act, String what) {
		return new Change(this.context.marks().get(), act.operator().name(), this.context.clock().instant(),
				act.reason(), what);
	}

	private HttpReply put(AdminAct act, String name) {
		EvacuationPlan plan = EvacuationJson.read(act.exchange().body(), EvacuationPlan.class);
		check(act, name, plan);
		if (act.expectedVersion().isEmpty()) {
			return create(act, name, plan);
		}
		VersionedValue<EvacuationState> read = seen(act, load(name));
		check(act, name, read.value().plan());
		Change change = change(act, "plan changed");
		return written(store(name).write(read, read.value().withPlan(plan, change), change.mark())
			.toCompletableFuture()
			.join());
	}

	private HttpReply create(AdminAct act, String name, EvacuationPlan plan) {
		LeaseHolderStore.ofPlacements(this.context.store(), name)
			.create(Placements.of(0, Map.of()), this.context.marks().get())
			.toCompletableFuture()
			.join();
		EvacuationState state = EvacuationState.of(plan, change(act, "plan created"));
		WriteOutcome<EvacuationState> outcome = store(name).create(state).toCompletableFuture().join();
		HttpReply reply = written(outcome);
		return (outcome instanceof WriteOutcome.Written)
				? new HttpReply(CREATED, reply.contentType(), reply.headers(), reply.body()) : reply;
	}

	private HttpReply cancel(AdminAct act, String name) {
		VersionedValue<EvacuationState> read = seen(act, load(name));
		check(act, name, read.value().plan());
		Change change = change(act, "plan cancelled");
		EvacuationPlan cancelled = read.value().plan().toBuilder().cancelled(true).build();
		return written(store(name).write(read, read.value().withPlan(cancelled, change), change.mark())
			.toCompletableFuture()
			.join());
	}

	private static VersionedValue<EvacuationState> seen(AdminAct act, VersionedValue<EvacuationState> read) {
		long expected = act.expectedVersion()
			.orElseThrow(() -> new BulrushException(ErrorCode.BAD_REQUEST, "If-Match must name the version"));
		return new VersionedValue<>((expected == read.version()) ? expected : Write.ABSENT, read.value());
	}

	private void check(AdminAct act, String name, EvacuationPlan plan) {
		if (!plan.name().equals(name)) {
			throw new BulrushException(ErrorCode.BAD_REQUEST, "the plan's name is not " + name);
		}
		List<PlanError> errors = plan.validate(fleet());
		if (!errors.isEmpty()) {
			throw new BulrushException(ErrorCode.BAD_REQUEST, errors.toString());
		}
		Set<Target> targets = new HashSet<>(plan.departures().stream().map(Departure::target).toList());
		targets.addAll(plan.stops().stream().map(PlannedStop::target).toList());
		targets.forEach((target) -> requireScope(act, target));
		plan.organisations().forEach((organisation) -> requireScope(act, organisation));
	}

	void requireScope(AdminAct act, Target target) {
		fleet().members(target).forEach((member) -> {
			if (!act.operator().mayTouchUpstream(member.id().value())) {
				throw new BulrushException(ErrorCode.FORBIDDEN,
						act.operator().name() + " may not touch " + member.id());
			}
		});
	}

	void requireScope(AdminAct act, OrganisationId organisation) {
		if (!act.operator().mayTouchOrganisation(organisation.value())) {
			throw new BulrushException(ErrorCode.FORBIDDEN, act.operator().name() + " may not touch " + organisation);
		}
	}

	HttpReply written(WriteOutcome<EvacuationState> outcome) {
		if (outcome instanceof WriteOutcome.Written<EvacuationState> written) {
			return shown(written.object(), OK);
		}
		if (outcome instanceof WriteOutcome.Conflict<EvacuationState> conflict) {
			return ErrorReply.ofNotRun(ErrorCode.CONFLICT, "version " + conflict.current().version()
					+ " is there now; it differs in: " + String.join("; ", conflict.difference()));
		}
		if (outcome instanceof WriteOutcome.Unknown<EvacuationState> undecided) {
			return ErrorReply.of(Verdict.ofMayHaveRun(ErrorCode.STORE_UNAVAILABLE), undecided.reason(), 0);
		}
		return ErrorReply.ofNotRun(ErrorCode.STORE_UNAVAILABLE, outcome.toString());
	}

	private static HttpReply shown(VersionedValue<EvacuationState> stored, int status) {
		return HttpReply.ofJson(status, EvacuationJson.write(stored.value()))
			.withHeader("ETag", "\"" + stored.version() + "\"");
	}

}
