/**
 * Test helpers: start a streamed chat request and find the sidecar that serves
 * it.
 */
import {setTimeout as wait} from 'node:timers/promises';
import {type Fleet} from '../../../../../scripts/fleet_processes.mjs';

const POLL_MS = 25;

/** A streamed response whose first text has arrived. */
export interface OpenChat {
  readonly status: number;
  /** The whole response body; resolves when the response has ended. */
  readonly body: Promise<string>;
  /** Whether the response has ended. */
  readonly isEnded: () => boolean;
}

/** Optional parts of a chat request. */
export interface ChatOptions {
  /** Deadline of the request; the default of the router when left out. */
  readonly deadlineMs?: number;
  /** Earlier messages of the chat. */
  readonly earlierMessages?: readonly {role: string; content: string}[];
}

/** Polls until the condition holds; limited only by the test timeout. */
export async function waitUntil(
  condition: () => Promise<boolean>,
): Promise<void> {
  while (!(await condition())) await wait(POLL_MS);
}

async function readRest(
  reader: ReadableStreamDefaultReader<string>,
  start: string,
): Promise<string> {
  let body = start;
  for (;;) {
    const {value, done} = await reader.read();
    if (done) return body;
    body += value;
  }
}

/**
 * @param url base URL of a router
 * @param chat identifier of the chat, in the workspace `demo`
 * @param maxTokens maximum length of the generated text, in tokens
 * @param options optional parts of the request
 * @returns the response, once its first text has arrived
 */
export async function openChat(
  url: string,
  chat: string,
  maxTokens: number,
  options: ChatOptions = {},
): Promise<OpenChat> {
  const {deadlineMs, earlierMessages = []} = options;
  const res = await fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      'x-lovagepond-workspace': 'demo',
      'x-lovagepond-chat': chat,
      ...(deadlineMs && {'x-lovagepond-deadline': String(deadlineMs)}),
    },
    body: JSON.stringify({
      model: 'any',
      stream: true,
      messages: [
        ...earlierMessages,
        {role: 'user', content: `And for ${chat}?`},
      ],
      max_tokens: maxTokens,
    }),
  });
  if (!res.body) throw new Error(`no body, status ${res.status}`);
  const reader = res.body.pipeThrough(new TextDecoderStream()).getReader();
  let start = '';
  while (!start.includes('"content":"')) {
    const {value, done} = await reader.read();
    if (done) throw new Error(`ended without text: ${start}`);
    start += value;
  }
  let ended = false;
  const body = readRest(reader, start).finally(() => {
    ended = true;
  });
  return {status: res.status, body, isEnded: () => ended};
}

/** @returns name of the first running sidecar that is serving a request */
export async function findServingSidecar(fleet: Fleet): Promise<string> {
  for (const name of fleet.namesOf('sidecar')) {
    if (!fleet.get(name).running) continue;
    const {state} = await fleet.dump(name);
    if ((state['gate'] as {runs: number}).runs > 0) return name;
  }
  throw new Error('no sidecar is serving a request');
}

/** @returns number of requests that a sidecar's engine has received */
export async function countRequests(
  fleet: Fleet,
  sidecar: string,
): Promise<number> {
  const url = fleet.get(sidecar).settings?.['backend']?.['url'] ?? '';
  const res = await fetch(`${url}/fake/state`);
  const {state} = (await res.json()) as {
    state: {counters: {requests: number}};
  };
  return state.counters.requests;
}
