/**
 * Sends one chat through a running fleet, twice, and looks at the answers.
 */
import {type Clock, type Role} from '@lovagepond/core';

const READY_LIMIT_MS = 20_000;
const READY_CHECK_MS = 50;
const QUESTION = 'Which voucher fits a garden in spring? '.repeat(20);

/** One message of a chat. */
interface ChatMessage {
  readonly role: 'user' | 'assistant';
  readonly content: string;
}

/** What came back. */
interface CheckedAnswer {
  readonly status: number;
  readonly text: string;
  readonly whole: boolean;
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

async function ask(
  port: number,
  messages: readonly ChatMessage[],
): Promise<CheckedAnswer> {
  const url = `http://127.0.0.1:${port}/v1/chat/completions`;
  const res = await fetch(url, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      'x-lovagepond-workspace': 'demo',
      'x-lovagepond-chat': 'self-check',
    },
    body: JSON.stringify({model: 'any', stream: true, messages}),
  });
  const body = await res.text();
  const events = readEvents(body);
  const usage = events.findLast(event => event.usage)?.usage;
  return {
    status: res.status,
    text: events
      .map(event => event.choices?.[0]?.delta?.content ?? '')
      .join(''),
    whole: body.trimEnd().endsWith('data: [DONE]'),
    cachedTokens: usage?.prompt_tokens_details?.cached_tokens ?? 0,
  };
}

async function waitUntilReady(role: Role, clock: Clock): Promise<void> {
  const deadline = clock.now() + READY_LIMIT_MS;
  while (!role.isReady()) {
    if (clock.now() > deadline) throw new Error('the fleet is not ready');
    await new Promise(resolve => setTimeout(resolve, READY_CHECK_MS));
  }
}

/**
 * @param role the fleet, started
 * @param clock limits the wait for readiness
 * @param routerPorts ports of its routers; the chat comes back through the
 *     last one
 * @returns lines for people; throws when an answer is not as it must be
 */
export async function checkChat(
  role: Role,
  clock: Clock,
  routerPorts: readonly number[],
): Promise<readonly string[]> {
  await waitUntilReady(role, clock);
  const question: ChatMessage = {role: 'user', content: QUESTION};
  const first = await ask(routerPorts[0] ?? 0, [question]);
  const second = await ask(routerPorts.at(-1) ?? 0, [
    question,
    {role: 'assistant', content: first.text},
    {role: 'user', content: 'And in autumn?'},
  ]);
  for (const {status, whole} of [first, second]) {
    if (status !== 200 || !whole) throw new Error(`no whole answer: ${status}`);
  }
  if (second.cachedTokens === 0) throw new Error('the chat came back cold');
  return [
    `first answer: ${first.text.length} characters`,
    `second answer: ${second.cachedTokens} prompt tokens from the cache`,
    'self-check passed',
  ];
}
