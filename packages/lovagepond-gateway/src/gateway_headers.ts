/**
 * Decodes the headers of forwarded requests and selects those to forward.
 *
 * Header names are configurable, so that another system's callers and backend
 * servers can keep their own. All decisions use the decoded values.
 */
import {readPauseMs} from '@lovagepond/core';
import {SLOWDOWN_PERCENT} from '@lovagepond/load';

/** Header names, in lower case. */
export interface GatewayHeaderNames {
  /** Identifies one request; servers echo it. */
  readonly requestId: string;
  /** Time left until the request's deadline, milliseconds. */
  readonly deadlineMs: string;
  readonly apiKey: string;
  /** The workspace that the API key belongs to, sent to the server. */
  readonly workspace: string;
  /** `prompt tokens,maximum output tokens`. */
  readonly tokenUsage: string;
  /** `id:tokens` for each part of the prompt, in order. */
  readonly promptParts: string;
  /** Present in every response that a server generated. */
  readonly signature: string;
  /** Present when the server did not run the request. */
  readonly notRun: string;
  /**
   * `running,waiting,slots` of the responding server, and optionally the current
   * duration of work there in percent of the usual one.
   */
  readonly serverLoad: string;
  /** `1` in every response of a server that is about to exit. */
  readonly leaving: string;
  /** Id of the request that brought the first event of a resumed stream. */
  readonly resumes: string;
  /** The incarnation that a request is meant for; others reject it. */
  readonly expectedInstance: string;
  /** 0 (most urgent) to 9, for the engine's own queue. */
  readonly enginePriority: string;
  /** Address of the server to fetch the prompt's context from. */
  readonly contextSource: string;
  /** Headers reserved for gateways: removed from callers' requests. */
  readonly routerOnly: readonly string[];
}

const LAST_EVENT_ID = 'last-event-id';

export const DEFAULT_HEADER_NAMES: GatewayHeaderNames = Object.freeze({
  requestId: 'x-lovagepond-request-id',
  deadlineMs: 'x-lovagepond-deadline',
  apiKey: 'x-lovagepond-key',
  workspace: 'x-lovagepond-workspace',
  tokenUsage: 'x-lovagepond-tokens',
  promptParts: 'x-lovagepond-prompt-parts',
  signature: 'x-lovagepond-signature',
  notRun: 'x-lovagepond-not-run',
  serverLoad: 'x-lovagepond-load',
  leaving: 'x-lovagepond-leaving',
  resumes: 'x-lovagepond-resumes',
  expectedInstance: 'x-lovagepond-instance',
  enginePriority: 'x-lovagepond-priority',
  contextSource: 'x-lovagepond-context-source',
  routerOnly: [],
});

/** One part of a prompt; requests with a common prefix share its parts. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a caller says about the stream that its request resumes. */
export interface StreamResumption {
  /** Id of the request that brought the stream's first event; may be empty. */
  readonly firstRequestId: string;
  /** Id of the last event that the caller has; may be empty. */
  readonly lastEventId: string;
}

/** The decoded headers of a request. */
export interface RequestFacts {
  readonly requestId: string;
  readonly deadlineMs: number | undefined;
  readonly apiKey: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly parts: readonly PromptPart[];
  /** Absent unless the caller resumes a stream. */
  readonly resumption?: StreamResumption;
}

/** The load that a server reports. */
export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Current duration of work, percent of the usual one, if reported. */
  readonly slowdownPercent?: number;
}

/** What a response says about its server. */
export interface ServerSignals {
  /** Absent if the response doesn't report it. */
  readonly load?: ServerLoad;
  /** The server is about to exit. */
  readonly isLeaving: boolean;
  /** Time for which the server wants no requests, milliseconds; usually 0. */
  readonly pauseMs: number;
}

type Headers = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Headers that apply to a single connection and are not forwarded. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * @param headers parsed headers
 * @param name a header's name, in lower case
 * @returns its text; empty if it is absent
 */
export function textOf(headers: Headers, name: string): string {
  const value = headers[name];
  return typeof value === 'string' ? value : (value?.join(', ') ?? '');
}

function countOf(text: string | undefined): number | undefined {
  const value = Number(text?.trim() === '' ? undefined : text);
  return Number.isFinite(value) && value >= 0 ? value : undefined;
}

function readParts(text: string): PromptPart[] {
  const parts: PromptPart[] = [];
  for (const entry of text.split(',')) {
    const [id, tokens] = entry.trim().split(':');
    const count = countOf(tokens);
    if (id && count !== undefined) parts.push({id, tokens: count});
  }
  return parts;
}

/**
 * @param headers a request's headers as parsed by Node
 * @param names the header names in use
 * @returns the decoded values; missing or malformed counts are 0 or undefined
 */
export function readFacts(
  headers: Headers,
  names: GatewayHeaderNames,
): RequestFacts {
  const [prompt, output] = textOf(headers, names.tokenUsage).split(',');
  const resumption = readResumption(headers, names);
  return {
    requestId: textOf(headers, names.requestId),
    deadlineMs: countOf(textOf(headers, names.deadlineMs)),
    apiKey: textOf(headers, names.apiKey),
    promptTokens: countOf(prompt) ?? 0,
    outputTokens: countOf(output) ?? 0,
    parts: readParts(textOf(headers, names.promptParts)),
    ...(resumption && {resumption}),
  };
}

function readResumption(
  headers: Headers,
  names: GatewayHeaderNames,
): StreamResumption | undefined {
  const firstRequestId = textOf(headers, names.resumes).trim();
  const lastEventId = textOf(headers, LAST_EVENT_ID).trim();
  if (firstRequestId === '' && lastEventId === '') return undefined;
  return {firstRequestId, lastEventId};
}

/**
 * @param facts the decoded headers of a request that resumes a stream
 * @returns number of the last event that the caller has; undefined if it has
 *     none, or if its id is not a number
 */
export function lastEventIdOf({resumption}: RequestFacts): number | undefined {
  const {lastEventId = ''} = resumption ?? {};
  return /^\d{1,15}$/.test(lastEventId) ? Number(lastEventId) : undefined;
}

/** Values of the load header with the optional one. */
const LOAD_VALUES = 4;

function readServerLoad(
  headers: Headers,
  names: GatewayHeaderNames,
): ServerLoad | undefined {
  const values = textOf(headers, names.serverLoad).split(',').map(countOf);
  const [running, waiting, slots] = values;
  if (running === undefined || waiting === undefined) return undefined;
  if (!slots) return undefined;
  const slowdownPercent = slowdownOf(values);
  return {
    running,
    waiting,
    slots,
    ...(slowdownPercent !== undefined && {slowdownPercent}),
  };
}

/** A header that a proxy has repeated has six values or more. */
function slowdownOf(
  values: readonly (number | undefined)[],
): number | undefined {
  const percent = values[3];
  if (values.length !== LOAD_VALUES || percent === undefined) return undefined;
  const {MIN, MAX} = SLOWDOWN_PERCENT;
  return percent >= MIN && percent <= MAX ? percent : undefined;
}

/**
 * @param status a response's status
 * @param headers its headers
 * @param names the header names in use
 * @returns what the response says about its server
 */
export function readServerSignals(
  status: number,
  headers: Headers,
  names: GatewayHeaderNames,
): ServerSignals {
  const load = readServerLoad(headers, names);
  return {
    ...(load && {load}),
    isLeaving: textOf(headers, names.leaving).trim() === '1',
    pauseMs: readPauseMs(status, textOf(headers, 'retry-after')),
  };
}

/** Headers that the gateway sets on a request. */
export interface AddedHeaders {
  readonly deadlineMs: number;
  /** Absent on public routes. */
  readonly workspace: string | undefined;
  readonly instance: string;
  readonly enginePriority: number | undefined;
  /** Absent when no context is to be fetched. */
  readonly contextSource: string | undefined;
  /** Event id after which a stream resumes; absent on a first attempt. */
  readonly lastEventId: string | undefined;
}

/**
 * @param rawHeaders alternating names and values, as received
 * @param names the header names in use
 * @param added headers that the gateway sets, replacing the caller's values
 * @returns alternating names and values for the server
 */
export function headersForServer(
  rawHeaders: readonly string[],
  names: GatewayHeaderNames,
  added: AddedHeaders,
): string[] {
  const dropped = new Set([
    names.deadlineMs,
    names.apiKey,
    names.workspace,
    names.expectedInstance,
    names.enginePriority,
    names.contextSource,
    names.notRun,
    'content-length',
    ...names.routerOnly,
    ...connectionNames(rawHeaders),
  ]);
  // Without the id, responses can't be matched to requests.
  dropped.delete(names.requestId);
  if (added.lastEventId !== undefined) dropped.add(LAST_EVENT_ID);
  const headers = copyEndToEnd(rawHeaders, dropped);
  const set = (name: string, value: string | number | undefined): void => {
    if (value !== undefined) headers.push(name, String(value));
  };
  set(names.deadlineMs, Math.max(1, Math.round(added.deadlineMs)));
  set(names.workspace, added.workspace);
  set(names.expectedInstance, added.instance);
  set(names.enginePriority, added.enginePriority);
  set(names.contextSource, added.contextSource);
  set(LAST_EVENT_ID, added.lastEventId);
  return headers;
}

/**
 * @param rawHeaders alternating names and values of a response
 * @returns the end-to-end headers to forward to the caller
 */
export function headersForCaller(rawHeaders: readonly string[]): string[] {
  return copyEndToEnd(rawHeaders, new Set(connectionNames(rawHeaders)));
}

/** Lists the further hop-by-hop headers that a Connection header names. */
function connectionNames(rawHeaders: readonly string[]): string[] {
  const named: string[] = [];
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    if (rawHeaders[at]?.toLowerCase() !== 'connection') continue;
    const value = rawHeaders[at + 1] ?? '';
    named.push(...value.split(',').map(name => name.trim().toLowerCase()));
  }
  // Content-Length is end-to-end even if a Connection header names it.
  return named.filter(name => name !== 'content-length');
}

function copyEndToEnd(
  rawHeaders: readonly string[],
  dropped: ReadonlySet<string>,
): string[] {
  const kept: string[] = [];
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    const name = rawHeaders[at] ?? '';
    const lower = name.toLowerCase();
    if (HOP_BY_HOP.has(lower) || dropped.has(lower)) continue;
    kept.push(name, rawHeaders[at + 1] ?? '');
  }
  return kept;
}
