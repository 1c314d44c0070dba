package io.bulrushrouter.daemon.cli;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * The commands that call the administration API.
 */
final class AdminCommands {

	/** The environment variable that holds the operator's key. */
	static final String KEY_VARIABLE = "BULRUSHROUTER_KEY";

	private AdminCommands() {
	}

	static List<Command> all() {
		return List.of(
				new Command("status", "print an entry's status", AdminCommands::statusArguments, AdminCommands::status),
				new Command("plan", "create, show, change or cancel an evacuation plan", AdminCommands::planArguments,
						AdminCommands::plan),
				new Command("sheet", "check or apply a morning sheet, or report the progress of its plan",
						AdminCommands::sheetArguments, AdminCommands::sheet),
				new Command("configuration", "show or accept the configuration", AdminCommands::configurationArguments,
						AdminCommands::configuration));
	}

	private static void statusArguments(Subparser parser) {
		entryArguments(parser);
	}

	private static void entryArguments(Subparser parser) {
		parser.addArgument("--entry")
			.setDefault("http://127.0.0.1:8081")
			.metavar("URL")
			.help("the address of an entry's operator endpoint; the key is read from " + KEY_VARIABLE);
		parser.addArgument("--json").action(Arguments.storeTrue()).help("print the response as JSON");
	}

	private static void planArguments(Subparser parser) {
		parser.addArgument("verb").choices("create", "show", "change", "cancel").help("the action");
		parser.addArgument("plan").help("the plan's name");
		parser.addArgument("file").nargs("?").help("the plan as JSON, for create and change");
		parser.addArgument("--version-seen")
			.type(Long.class)
			.metavar("N")
			.help("the version that the change is based on");
		parser.addArgument("--reason").setDefault("").help("the reason, recorded with the change");
		entryArguments(parser);
	}

	private static void sheetArguments(Subparser parser) {
		parser.addArgument("verb").choices("check", "apply", "report").help("the action");
		parser.addArgument("plan").help("the plan's name");
		parser.addArgument("file").nargs("?").help("the sheet as CSV, for check and apply");
		parser.addArgument("--date-order")
			.choices("iso", "day-month-year", "month-day-year")
			.setDefault("iso")
			.help("the order of day, month and year in dates");
		parser.addArgument("--accept-risk")
			.action(Arguments.storeTrue())
			.help("apply even if the sheet contradicts the plan or leaves too little capacity");
		parser.addArgument("--reason").setDefault("").help("the reason, recorded with the change");
		parser.addArgument("--html").action(Arguments.storeTrue()).help("print the report as an HTML page");
		entryArguments(parser);
	}

	private static void configurationArguments(Subparser parser) {
		parser.addArgument("verb").choices("show", "accept").help("the action");
		parser.addArgument("file").nargs("?").help("the configuration as JSON, for accept");
		parser.addArgument("--version-seen")
			.type(Long.class)
			.metavar("N")
			.help("the version that the change is based on");
		entryArguments(parser);
	}

	private static int status(Namespace arguments) {
		return call(arguments, "GET", "status", Map.of(), new byte[0]);
	}

	private static int plan(Namespace arguments) {
		String path = "plans/" + arguments.getString("plan");
		return switch (arguments.getString("verb")) {
			case "show" -> call(arguments, "GET", path, Map.of(), new byte[0]);
			case "create" -> call(arguments, "PUT", path, withReason(arguments, Map.of("If-None-Match", "*")),
					fileContent(arguments));
			case "change" ->
				call(arguments, "PUT", path, withReason(arguments, versionHeader(arguments)), fileContent(arguments));
			default -> call(arguments, "DELETE", path, withReason(arguments, versionHeader(arguments)), new byte[0]);
		};
	}

	private static int sheet(Namespace arguments) {
		String path = "plans/" + arguments.getString("plan");
		if (arguments.getString("verb").equals("report")) {
			String format = arguments.getBoolean("html") ? "html" : (arguments.getBoolean("json") ? "json" : "table");
			return call(arguments, "GET", path + "/report?format=" + format, Map.of(), new byte[0]);
		}
		String query = "/sheet?date-order=" + arguments.getString("date_order") + "&accept-risk="
				+ arguments.getBoolean("accept_risk") + "&check=" + arguments.getString("verb").equals("check");
		return call(arguments, "POST", path + query, withReason(arguments, Map.of()), fileContent(arguments));
	}

	private static int configuration(Namespace arguments) {
		if (arguments.getString("verb").equals("show")) {
			return call(arguments, "GET", "configuration", Map.of(), new byte[0]);
		}
		return call(arguments, "PUT", "configuration", versionHeader(arguments), fileContent(arguments));
	}

	private static Map<String, String> withReason(Namespace arguments, Map<String, String> otherHeaders) {
		Map<String, String> headers = new LinkedHashMap<>(otherHeaders);
		headers.put("X-Reason", arguments.getString("reason"));
		return headers;
	}

	private static Map<String, String> versionHeader(Namespace arguments) {
		Long version = arguments.getLong("version_seen");
		return (version != null) ? Map.of("If-Match", "\"" + version + "\"") : Map.of("If-None-Match", "*");
	}

	private static byte[] fileContent(Namespace arguments) {
		return Optional.ofNullable(arguments.getString("file"))
			.map(Path::of)
			.map(CommandFiles::read)
			.orElseThrow(() -> new BulrushException(ErrorCode.BAD_SETTINGS, "the file argument is missing"));
	}

	private static int call(Namespace arguments, String method, String path, Map<String, String> headers, byte[] body) {
		String key = Optional.ofNullable(System.getenv(KEY_VARIABLE))
			.orElseThrow(() -> new BulrushException(ErrorCode.BAD_SETTINGS, KEY_VARIABLE + " is not set"));
		AdminClient.Reply reply = AdminClient.call(arguments.getString("entry"), key, method, path, headers, body);
		String text = new String(reply.body(), StandardCharsets.UTF_8);
		reply.version().ifPresent((version) -> System.err.println("version " + version));
		(reply.isSuccess() ? System.out : System.err).println(text.stripTrailing());
		return reply.isSuccess() ? ExitCode.DONE : ExitCode.FAILED;
	}

}
