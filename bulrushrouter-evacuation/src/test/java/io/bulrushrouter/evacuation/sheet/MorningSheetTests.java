package io.bulrushrouter.evacuation.sheet;

import java.nio.charset.StandardCharsets;
import java.time.LocalTime;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import io.bulrushrouter.evacuation.Demand;
import io.bulrushrouter.evacuation.Fleet;
import io.bulrushrouter.evacuation.FleetUpstream;
import io.bulrushrouter.evacuation.TestFleet;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.UpstreamId;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link MorningSheet}.
 */
class MorningSheetTests {

	private static final String HEADER = "date,kind,name,state,stop-hour,to,note\n";

	private static final SheetFormat DAY_FIRST = SheetFormat.of(DateOrder.DAY_MONTH_YEAR);

	private static SheetParseResult parse(String text) {
		return MorningSheet.parse(text.getBytes(StandardCharsets.UTF_8), DAY_FIRST, TestFleet.FLEET);
	}

	private static MorningSheet sheet(String text) {
		SheetParseResult result = parse(text);
		assertThat(result).isInstanceOf(SheetParseResult.Parsed.class);
		return ((SheetParseResult.Parsed) result).sheet();
	}

	private static List<String> positions(SheetParseResult result) {
		return ((SheetParseResult.Rejected) result).errors()
			.stream()
			.map((error) -> error.line() + ":" + error.column())
			.toList();
	}

	static Stream<Arguments> equivalentFiles() {
		String plain = TestFleet.sheet();
		String semicolons = plain.replace("\"both ranks, together\"", "x").replace(',', ';');
		return Stream.of(Arguments.of("byte order mark", "\uFEFF" + plain), Arguments.of("semicolons", semicolons),
				Arguments.of("CRLF", plain.replace("\n", "\r\n")),
				Arguments.of("CR only in quotes", plain.replace("both ranks,", "both\r\nranks;")),
				Arguments.of("quoted cells", plain.replace("booking-old", "\"booking-old\"")),
				Arguments.of("doubled quotes", plain.replace("both ranks", "\"\"both\"\" ranks")),
				Arguments.of("spaces", plain.replace(",gone", " , gone ")),
				Arguments.of("local dates", plain.replace("2026-11-02", "2. 11. 2026")),
				Arguments.of("slashes", plain.replace("2026-11-02", "02/11/2026")),
				Arguments.of("upper case", plain.replace("gone", "GONE").replace("date,kind", "Date,Kind")),
				Arguments.of("blank lines", plain.replace("\n,end", "\n\n,,,,,,\n,end")),
				Arguments.of("no last line break", plain.stripTrailing()), Arguments.of("all", "\uFEFF"
						+ semicolons.replace("\n", "\r\n").replace("2026-11-02", "\"2.11.2026\"").stripTrailing()));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("equivalentFiles")
	void readsEquivalentFilesAsTheSameSheet(String name, String text) {
		MorningSheet sheet = sheet(text);
		assertThat(sheet.date()).isEqualTo(TestFleet.DAY);
		assertThat(sheet.rows()).hasSize(4);
		assertThat(sheet.digest()).isEqualTo(sheet(TestFleet.sheet()).digest());
		SheetRow.Departure group = sheet.rows(SheetRow.Departure.class).get(0);
		assertThat(group.stopHour()).isEqualTo(Optional.of(LocalTime.of(14, 0)));
	}

	@Test
	void digestDiffersWhereTheContentDoes() {
		String other = TestFleet.sheet().replace("14:00", "14:01");
		assertThat(sheet(other).digest()).isNotEqualTo(sheet(TestFleet.sheet()).digest());
	}

	static Stream<Arguments> malformedFiles() {
		String row = "2026-11-02,upstream,booking-old,gone,,,\n";
		return Stream.of(malformed("", "1:1"), malformed(HEADER, "2:1"), malformed(HEADER + ",end,0,,,,\n", "3:1"),
				malformed(HEADER + row, "3:1"), malformed(HEADER + row + ",end,2,,,,\n", "3:3"),
				malformed(HEADER + row + ",end,1,,,,\n" + row, "4:2"),
				malformed(HEADER + row + row + ",end,2,,,,\n", "3:3"),
				malformed("date,kind,name,colour,state,state,to,note\n" + row, "1:4", "1:6", "1:9"),
				malformed(HEADER + row.substring(0, 30), "2:4", "3:1"),
				malformed(HEADER + row.replace("booking-old", "\"booking-old"), "2:1"),
				malformed(HEADER + "2026-11-31,upstream,nowhere,asleep,,,\n,end,1,,,,\n", "2:1", "2:3", "2:4"),
				malformed(HEADER + "2026-11-02,upstream,rank-0-old,gone,,,\n,end,1,,,,\n", "2:3"),
				malformed(HEADER + "2026-11-02,upstream,booking-old,leaving,25:00,new,\n,end,1,,,,\n", "2:5", "2:6"),
				malformed(HEADER + "2026-11-02,upstream,booking-old,gone,25:00,,\n,end,1,,,,\n", "2:5"),
				malformed(HEADER + "2026-11-02,organisation,omega,gone,9:00,mars,\n,end,1,,,,\n", "2:3", "2:4", "2:5",
						"2:6"),
				malformed(HEADER + "2026-11-02,galaxy,booking-old,gone,,,\n,end,1,,,,\n", "2:2"),
				malformed(HEADER + row + "03/11/2026,group,g-old,gone,,,\n,end,2,,,,\n", "3:1"),
				malformed(HEADER + row.replace(",,,", ",,,a,b") + ",end,1,,,,\n", "2:8"),
				malformed(HEADER + row.replace(",,,\n", ",,,\uFFFD\n") + ",end,1,,,,\n", "2:7"),
				malformed(
						"note,date,kind,name,state,stop-hour,to\n\"two\nlines\",2026-11-02,upstream,x,gone,,\n,,end,1,,,\n",
						"3:4"));
	}

	private static Arguments malformed(String text, String... places) {
		return Arguments.of(text, List.of(places));
	}

	@ParameterizedTest
	@MethodSource("malformedFiles")
	void reportsEveryErrorWithLineAndColumn(String text, List<String> places) {
		assertThat(positions(parse(text))).containsExactlyElementsIn(places).inOrder();
	}

	@Test
	void rejectsAFileTruncatedAtAnyByte() {
		byte[] whole = TestFleet.sheet().stripTrailing().getBytes(StandardCharsets.UTF_8);
		int endRow = new String(whole, StandardCharsets.UTF_8).indexOf(",end,4") + ",end,4".length();
		for (int length = 0; length < endRow; length++) {
			byte[] cut = Arrays.copyOf(whole, length);
			assertThat(MorningSheet.parse(cut, DAY_FIRST, TestFleet.FLEET))
				.isInstanceOf(SheetParseResult.Rejected.class);
		}
	}

	@Test
	void readsTenThousandRowsAndReportsTheFirstBeyondTheLimit() {
		assertThat(((SheetParseResult.Parsed) parseLarge(10_000)).sheet().rows()).hasSize(10_000);
		assertThat(positions(parseLarge(10_001))).containsExactly("10002:1");
	}

	private static SheetParseResult parseLarge(int size) {
		List<FleetUpstream> upstreams = IntStream.range(0, size)
			.mapToObj((i) -> new FleetUpstream(UpstreamId.of("u" + i), TestFleet.OLD, ModelId.of("m"), Optional.empty(),
					1))
			.toList();
		Fleet fleet = Fleet.of(upstreams, List.of(new Demand(OrganisationId.of("o"), ModelId.of("m"), 1)));
		List<String> lines = new ArrayList<>();
		upstreams.forEach((upstream) -> lines.add("2026-11-02,upstream," + upstream.id() + ",gone,,,\n"));
		String text = HEADER + String.join("", lines) + ",end," + size + ",,,,\n";
		return MorningSheet.parse(text.getBytes(StandardCharsets.UTF_8), DAY_FIRST, fleet);
	}

	@Test
	void readsAmbiguousDatesInTheConfiguredOrder() {
		byte[] bytes = TestFleet.sheet().replace("2026-11-02", "11/02/2026").getBytes(StandardCharsets.UTF_8);
		SheetParseResult result = MorningSheet.parse(bytes, SheetFormat.of(DateOrder.MONTH_DAY_YEAR), TestFleet.FLEET);
		assertThat(((SheetParseResult.Parsed) result).sheet().date()).isEqualTo(TestFleet.DAY);
		assertThat(MorningSheet.parse(bytes, SheetFormat.of(DateOrder.ISO), TestFleet.FLEET))
			.isInstanceOf(SheetParseResult.Rejected.class);
	}

	@Property(seed = "1", tries = 2_000)
	void parsesOrRejectsArbitraryInput(@ForAll("files") String text) {
		SheetParseResult result = parse(text);
		if (result instanceof SheetParseResult.Rejected rejected) {
			assertThat(rejected.errors()).isNotEmpty();
		}
	}

	@Provide
	Arbitrary<String> files() {
		Arbitrary<String> parts = Arbitraries.of("2026-11-02", "upstream", "group", "organisation", "end",
				"booking-old", "g-old", "zeta", "gone", "moved", "14:00", "new", "1", ",", ",", ";", "\"", "\"\"", "\n",
				"\r\n", " ", "", "\uFEFF", "\u0000", "\uD800");
		Arbitrary<String> body = parts.list().ofMaxSize(40).map((list) -> String.join("", list));
		return Combinators.combine(Arbitraries.of("", HEADER, HEADER.replace(',', ';')), body).as(String::concat);
	}

}
