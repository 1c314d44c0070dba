package io.bulrushrouter.gateway.config;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The published performance characteristics of a service's model engines.
 *
 * @param slots the number of requests that one engine runs concurrently
 * @param stepMillis the duration of one decoding step with an empty batch, in
 * milliseconds
 * @param stepMillisPerSequence the time that each running request adds to a decoding
 * step, in milliseconds
 * @param prefillTokensPerSecond the prefill rate, in prompt tokens per second
 * @param stepsPerPass the number of decoding steps in one forward pass of a group
 * @param meanPromptTokens the mean length of a prompt, in tokens
 * @param meanAnswerTokens the mean length of an answer, in tokens
 * @param kvCapacityTokens the tokens of prompts and answers that the memory of one engine
 * holds, empty if it is not published
 * @param experts the characteristics of the model's experts, or empty if it has none
 */
public record EngineSpec(int slots, double stepMillis, double stepMillisPerSequence, double prefillTokensPerSecond,
		int stepsPerPass, int meanPromptTokens, int meanAnswerTokens, OptionalLong kvCapacityTokens,
		Optional<ExpertSpec> experts) {

	/**
	 * Returns the length of a pass without any stream, which no decision on admission can
	 * reduce.
	 * @return the time in milliseconds
	 */
	public double fixedPassMillis() {
		return this.stepsPerPass * this.stepMillis;
	}

}
