/**
 * Names and defaults of the HTTP protocol for callers.
 */
import {type CallerSettings} from './caller_types.js';

/** Lower-case header names. */
export const CALLER_HEADER = {
  WORKSPACE: 'x-lovagepond-workspace',
  CHAT: 'x-lovagepond-chat',
  REQUEST_KIND: 'x-lovagepond-request-kind',
  IDEMPOTENCY_KEY: 'idempotency-key',
  /**
   * Milliseconds until the response must be complete. A duration and not a
   * time of day, as callers' clocks may be wrong.
   */
  DEADLINE: 'x-lovagepond-deadline',
  /** The caller's request id, echoed unchanged. */
  CALLER_REQUEST_ID: 'x-request-id',
  /** The generated request id, used in logs, dumps and the response. */
  REQUEST_ID: 'x-lovagepond-request-id',
} as const;

export const CALLER_PATH = {
  CHAT_COMPLETIONS: '/v1/chat/completions',
  SERVICES: '/services/',
} as const;

/** Request kind of chat completions without a request kind header. */
export const DEFAULT_CHAT_KIND = 'chat';

/** Media type of a streamed response. */
export const EVENT_STREAM_TYPE = 'text/event-stream';

/** Default settings, for the fleet sizes that the design targets. */
export const DEFAULT_CALLER_SETTINGS: CallerSettings = Object.freeze({
  host: '127.0.0.1',
  port: 0,
  maxConnections: 20_000,
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 1024 * 1024,
  maxHeldBodyBytes: 64 * 1024 * 1024,
  maxWholeAnswerBytes: 4 * 1024 * 1024,
  maxBufferedBytes: 256 * 1024,
  senderTimeoutMs: 10_000,
  readerTimeoutMs: 15_000,
  keepAliveMs: 65_000,
  defaultDeadlineMs: 60_000,
  maxDeadlineMs: 600_000,
  drainGraceMs: 1_000,
});
