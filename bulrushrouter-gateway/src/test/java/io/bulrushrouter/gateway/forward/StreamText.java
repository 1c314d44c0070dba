package io.bulrushrouter.gateway.forward;

/**
 * Event streams as text, as an upstream writes them and as a caller receives them.
 */
final class StreamText {

	private StreamText() {
	}

	static String event(int id) {
		return "id: " + id + "\ndata: e" + id + "\n\n";
	}

	static String chunk(String text) {
		return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
	}

	/**
	 * Returns the events of a response.
	 * @param response the head and the chunks
	 * @return the content of the chunks
	 */
	static String events(String response) {
		return response.substring(response.indexOf("\r\n\r\n") + 4)
			.replaceAll("(?m)^[0-9a-f]+\r\n", "")
			.replace("\r\n", "");
	}

}
