package io.bulrushrouter.gateway.forward;

import java.util.Optional;

/**
 * Opens the exchanges that serve requests.
 */
@FunctionalInterface
interface ExchangeFactory {

	/**
	 * Opens an exchange, or sends the response that refuses the request.
	 * @param request the request
	 * @param responseWriter writes the response
	 * @param onComplete runs when the exchange has ended
	 * @return the exchange, not started, or empty if the request was refused
	 */
	Optional<CallerExchange> open(CallerRequest request, ResponseWriter responseWriter, Runnable onComplete);

}
