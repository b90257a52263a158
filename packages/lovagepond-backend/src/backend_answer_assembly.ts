/**
 * Assembles the JSON answer to a non-streaming request from the engine's event
 * stream. The engine is always asked to stream, so that heartbeats, resumption
 * and the end marker protect both kinds of answers.
 */
import {type AnswerChunk} from './backend_answer_check.js';

type Json = Record<string, unknown>;

/** String fields that are replaced; all other strings are concatenated. */
const NAMING_FIELDS = new Set(['id', 'type', 'role']);

function isObject(value: unknown): value is Json {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function mergeList(target: unknown[], pieces: readonly unknown[]): void {
  for (const piece of pieces) {
    if (!isObject(piece) || typeof piece['index'] !== 'number') {
      target.push(piece);
      continue;
    }
    const {index, ...rest} = piece;
    const slot = target[index];
    if (isObject(slot)) mergeDelta(slot, rest);
    else target[index] = mergeDelta({}, rest);
  }
}

/**
 * @param target the message so far; modified in place
 * @param delta the next piece of the message
 * @returns the message
 */
export function mergeDelta(target: Json, delta: Json): Json {
  for (const [name, piece] of Object.entries(delta)) {
    const previous = target[name];
    if (typeof piece === 'string' && typeof previous === 'string') {
      target[name] = NAMING_FIELDS.has(name) ? piece : previous + piece;
    } else if (isObject(piece)) {
      target[name] = mergeDelta(isObject(previous) ? previous : {}, piece);
    } else if (Array.isArray(piece)) {
      const list: unknown[] = Array.isArray(previous) ? previous : [];
      mergeList(list, piece);
      target[name] = list;
    } else if (piece !== null || previous === undefined) {
      target[name] = piece;
    }
  }
  return target;
}

/** Collects the events of one answer. */
export class AnswerAssembly {
  readonly #choices = new Map<number, Json>();
  #head: Json = {};
  #usage: unknown;

  /** @param chunk the next event */
  add(chunk: AnswerChunk): void {
    const {choices, usage, ...head} = chunk;
    this.#head = {...head, ...this.#head};
    this.#usage = usage ?? this.#usage;
    for (const choice of choices) this.#addChoice(choice);
  }

  /** @returns the complete answer as JSON in UTF-8 */
  encode(): Buffer {
    const choices = [...this.#choices.values()].map(choice => ({
      logprobs: null,
      ...choice,
    }));
    const head = {...this.#head, object: 'chat.completion'};
    return Buffer.from(JSON.stringify({...head, choices, usage: this.#usage}));
  }

  #addChoice(choice: Json): void {
    const index = typeof choice['index'] === 'number' ? choice['index'] : 0;
    const whole = this.#choices.get(index) ?? {index, message: {}};
    const delta = choice['delta'];
    if (isObject(delta)) mergeDelta(whole['message'] as Json, delta);
    const reason = choice['finish_reason'];
    if (reason) whole['finish_reason'] = reason;
    this.#choices.set(index, whole);
  }
}

/**
 * @param body a non-streaming completion request
 * @returns the same request with streaming, or undefined when the body is not a
 *     JSON object
 */
export function toStreamingRequest(body: Uint8Array): Buffer | undefined {
  try {
    const request: unknown = JSON.parse(Buffer.from(body).toString('utf8'));
    if (!isObject(request)) return undefined;
    const options = {include_usage: true};
    const streamed = {...request, stream: true, stream_options: options};
    return Buffer.from(JSON.stringify(streamed));
  } catch {
    return undefined;
  }
}
