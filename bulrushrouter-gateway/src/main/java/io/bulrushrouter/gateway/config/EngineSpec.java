package io.bulrushrouter.gateway.config;

import java.util.Optional;

/**
 * The published figures of a service's model engines.
 *
 * @param slots the requests that run at once on one engine
 * @param stepMillis the time of one token step of an empty batch, in milliseconds
 * @param stepMillisPerSequence what each running request adds to a step, in milliseconds
 * @param prefillTokensPerSecond the rate at which prompts are read
 * @param stepsPerPass the token steps of one pass
 * @param meanPromptTokens the mean prompt
 * @param meanAnswerTokens the mean answer
 * @param experts the figures of its experts, or empty if it has none
 */
public record EngineSpec(int slots, double stepMillis, double stepMillisPerSequence, double prefillTokensPerSecond,
		int stepsPerPass, int meanPromptTokens, int meanAnswerTokens, Optional<ExpertSpec> experts) {
}
