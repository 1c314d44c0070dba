package io.bulrushrouter.gateway.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * The page that explains where a request would go now.
 */
final class ExplainPage {

	/** The path of the page at the metrics address. */
	private static final String PATH = "/explain";

	private final Function<Map<String, String>, List<String>> explainer;

	/**
	 * Creates the page.
	 * @param explainer returns the lines of an explanation for the parameters of a query,
	 * or throws {@link IllegalArgumentException} if they are not valid
	 */
	ExplainPage(Function<Map<String, String>, List<String>> explainer) {
		this.explainer = explainer;
	}

	static boolean matches(String uri) {
		return uri.startsWith(PATH + "?") || uri.equals(PATH);
	}

	StatusServer.Page page(String uri) {
		try {
			Map<String, String> query = new HashMap<>();
			new QueryStringDecoder(uri).parameters().forEach((name, values) -> query.put(name, values.get(0)));
			return new StatusServer.Page(200, String.join("\n", this.explainer.apply(query)) + "\n");
		}
		catch (IllegalArgumentException ex) {
			return new StatusServer.Page(400, ex.getMessage() + "\n");
		}
	}

}
