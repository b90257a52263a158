/**
 * Common interface to model engines and plain services: both run a request in
 * the same way.
 */
import {
  type EngineEvent,
  type ModelEngine,
  type PlainService,
  type ServerNoticeListener,
} from '@lovagepond/backend';
import {answerFor, DISPOSITION, type Unregister} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';

/** A connected backend server. */
export type Backend =
  | {readonly kind: 'engine'; readonly engine: ModelEngine}
  | {readonly kind: 'service'; readonly service: PlainService};

/** One run of an attempt. */
export interface BackendRun {
  readonly request: lovagepond.v1.AttemptRequest;
  /** Deadline of the caller, monotonic milliseconds. */
  readonly deadline: number;
  /** Number of answer bytes that the engine must not generate again. */
  readonly resumeFrom: number;
  readonly signal: AbortSignal;
}

/**
 * @param backend a connected backend server
 * @param listener called when a response says that the server wants a pause or
 *     is about to exit
 * @returns a function that removes the listener
 */
export function onBackendNotice(
  backend: Backend,
  listener: ServerNoticeListener,
): Unregister {
  return backend.kind === 'engine'
    ? backend.engine.onNotice(listener)
    : backend.service.onNotice(listener);
}

const STREAM_FIELD = /"stream"\s*:\s*true/;
const decoder = new TextDecoder();

/**
 * Checks the top-level `stream` field, as the caller-facing server does. If
 * nested fields counted, a caller that expects a single response would get the
 * raw text of an event stream.
 */
function requestsStream(body: Uint8Array): boolean {
  const text = decoder.decode(body);
  if (!STREAM_FIELD.test(text)) return false;
  try {
    return (JSON.parse(text) as {stream?: unknown}).stream === true;
  } catch {
    return false;
  }
}

function runEngine(
  engine: ModelEngine,
  run: BackendRun,
  now: number,
): AsyncIterable<EngineEvent> {
  const {request, deadline, resumeFrom, signal} = run;
  const {requestId, workspace, chat, priority, path} = request;
  const {contentType, body} = request;
  signal.addEventListener('abort', () => engine.cancel(requestId), {
    once: true,
  });
  const stream = requestsStream(body);
  return engine.run(
    {
      requestId,
      workspace,
      chat,
      priority,
      path,
      contentType,
      body,
      stream,
      resumeFrom,
      deadline,
    },
    now,
  );
}

async function* runService(
  service: PlainService,
  run: BackendRun,
  now: number,
): AsyncGenerator<EngineEvent> {
  const {request, deadline, signal} = run;
  const {requestId, workspace, path, contentType, body} = request;
  const {idempotencyKey, nonRepeatable} = request;
  const outcome = await service.call(
    {
      requestId,
      workspace,
      path,
      contentType,
      body,
      nonRepeatable,
      deadline,
      ...(idempotencyKey && {idempotencyKey}),
    },
    now,
    signal,
  );
  if (outcome.kind === 'failed') {
    const {disposition} = answerFor(outcome.failure.kind);
    if (disposition !== DISPOSITION.NOT_RUN) yield {kind: 'dispatched'};
    yield outcome;
    return;
  }
  const {status, contentType: type, body: bytes} = outcome;
  yield {kind: 'dispatched'};
  yield {kind: 'started', status, contentType: type, cachedTokens: 0};
  yield {kind: 'data', offset: 0, bytes};
  const usage = {promptTokens: 0, cachedTokens: 0, answerTokens: 0};
  yield {kind: 'end', totalBytes: bytes.length, usage};
}

/**
 * @param backend a connected backend server
 * @param run the attempt and its parameters
 * @param now current time
 * @returns the run's events, in the form of a model engine's for both kinds
 */
export function runAtBackend(
  backend: Backend,
  run: BackendRun,
  now: number,
): AsyncIterable<EngineEvent> {
  if (backend.kind === 'engine') return runEngine(backend.engine, run, now);
  return runService(backend.service, run, now);
}
