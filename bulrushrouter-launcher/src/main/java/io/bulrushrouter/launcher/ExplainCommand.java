package io.bulrushrouter.launcher;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Asks an entry where a request would go now, and why, and prints the answer. The request
 * is not sent.
 */
final class ExplainCommand {

	/** The name of the command. */
	static final String NAME = "explain";

	/** Exit code if the arguments are invalid or the entry does not answer. */
	private static final int FAILURE = 2;

	/** Time for an answer of the entry, whose event loop may be busy. */
	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	/** The parameters of the query, which are named like the options. */
	private static final List<String> PARAMETERS = List.of("host", "path", "key", "organisation", "priority",
			"prompt-tokens", "returning");

	private ExplainCommand() {
	}

	/**
	 * Runs the command.
	 * @param args the command line arguments after the name of the command
	 * @param out where the answer is printed
	 * @return the exit code
	 */
	static int run(String[] args, PrintStream out) {
		ArgumentParser parser = parser();
		try {
			Namespace arguments = parser.parseArgs(args);
			HttpResponse<String> response = HttpClient.newHttpClient()
				.send(HttpRequest.newBuilder(uri(arguments)).timeout(TIMEOUT).build(),
						HttpResponse.BodyHandlers.ofString());
			out.print(response.body());
			return (response.statusCode() == 200) ? 0 : FAILURE;
		}
		catch (ArgumentParserException ex) {
			parser.handleError(ex);
		}
		catch (IllegalArgumentException | IOException ex) {
			out.println("the entry cannot be asked: " + ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return FAILURE;
	}

	private static ArgumentParser parser() {
		ArgumentParser parser = ArgumentParsers.newFor("bulrushrouter " + NAME)
			.build()
			.description("Explains where an entry would send a request now, and why, without sending it.");
		parser.addArgument("--entry").metavar("HOST:PORT").required(true).help("the address of the entry's metrics");
		parser.addArgument("--host").required(true).help("the host that the request names");
		parser.addArgument("--path").required(true).help("the path of the request");
		parser.addArgument("--key").help("the caller's key");
		parser.addArgument("--organisation").help("the organisation, instead of its key");
		parser.addArgument("--priority").type(Integer.class).help("the priority, instead of the configured one");
		parser.addArgument("--prompt-tokens").type(Integer.class).help("the length of the prompt, in tokens");
		parser.addArgument("--returning")
			.action(Arguments.storeTrue())
			.help("the caller returns after a refusal or a broken stream");
		return parser;
	}

	static URI uri(Namespace arguments) {
		String query = PARAMETERS.stream().map((name) -> {
			Object value = arguments.get(name.replace('-', '_'));
			return (value != null) ? name + "=" + URLEncoder.encode(value.toString(), StandardCharsets.UTF_8) : null;
		}).filter(Objects::nonNull).collect(Collectors.joining("&"));
		return URI.create("http://" + arguments.getString("entry") + "/explain?" + query);
	}

}
