/**
 * Sends a chat and a non-repeatable call through a running fleet and verifies
 * the answers.
 */
import {randomUUID} from 'node:crypto';
import {
  type Clock,
  type ConfigurationContent,
  configurationSchema,
  type Role,
  type StateDump,
} from '@lovagepond/core';

const READY_TIMEOUT_MS = 20_000;
const READY_POLL_MS = 50;
const STATUS_OK = 200;
const QUESTION = 'Which voucher fits a garden in spring? '.repeat(20);

/** Routers and configuration of the fleet to check. */
export interface CheckTarget {
  /** `host:port` at which each router accepts callers. */
  readonly routers: readonly string[];
  /** The configuration in force. */
  readonly configuration: unknown;
}

/** One message of a chat. */
interface ChatMessage {
  readonly role: 'user' | 'assistant';
  readonly content: string;
}

/** Text of an answer, and the prompt tokens that the cache held. */
interface ChatAnswer {
  readonly text: string;
  readonly cachedTokens: number;
}

/** The fields of a chat completion event that the check reads. */
interface ChatEvent {
  readonly choices?: readonly {readonly delta?: {readonly content?: string}}[];
  readonly usage?: {
    readonly prompt_tokens_details?: {readonly cached_tokens?: number};
  };
}

function readEvents(body: string): ChatEvent[] {
  return body
    .split('\n')
    .filter(line => line.startsWith('data: {'))
    .map(line => JSON.parse(line.slice('data: '.length)) as ChatEvent);
}

async function post(
  router: string,
  path: string,
  headers: Readonly<Record<string, string>>,
  body: object,
): Promise<string> {
  const res = await fetch(`http://${router}${path}`, {
    method: 'POST',
    headers: {'content-type': 'application/json', ...headers},
    body: JSON.stringify(body),
  });
  const text = await res.text();
  if (res.status !== STATUS_OK) throw new Error(`${res.status}: ${text}`);
  return text;
}

async function sendChat(
  router: string,
  workspace: string,
  messages: readonly ChatMessage[],
): Promise<ChatAnswer> {
  const headers = {
    'x-lovagepond-workspace': workspace,
    'x-lovagepond-chat': 'self-check',
  };
  const request = {model: 'any', stream: true, messages};
  const body = await post(router, '/v1/chat/completions', headers, request);
  if (!body.trimEnd().endsWith('data: [DONE]')) {
    throw new Error('the answer is incomplete: [DONE] is missing');
  }
  const events = readEvents(body);
  const usage = events.findLast(event => event.usage)?.usage;
  return {
    text: events
      .map(event => event.choices?.[0]?.delta?.content ?? '')
      .join(''),
    cachedTokens: usage?.prompt_tokens_details?.cached_tokens ?? 0,
  };
}

async function checkChat(
  [first = '', ...others]: readonly string[],
  workspace: string,
): Promise<string> {
  const question: ChatMessage = {role: 'user', content: QUESTION};
  const answer = await sendChat(first, workspace, [question]);
  const {cachedTokens} = await sendChat(others.at(-1) ?? first, workspace, [
    question,
    {role: 'assistant', content: answer.text},
    {role: 'user', content: 'And in autumn?'},
  ]);
  if (cachedTokens === 0) throw new Error('no tokens of the chat were cached');
  return `chat: came back through another router, ${cachedTokens} prompt tokens from the cache`;
}

async function checkCallOnce(
  [first = '', ...others]: readonly string[],
  workspace: string,
  kind: string,
): Promise<string> {
  const headers = {
    'x-lovagepond-workspace': workspace,
    'x-lovagepond-request-kind': kind,
    'idempotency-key': randomUUID(),
  };
  const body = {voucher: 'V-1'};
  const answer = await post(first, '/services/check', headers, body);
  const repeated = others.at(-1) ?? first;
  const again = await post(repeated, '/services/check', headers, body);
  const {runs} = JSON.parse(again) as {readonly runs?: number};
  if (runs !== 1 || again !== answer) {
    throw new Error(`the ${kind} ran ${runs ?? 'an unknown number of'} times`);
  }
  return `${kind}: sent twice under one key, ran once`;
}

/** The fields of a role's state dump that concern its membership list. */
interface MembershipState {
  readonly pool?: string;
  /** Other ready servers in the pool of a sidecar. */
  readonly peers?: number;
  readonly membershipVersion?: number;
}

/**
 * A router may be ready before it has received the whole membership list. A
 * chat that starts then may move to another server later and lose its context.
 *
 * @returns true when every backend server is ready and all roles with a
 *     membership list have the same version of the list
 */
function isMembershipConsistent(role: Role): boolean {
  const dumps = Object.values(role.dump().state) as readonly StateDump[];
  const states = dumps.map(dump => dump.state as MembershipState);
  const pools = states.flatMap(({pool}) => pool ?? []);
  const ready = states.every(
    ({pool, peers = 0}) =>
      pool === undefined ||
      peers + 1 === pools.filter(other => other === pool).length,
  );
  const versions = states.flatMap(
    ({membershipVersion}) => membershipVersion ?? [],
  );
  return ready && new Set(versions).size === 1;
}

async function waitUntilReady(role: Role, clock: Clock): Promise<void> {
  const deadline = clock.now() + READY_TIMEOUT_MS;
  while (!role.isReady() || !isMembershipConsistent(role)) {
    if (clock.now() > deadline) throw new Error('fleet did not become ready');
    await new Promise(resolve => setTimeout(resolve, READY_POLL_MS));
  }
}

/**
 * Waits until the fleet is ready and sends test requests through it.
 *
 * @param role the started fleet
 * @param clock measures the time limit of the wait for readiness
 * @param target routers and configuration of the fleet
 * @returns lines for people that describe the passed checks
 * @throws Error when the fleet doesn't become ready or an answer is wrong
 */
export async function checkFleet(
  role: Role,
  clock: Clock,
  {routers, configuration}: CheckTarget,
): Promise<readonly string[]> {
  const content: ConfigurationContent =
    configurationSchema.parse(configuration);
  const workspace = content.workspaces[0]?.name ?? '';
  const once = content.requestKinds.find(kind => kind.nonRepeatable);
  await waitUntilReady(role, clock);
  const lines = [await checkChat(routers, workspace)];
  if (once) lines.push(await checkCallOnce(routers, workspace, once.name));
  return [...lines, 'self-check passed'];
}
