/**
 * The prompt tokens that a server has yet to compute for this gateway.
 *
 * A prompt's first token arrives some time after its prefill is done, as it has
 * to be generated and sent. Counting all tokens until then would make a server
 * that computes short prompts one after the other look several times as busy as
 * it is. So the tokens are drained as predicted; those of a prompt that is still
 * without its first token long after count again, as the server is slower than
 * predicted.
 */

/** One prompt, from its sending to its first token. */
interface PendingPrompt {
  readonly tokens: number;
  /** When the server is predicted to begin with it, monotonic milliseconds. */
  readonly startAt: number;
  /** When its prefill is predicted to be done, monotonic milliseconds. */
  readonly doneAt: number;
}

/**
 * Time after the predicted end of a prefill within which the first token is
 * expected, milliseconds: a step of a full batch and two ways between zones.
 */
const FIRST_TOKEN_DELAY_MS = 150;

/** The prompts of one server that are without their first token. */
export class PendingPrefill {
  readonly #prompts = new Set<PendingPrompt>();

  /**
   * @param tokens prompt tokens to compute
   * @param startAt predicted begin of their prefill, monotonic milliseconds
   * @param doneAt predicted end of their prefill, monotonic milliseconds
   * @returns a function that removes the prompt
   */
  add(tokens: number, startAt: number, doneAt: number): () => void {
    // Each choice of a server sums them up, and plain services have none.
    if (tokens <= 0) return () => undefined;
    const prompt = {tokens, startAt, doneAt};
    this.#prompts.add(prompt);
    return () => {
      this.#prompts.delete(prompt);
    };
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns tokens that are not computed yet, as predicted
   */
  tokensAt(now: number): number {
    let tokens = 0;
    for (const prompt of this.#prompts) tokens += remainingTokens(prompt, now);
    return tokens;
  }
}

function remainingTokens(
  {tokens, startAt, doneAt}: PendingPrompt,
  now: number,
): number {
  if (now <= startAt || now > doneAt + FIRST_TOKEN_DELAY_MS) return tokens;
  if (now >= doneAt) return 0;
  return (tokens * (doneAt - now)) / (doneAt - startAt);
}
