/**
 * Sends a chat through a running fleet, and a call that may not be repeated,
 * and looks at the answers.
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

/** Where and as whom the check asks. */
export interface CheckTarget {
  /** `host:port` of each router towards callers. */
  readonly routers: readonly string[];
  /** The configuration in force. */
  readonly configuration: unknown;
}

/** One message of a chat. */
interface ChatMessage {
  readonly role: 'user' | 'assistant';
  readonly content: string;
}

/** What came back. */
interface ChatAnswer {
  readonly text: string;
  readonly cachedTokens: number;
}

/** The part of a chat completion event that the check reads. */
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
    throw new Error('the answer is not whole');
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
  if (cachedTokens === 0) throw new Error('the chat came back cold');
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

/** The part of a role's dump that tells what it knows of the others. */
interface MembershipState {
  readonly pool?: string;
  /** Ready servers of a sidecar's pool, without its own. */
  readonly peers?: number;
  readonly membershipVersion?: number;
}

/**
 * A router may be ready while it still learns of backend servers; a chat
 * begun then finds its context cold once the others are known.
 *
 * @returns true when every backend server is ready, and every role that keeps
 *     the list of them has the same one
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
    if (clock.now() > deadline) throw new Error('the fleet is not ready');
    await new Promise(resolve => setTimeout(resolve, READY_POLL_MS));
  }
}

/**
 * @param role the fleet, started
 * @param clock limits the wait for readiness
 * @param target where and as whom to ask
 * @returns lines for people
 * @throws when an answer is not as it must be
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
