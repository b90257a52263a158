/**
 * Validates an engine's events before they are forwarded as the answer to one
 * request. No I/O.
 */
import {type Failure, makeFailure, z} from '@lovagepond/core';
import {
  COMPLETION_ID_PREFIX,
  DONE_DATA,
  usageSchema,
} from './backend_engine_protocol.js';
import {type ServerSentEvent} from './backend_event_parser.js';
import {type EngineUsage} from './backend_model_engine.js';

/** The result of checking one event. */
export type AnswerVerdict =
  /** A comment, or an event without data. */
  | {readonly kind: 'skip'}
  | {readonly kind: 'pass'; readonly content: AnswerChunk}
  /** The end marker of a complete answer. */
  | {readonly kind: 'whole'}
  | {readonly kind: 'fail'; readonly failure: Failure};

const chunkSchema = z.looseObject({
  id: z.string(),
  choices: z
    .array(z.looseObject({finish_reason: z.string().nullish()}))
    .default([]),
  usage: usageSchema.nullish(),
});

/** One parsed event of an answer. */
export type AnswerChunk = z.infer<typeof chunkSchema>;

const SKIP: AnswerVerdict = {kind: 'skip'};

function fail(message: string): AnswerVerdict {
  return {kind: 'fail', failure: makeFailure('backendFailed', {message})};
}

function parseChunk(data: string): AnswerChunk | undefined {
  try {
    return chunkSchema.safeParse(JSON.parse(data)).data;
  } catch {
    return undefined;
  }
}

/** Checks the events of one request across all of its connections. */
export class AnswerCheck {
  readonly #requestId: string;
  #hasFinishReason = false;
  #usage: EngineUsage = {promptTokens: 0, cachedTokens: 0, answerTokens: 0};

  /** @param requestId the request whose answer is expected */
  constructor(requestId: string) {
    this.#requestId = requestId;
  }

  /** Token counts from the last event that contained them. */
  get usage(): EngineUsage {
    return this.#usage;
  }

  /**
   * @param event the next event
   * @returns whether to forward it, skip it, or end the answer
   */
  inspect(event: ServerSentEvent): AnswerVerdict {
    if (event.data === '') return SKIP;
    if (event.data === DONE_DATA) return this.#inspectEnd();
    if (event.name === 'error') return fail('The engine reported an error.');
    const chunk = parseChunk(event.data);
    if (!chunk) return fail('The engine sent an event that is no chunk.');
    // An engine, or a device in front of it, may mix up answers of two callers.
    // Only the id in each event identifies the request. A single event with
    // another id ends the answer, so that none of it reaches the wrong caller.
    if (!this.#isOwn(chunk.id)) {
      return fail("The engine sent another request's answer.");
    }
    if (chunk.usage) this.#recordUsage(chunk.usage);
    if (chunk.choices.some(choice => choice.finish_reason)) {
      this.#hasFinishReason = true;
    }
    return {kind: 'pass', content: chunk};
  }

  #inspectEnd(): AnswerVerdict {
    if (this.#hasFinishReason) return {kind: 'whole'};
    return {kind: 'fail', failure: makeFailure('answerTruncated')};
  }

  #isOwn(id: string): boolean {
    if (id === this.#requestId) return true;
    return id === `${COMPLETION_ID_PREFIX}${this.#requestId}`;
  }

  #recordUsage(usage: z.infer<typeof usageSchema>): void {
    this.#usage = {
      promptTokens: usage.prompt_tokens,
      cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
      answerTokens: usage.completion_tokens,
    };
  }
}
