/**
 * Names and defaults of the protocol towards callers.
 */
import {type CallerSettings} from './caller_types.js';

/** Lower-case header names. */
export const CALLER_HEADER = {
  WORKSPACE: 'x-lovagepond-workspace',
  CHAT: 'x-lovagepond-chat',
  REQUEST_KIND: 'x-lovagepond-request-kind',
  IDEMPOTENCY_KEY: 'idempotency-key',
  /**
   * Milliseconds left until the answer must be whole. A duration and not a
   * time of day, since callers' clocks can't be trusted to be set.
   */
  DEADLINE: 'x-lovagepond-deadline',
  /** Echoed as the caller wrote it. */
  CALLER_REQUEST_ID: 'x-request-id',
  /** The id in logs, dumps and the answer itself. */
  REQUEST_ID: 'x-lovagepond-request-id',
} as const;

/** Paths callers use. */
export const CALLER_PATH = {
  CHAT_COMPLETIONS: '/v1/chat/completions',
  SERVICES: '/services/',
} as const;

/** Request kind of a chat completion that names none. */
export const DEFAULT_CHAT_KIND = 'chat';

/** Media type of a streamed answer. */
export const EVENT_STREAM_TYPE = 'text/event-stream';

/** Limits that fit the sizes the design is for. */
export const DEFAULT_CALLER_SETTINGS: CallerSettings = Object.freeze({
  host: '127.0.0.1',
  port: 0,
  maxConnections: 20_000,
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 1024 * 1024,
  maxHeldBodyBytes: 256 * 1024 * 1024,
  maxWholeAnswerBytes: 4 * 1024 * 1024,
  maxBufferedBytes: 256 * 1024,
  senderTimeoutMs: 10_000,
  readerTimeoutMs: 15_000,
  keepAliveMs: 65_000,
  defaultDeadlineMs: 60_000,
  maxDeadlineMs: 600_000,
  drainGraceMs: 1_000,
});
