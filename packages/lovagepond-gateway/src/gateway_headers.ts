/**
 * What a forwarded request says in its headers, and which headers go on.
 *
 * The names are data: another system's callers and backend servers may use
 * their own, while every decision here works on the decoded facts.
 */

/** Header names, in lower case. */
export interface GatewayHeaderNames {
  /** Identifies one request of a caller; servers echo it. */
  readonly requestId: string;
  /** Milliseconds that the caller or this router will wait. */
  readonly deadlineMs: string;
  readonly apiKey: string;
  /** The workspace that holds the key, told to the server. */
  readonly workspace: string;
  /** `prompt tokens,most answer tokens`. */
  readonly tokenUsage: string;
  /** `id:tokens` for each part of the prompt, in order. */
  readonly promptParts: string;
  /** Stands in every answer that a server made. */
  readonly signature: string;
  /** The server says that it did not run the request. */
  readonly notRun: string;
  /** `running,waiting,slots` of the server that answers. */
  readonly serverLoad: string;
  /** The incarnation that a request is meant for; others refuse it. */
  readonly expectedInstance: string;
  /** 0 (most urgent) to 9, for the engine's own queue. */
  readonly enginePriority: string;
  /** Address of a server whose context of the prompt is to be taken over. */
  readonly contextSource: string;
  /** Headers that only a router may set: dropped when a caller sends them. */
  readonly routerOnly: readonly string[];
}

/** The product's own names. */
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
  expectedInstance: 'x-lovagepond-instance',
  enginePriority: 'x-lovagepond-priority',
  contextSource: 'x-lovagepond-context-source',
  routerOnly: [],
});

/** One part of a prompt; requests that begin alike share their first parts. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** A request's headers, decoded. */
export interface RequestFacts {
  readonly requestId: string;
  readonly deadlineMs: number | undefined;
  readonly apiKey: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly parts: readonly PromptPart[];
}

/** What a server says of its load. */
export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

type Headers = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Headers that concern one connection only. */
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

function textOf(headers: Headers, name: string): string {
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
 * @param headers a request's headers as Node gives them
 * @param names the header names in use
 * @returns what they say; absent or unreadable counts are 0 or undefined
 */
export function readFacts(
  headers: Headers,
  names: GatewayHeaderNames,
): RequestFacts {
  const [prompt, output] = textOf(headers, names.tokenUsage).split(',');
  return {
    requestId: textOf(headers, names.requestId),
    deadlineMs: countOf(textOf(headers, names.deadlineMs)),
    apiKey: textOf(headers, names.apiKey),
    promptTokens: countOf(prompt) ?? 0,
    outputTokens: countOf(output) ?? 0,
    parts: readParts(textOf(headers, names.promptParts)),
  };
}

/**
 * @param headers an answer's headers
 * @param names the header names in use
 * @returns the server's load, when it says it
 */
export function readServerLoad(
  headers: Headers,
  names: GatewayHeaderNames,
): ServerLoad | undefined {
  const [running, waiting, slots] = textOf(headers, names.serverLoad)
    .split(',')
    .map(countOf);
  if (running === undefined || waiting === undefined) return undefined;
  return slots ? {running, waiting, slots} : undefined;
}

/** What a router adds to a request. */
export interface AddedHeaders {
  readonly deadlineMs: number;
  /** Absent on public routes. */
  readonly workspace: string | undefined;
  readonly instance: string;
  readonly enginePriority: number | undefined;
  /** Absent where the server holds the context, or none does. */
  readonly contextSource: string | undefined;
  /** Where a broken stream goes on; absent on a first attempt. */
  readonly lastEventId: string | undefined;
}

const LAST_EVENT_ID = 'last-event-id';

/**
 * @param rawHeaders names and values in turn, as they came
 * @param names the header names in use
 * @param added what the router sets, whatever the caller sent
 * @returns names and values in turn for the server
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
  // Without its id no answer can be told from another request's.
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
 * @param rawHeaders names and values of an answer in turn
 * @returns those that go on to the caller
 */
export function headersForCaller(rawHeaders: readonly string[]): string[] {
  return copyEndToEnd(rawHeaders, new Set(connectionNames(rawHeaders)));
}

/** A sender lists in Connection what else concerns that connection only. */
function connectionNames(rawHeaders: readonly string[]): string[] {
  const named: string[] = [];
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    if (rawHeaders[at]?.toLowerCase() !== 'connection') continue;
    const value = rawHeaders[at + 1] ?? '';
    named.push(...value.split(',').map(name => name.trim().toLowerCase()));
  }
  // The body's length isn't a property of the connection, whatever is said.
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
