/** Test helpers: fakes and adapters on loopback, closed after each test. */
import {type AddressInfo, createServer} from 'node:net';
import {type Clock, Random} from '@lovagepond/core';
import {
  DEFAULT_FAKE_ENGINE_SETTINGS,
  DEFAULT_FAKE_SERVER_SETTINGS,
  DEFAULT_HTTP_CLIENT_SETTINGS,
  type EngineEvent,
  type EngineRequest,
  FakeEngineServer,
  type FakeEngineServerSettings,
  FakeServiceServer,
  type HttpClientSettings,
  HttpModelEngine,
  HttpPlainService,
  type ServiceRequest,
} from '../../index.js';

export const SEED = 700;
export const clock: Clock = {
  now: () => performance.now(),
  wallTime: () => Date.now(),
};

const cleanups: (() => Promise<void>)[] = [];

export async function cleanUp(): Promise<void> {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
}

export async function startEngine(
  settings: Partial<FakeEngineServerSettings> = {},
): Promise<FakeEngineServer> {
  const server = new FakeEngineServer(
    {
      ...DEFAULT_FAKE_ENGINE_SETTINGS,
      ...DEFAULT_FAKE_SERVER_SETTINGS,
      stepMs: 1,
      decodeTokensPerSecond: 1e6,
      heartbeatMs: 20,
      cacheEventLagMs: 0,
      ...settings,
    },
    {clock},
  );
  await server.start();
  cleanups.push(() => server.stop());
  return server;
}

export function connectEngine(
  address: string,
  settings: Partial<HttpClientSettings> = {},
): HttpModelEngine {
  const engine = new HttpModelEngine(
    {
      ...DEFAULT_HTTP_CLIENT_SETTINGS,
      origin: `http://${address}`,
      maxCacheBytes: 1e6,
      silenceMs: 200,
      ...settings,
    },
    new Random(SEED),
  );
  cleanups.push(() => engine.close());
  return engine;
}

export function completion(
  requestId: string,
  extra: Partial<EngineRequest> = {},
): EngineRequest {
  const body = {messages: [{role: 'user', content: 'hello'}], max_tokens: 20};
  return {
    requestId,
    workspace: 'shop',
    chat: 'c1',
    priority: 5,
    path: '/v1/chat/completions',
    contentType: 'application/json',
    body: Buffer.from(JSON.stringify(body)),
    stream: true,
    resumeFrom: 0,
    deadline: clock.now() + 20_000,
    ...extra,
  };
}

/** Runs a request to its end; `onEvent` is called with each event. */
export async function collect(
  engine: HttpModelEngine,
  request: EngineRequest,
  onEvent: (event: EngineEvent) => void = () => {},
): Promise<{events: EngineEvent[]; text: string; last: EngineEvent}> {
  const events: EngineEvent[] = [];
  const chunks: Uint8Array[] = [];
  for await (const event of engine.run(request, clock.now())) {
    events.push(event);
    if (event.kind === 'data') chunks.push(event.bytes);
    onEvent(event);
  }
  const text = Buffer.concat(chunks).toString();
  return {events, text, last: events.at(-1)!};
}

/** Extracts the answer's text from its events. */
export function contentOf(events: string): string {
  const pieces = events.matchAll(/"content":"([^"]*)"/g);
  return [...pieces].map(match => match[1]).join('');
}

export async function startService(): Promise<FakeServiceServer> {
  const server = new FakeServiceServer({host: '127.0.0.1', port: 0});
  await server.start();
  cleanups.push(() => server.stop());
  return server;
}

export function connectService(
  address: string,
  settings: Partial<HttpClientSettings> = {},
): HttpPlainService {
  const service = new HttpPlainService({
    ...DEFAULT_HTTP_CLIENT_SETTINGS,
    origin: `http://${address}`,
    silenceMs: 200,
    ...settings,
  });
  cleanups.push(() => service.close());
  return service;
}

export function serviceCall(
  requestId: string,
  extra: Partial<ServiceRequest> = {},
): ServiceRequest {
  return {
    requestId,
    workspace: 'shop',
    path: '/services/redeem',
    contentType: 'application/json',
    body: Buffer.from('{"code":7}'),
    nonRepeatable: true,
    deadline: clock.now() + 20_000,
    ...extra,
  };
}

/**
 * Answers each connection with the next text, all further ones with the last.
 */
export async function startRawServer(...texts: string[]): Promise<string> {
  const server = createServer(socket => {
    socket.on('error', () => {});
    const text = (texts.length > 1 ? texts.shift() : texts[0]) ?? '';
    socket.once('data', () => socket.end(text));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  cleanups.push(async () => void server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
