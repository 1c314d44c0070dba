package io.bulrushrouter.evacuation.report;

import java.io.StringReader;
import java.time.LocalDateTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import javax.xml.parsers.DocumentBuilderFactory;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.xml.sax.InputSource;

import io.bulrushrouter.evacuation.EndState;
import io.bulrushrouter.evacuation.EvacuationJson;
import io.bulrushrouter.evacuation.EvacuationState;
import io.bulrushrouter.evacuation.FleetUpstream;
import io.bulrushrouter.evacuation.Placement;
import io.bulrushrouter.evacuation.ProgressPoint;
import io.bulrushrouter.evacuation.ShortfallReason;
import io.bulrushrouter.evacuation.TestFleet;
import io.bulrushrouter.evacuation.UpstreamIntent;
import io.bulrushrouter.evacuation.reconcile.Observation;
import io.bulrushrouter.evacuation.reconcile.ObservedUpstream;
import io.bulrushrouter.evacuation.reconcile.Phase;
import io.bulrushrouter.evacuation.reconcile.ReconcilePolicy;
import io.bulrushrouter.evacuation.reconcile.Reconciler;
import io.bulrushrouter.evacuation.reconcile.Step;
import io.bulrushrouter.kernel.UpstreamId;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ShortfallReport}.
 */
class ShortfallReportTests {

	private static final UpstreamId BOOKING = UpstreamId.of("booking-old");

	private static final LocalDateTime STOP = TestFleet.DAY.atTime(14, 0);

	private static ShortfallReport report(ObservedUpstream booking, boolean storeUp, LocalDateTime now) {
		UpstreamIntent intent = new UpstreamIntent(BOOKING, EndState.GONE, Optional.of(STOP));
		EvacuationState state = new EvacuationState(TestFleet.plan(), Optional.of(TestFleet.DAY), "x", List.of(intent),
				List.of(new Placement(TestFleet.FIRST, TestFleet.NEW)), List.of(), List.of("line 4: <risk>"),
				List.of());
		List<ObservedUpstream> observedUpstreams = new ArrayList<>();
		TestFleet.FLEET.upstreams()
			.stream()
			.map(FleetUpstream::id)
			.filter((id) -> !id.equals(BOOKING))
			.forEach((id) -> observedUpstreams.add(new ObservedUpstream(id, Phase.RUNNING, 0, Optional.empty())));
		observedUpstreams.add(booking);
		Observation up = Observation.of(observedUpstreams,
				Map.of(TestFleet.FIRST, TestFleet.NEW, TestFleet.SECOND, TestFleet.NEW));
		Observation observed = storeUp ? up : up.withStoreDown();
		List<Step> steps = Reconciler.of(TestFleet.FLEET, ReconcilePolicy.ofDefaults()).steps(state, observed, now, 1);
		List<ProgressPoint> progress = List.of(new ProgressPoint(TestFleet.DAY.atTime(8, 0), 3));
		return ShortfallReport.of(new ReportInput(state, TestFleet.FLEET, observed, steps, now, progress),
				ForecastSettings.ofDefaults());
	}

	private static ObservedUpstream booking(Phase phase, int inFlight, String refusal) {
		return new ObservedUpstream(BOOKING, phase, inFlight, Optional.ofNullable(refusal));
	}

	static Stream<Arguments> situations() {
		return Stream.of(
				Arguments.of(booking(Phase.RUNNING, 3, null), true, STOP.minusHours(2), "on-the-way", "on-the-way", ""),
				Arguments.of(booking(Phase.LEAVING, 3, null), true, STOP, "short", "on-the-way", "requests-running"),
				Arguments.of(booking(Phase.LEAVING, 3, null), true, TestFleet.DAY.atTime(23, 58), "short", "short",
						"requests-running"),
				Arguments.of(booking(Phase.LEAVING, 0, "busy"), true, STOP, "short", "short", "engine-refuses"),
				Arguments.of(booking(Phase.RUNNING, 0, null), false, STOP, "short", "short", "store-down"),
				Arguments.of(booking(Phase.STOPPED, 0, null), true, STOP, "met", "met", ""));
	}

	@ParameterizedTest
	@MethodSource("situations")
	void reportsStatusAndReasonOfALine(ObservedUpstream booking, boolean storeUp, LocalDateTime now, String nowStatus,
			String laterStatus, String reason) {
		ShortfallReport report = report(booking, storeUp, now);
		for (Horizon horizon : Horizon.values()) {
			ReportLine line = line(report, horizon, "upstream/booking-old");
			assertThat(line.status().text()).isEqualTo((horizon == Horizon.NOW) ? nowStatus : laterStatus);
			assertThat(line.reason().map(ShortfallReason::text).orElse("")).isEqualTo(reason);
			if (line.status() == LineStatus.ON_THE_WAY) {
				assertThat(line.forecast()).isPresent();
			}
		}
	}

	private static ReportLine line(ShortfallReport report, Horizon horizon, String subject) {
		return report.lines(horizon)
			.stream()
			.filter((line) -> line.subject().equals(subject))
			.findFirst()
			.orElseThrow();
	}

	@Test
	void reportsAUnitMissingFromTheLastSheetAsShort() {
		ShortfallReport report = report(booking(Phase.STOPPED, 0, null), true, STOP);
		ReportLine group = line(report, Horizon.PLAN_DATE, "group/g-old");
		assertThat(group.status()).isEqualTo(LineStatus.SHORT);
		assertThat(group.reason()).isEqualTo(Optional.of(ShortfallReason.NOT_IN_SHEET));
		assertThat(line(report, Horizon.NOW, "organisation/zeta").status()).isEqualTo(LineStatus.MET);
		assertThat(report.remaining()).isEqualTo(2);
	}

	@Test
	void writesTableAndJson() {
		ShortfallReport report = report(booking(Phase.LEAVING, 0, "busy"), true, STOP);
		assertThat(report.toTable()).contains("accepted risk: line 4: <risk>");
		assertThat(report.toTable()).contains("now: 1 met, 0 on the way, 1 short");
		assertThat(EvacuationJson.read(report.toJson().getBytes(), ShortfallReport.class)).isEqualTo(report);
	}

	@Test
	void writesAPageThatNeedsNoNetwork() throws Exception {
		String page = report(booking(Phase.LEAVING, 0, "<b onclick=\"x\">busy & \u0142"), true, STOP).toHtml();
		assertThat(page).doesNotContainMatch("src=|href=|http:|https:|@import|<script|<b ");
		assertThat(page).contains("<svg");
		String body = page.substring(page.indexOf("<body>"), page.indexOf("</body>") + "</body>".length());
		assertThat(DocumentBuilderFactory.newInstance()
			.newDocumentBuilder()
			.parse(new InputSource(new StringReader(body)))
			.getElementsByTagName("path")
			.getLength()).isEqualTo(2);
	}

}
